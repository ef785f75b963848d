// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Commands from the instance's core to the code around it that does the I/O.

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
  invalid,     // the document has errors
  unavailable, // certainly not applied
  unclear
};

struct answer_apply
{
  std::uint64_t number = 0;
  apply_outcome result = apply_outcome::unclear;
  std::uint64_t version = 0; // the version in force as far as this instance knows
  std::vector<std::string>
      problems; // errors in the document, or the fields that differ on a conflict
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
  time_point not_after; // after this the request is not sent but reported as unsent
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

// The planned stop is complete: no request of any caller is pending at this instance.
struct stop_complete
{
};

using command = std::variant<answer_caller, answer_apply, send_to_peer, send_claim, send_start,
                             send_stop, call_store, log_event, stop_complete>;
} // namespace yardhill::instance
