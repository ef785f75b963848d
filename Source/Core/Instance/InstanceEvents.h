// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Events that the code around the instance's core passes in: requests, messages, results, timers.

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Common/Ids.h"
#include "Common/PeerMessages.h"
#include "Common/StoreMessages.h"
#include "Common/Task.h"
#include "Common/Time.h"
#include "Common/WorkerMessages.h"

namespace yardhill::instance
{
using namespace common;

// A caller's request. The gateway chooses the number; the answer carries the same number.
struct caller_request
{
  std::uint64_t number = 0;
  request_purpose purpose = request_purpose::submit;
  workload_id workload;
  std::string key; // empty: the instance mints one (submit only)
  std::string payload;
  std::optional<duration> deadline;
  std::optional<bool>
      repeatable; // false overrides the workload; true cannot make an unrepeatable one repeatable
  bool waits = true;
};

// An operator applies a complete configuration that was derived from version `base`.
struct apply_request
{
  std::uint64_t number = 0;
  std::uint64_t base = 0;
  std::string apply_id; // chosen by the operator, unique for each apply
  std::string document;
};

// The connections to and from the peer are both established.
struct peer_linked
{
  instance_id peer;
  zone_id zone;
};

// At least one of the connections to and from the peer broke.
struct peer_unlinked
{
  instance_id peer;
};

struct peer_received
{
  instance_id peer;
  peer_message message;
};

struct claim_returned
{
  worker_id worker;
  claim_request request;
  std::optional<claim_answer> answer; // nullopt: no answer arrived
  time_point sent_at;
};

enum class send_result
{
  answered,
  unsent, // certain that the request never left this process
  unclear
};

struct start_returned
{
  worker_id worker;
  std::vector<attempt_id> attempts;
  send_result result = send_result::unclear;
  start_answer answer; // valid if result is `answered`
};

struct store_returned
{
  std::uint64_t call = 0;
  std::variant<store_read_result, store_write_result> result;
};

// SIGTERM requests a planned stop.
struct stop_requested
{
};

struct timer_expired
{
};

using event =
    std::variant<caller_request, apply_request, peer_linked, peer_unlinked, peer_received,
                 claim_returned, start_returned, store_returned, stop_requested, timer_expired>;
} // namespace yardhill::instance
