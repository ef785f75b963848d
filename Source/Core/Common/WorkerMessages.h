// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The messages between an instance and a worker.
//
// A worker serves one owner at a time: the one with the highest term that it has seen. A claim
// makes its sender that owner (or confirms it), acknowledges ended attempts and waits for updates.
// Each accepted claim is answered with a ticket. A claim renews the leases of the worker's running
// attempts, and a start is accepted, only if it quotes a ticket that the worker has issued recently
// by its own clock. A message that was delayed in transit, however long, therefore has no effect.

#include <cstdint>
#include <string>
#include <vector>

#include "Common/Ids.h"
#include "Common/Resources.h"
#include "Common/Task.h"
#include "Common/Time.h"

namespace yardhill::common
{
// A claim with term 0 is a probe: it changes nothing, and its sender does not become the owner.
struct claim_request
{
  partition_id partition;
  term_number term = 0;
  instance_id owner;
  std::uint64_t acknowledged = 0; // the worker may forget ended attempts up to this sequence
  std::string acknowledged_boot;  // the worker's boot that `acknowledged` belongs to
  std::uint64_t ticket = 0;       // the sender's latest ticket; renews leases if issued recently
  bool void_tickets = false;      // refuse from now on every start with an earlier ticket
  duration wait{0};               // how long the worker may delay its answer if nothing has changed
};

struct running_attempt
{
  attempt_id id;
  std::string spec; // as given in the start; empty in answers to the owner that started it
};

struct ended_attempt
{
  std::uint64_t sequence = 0;
  attempt_id id;
  attempt_result result = attempt_result::failed;
  std::string body;
  duration ran{0};
  std::string spec; // as in running_attempt
};

struct claim_answer
{
  bool accepted = false;
  term_number term = 0;  // the worker's current term
  instance_id owner;     // the owner of that term
  duration owner_age{0}; // time since that owner's last accepted claim
  std::string boot;      // new at each start of the worker
  std::uint64_t ticket = 0;
  // Counts changes of the worker's state; tells whether this answer or a start answer is newer.
  std::uint64_t moment = 0;
  bool leaving = false; // the worker is draining
  std::vector<running_attempt> running;
  std::vector<ended_attempt> ended;
  resources used; // as measured, which lags behind
};

struct start_order
{
  attempt_id id;
  resources demand;
  std::string spec; // the task_spec as JSON, payload included
  bool repeatable = true;
};

struct start_request
{
  term_number term = 0;
  instance_id owner;
  std::string boot;
  std::uint64_t ticket = 0;
  std::vector<start_order> orders;
};

enum class start_refusal
{
  none, // started
  lower_term,
  other_boot,
  old_ticket,
  no_room,
  leaving,
  already_ran, // the worker has accepted this attempt earlier; it has ended or was stopped
  count
};

std::string_view to_text(start_refusal refusal);
std::optional<start_refusal> start_refusal_from(std::string_view name);

struct start_result
{
  attempt_id id;
  start_refusal refusal = start_refusal::none;
};

struct start_answer
{
  std::uint64_t moment = 0;
  std::vector<start_result> results;
};

struct stop_request
{
  term_number term = 0;
  instance_id owner;
  bool checkpoint = false;
  std::vector<attempt_id> attempts;
};
} // namespace yardhill::common
