// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// What an instance and a worker say to each other.
//
// A worker serves one owner at a time: the one with the highest term that it has seen. A claim
// makes the sender that owner (or confirms it), acknowledges ended attempts and waits for news.
// Each accepted claim is answered with a ticket. A claim renews the lease of what runs there, and
// a start is taken, only when it quotes a ticket that is young on the worker's own clock: whatever
// was delayed on its way, however long, changes nothing.

#include <cstdint>
#include <string>
#include <vector>

#include "Common/Ids.h"
#include "Common/Resources.h"
#include "Common/Task.h"
#include "Common/Time.h"

namespace yardhill::common
{
// Term 0 is a probe: it changes nothing and never becomes the owner.
struct claim_request
{
  partition_id partition;
  term_number term = 0;
  instance_id owner;
  std::uint64_t acknowledged = 0; // ended attempts up to this sequence may be forgotten
  std::string acknowledged_boot;  // the boot whose sequence that is
  std::uint64_t ticket = 0;       // the latest one that the sender holds; renews leases if young
  bool void_tickets = false;      // refuse from now on every start with an earlier ticket
  duration wait{0};               // how long the worker may hold the answer when there is no news
};

struct running_attempt
{
  attempt_id id;
  std::string spec; // as it came with the start; left out for the owner that started it
};

struct ended_attempt
{
  std::uint64_t sequence = 0;
  attempt_id id;
  attempt_result result = attempt_result::failed;
  std::string body;
  duration ran{0};
  std::string spec; // as above
};

struct claim_answer
{
  bool accepted = false;
  term_number term = 0;  // the worker's current term
  instance_id owner;     // and whose it is
  duration owner_age{0}; // since that owner's last accepted claim
  std::string boot;      // new at each start of the worker
  std::uint64_t ticket = 0;
  std::uint64_t moment = 0; // counts the worker's changes; orders this against start answers
  bool leaving = false;
  std::vector<running_attempt> running;
  std::vector<ended_attempt> ended;
  resources used; // measured, with a lag
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
  already_ran, // this attempt was taken earlier and is over or stopped
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
