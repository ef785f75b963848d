// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// What the instance's core wants its shells to do.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "Common/Ids.h"
#include "Common/PeerMessages.h"
#include "Common/Task.h"
#include "Common/Time.h"
#include "Common/WorkerMessages.h"
#include "Ownership/PartitionStore.h"

namespace yardhill::instance
{
using namespace common;

struct answer_caller
{
  std::uint64_t number = 0;
  answer value;
};

enum class apply_outcome
{
  applied,
  conflict,    // another version was applied since `base`
  invalid,     // the document has mistakes
  unavailable, // certainly not applied
  unclear
};

struct answer_apply
{
  std::uint64_t number = 0;
  apply_outcome result = apply_outcome::unclear;
  std::uint64_t version = 0;         // in force now, as far as is known
  std::vector<std::string> problems; // mistakes, or the fields in which a conflict differs
};

struct send_to_peer
{
  instance_id peer;
  peer_message message;
};

struct send_claim
{
  worker_id worker;
  std::string address;
  claim_request request;
};

struct send_start
{
  worker_id worker;
  std::string address;
  start_request request;
  time_point not_after; // past this the shell reports it as unsent
};

struct send_stop
{
  worker_id worker;
  std::string address;
  stop_request request;
};

struct call_store
{
  std::uint64_t call = 0;
  ownership::store_call request;
};

enum class log_level
{
  info,
  warning
};

struct log_event
{
  log_level level = log_level::info;
  std::string step;
  std::string peer;
  task_id task;
  term_number term = 0;
  std::string detail;
};

// The planned stop is complete: nothing of any caller is left here.
struct stop_complete
{
};

using command = std::variant<answer_caller, answer_apply, send_to_peer, send_claim, send_start,
                             send_stop, call_store, log_event, stop_complete>;
} // namespace yardhill::instance
