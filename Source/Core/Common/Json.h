// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Conversions of the project's types to JSON and back, for HTTP bodies, table rows and traces.
// Reading throws nlohmann::json::exception on a missing or mistyped field.

#include <optional>
#include <stdexcept>
#include <string>

#include <nlohmann/json.hpp>

#include "Common/Task.h"
#include "Common/WorkerMessages.h"

namespace nlohmann
{
template<class tag>
struct adl_serializer<yardhill::common::text_id<tag>>
{
  static void to_json(json& out, const yardhill::common::text_id<tag>& id) { out = id.value; }
  static void from_json(const json& in, yardhill::common::text_id<tag>& id) { in.get_to(id.value); }
};

// Durations are written as whole microseconds.
template<>
struct adl_serializer<yardhill::common::duration>
{
  static void to_json(json& out, const yardhill::common::duration& value) { out = value.count(); }
  static void from_json(const json& in, yardhill::common::duration& value)
  {
    value = yardhill::common::duration{in.get<yardhill::common::duration::rep>()};
  }
};
} // namespace nlohmann

namespace yardhill::common
{
using json = nlohmann::json;

template<class enum_type>
enum_type enum_from_json(const json& in, std::optional<enum_type> (*lookup)(std::string_view))
{
  const auto value = lookup(in.get_ref<const std::string&>());
  if (!value)
    throw json::other_error::create(600, "unknown name " + in.dump(), &in);
  return *value;
}

inline void to_json(json& out, task_kind kind)
{
  out = to_text(kind);
}
inline void from_json(const json& in, task_kind& kind)
{
  kind = enum_from_json(in, task_kind_from);
}
inline void to_json(json& out, outcome value)
{
  out = to_text(value);
}
inline void from_json(const json& in, outcome& value)
{
  value = enum_from_json(in, outcome_from);
}
inline void to_json(json& out, attempt_result value)
{
  out = to_text(value);
}
inline void from_json(const json& in, attempt_result& value)
{
  value = enum_from_json(in, attempt_result_from);
}
inline void to_json(json& out, refusal_reason value)
{
  out = to_text(value);
}
inline void from_json(const json& in, refusal_reason& value)
{
  value = refusal_reason_from(in.get_ref<const std::string&>());
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(resources, cpu_millis, memory_mib, accelerators, slots,
                                   connections)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(partition_id, zone, index)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(attempt_id, task, attempt, member)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(task_spec, id, workload, team, kind, demand, members, priority,
                                   expected_run, deadline, keyed, repeatable, waits, max_attempts,
                                   payload)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(answer, task, result, reason, detail, step, peer, body,
                                   durability, retry_after, waited, ran, attempts)

// Bodies are arbitrary bytes, which a JSON string cannot hold: messages carry them in base64.
std::string to_base64(const std::string& bytes);
// Throws std::invalid_argument on text that is not base64.
std::string from_base64(const std::string& text);

std::string to_json_text(const answer& value);
answer answer_from(const std::string& text);

std::string to_json_text(const claim_request& message);
claim_request claim_request_from(const std::string& text);
std::string to_json_text(const claim_answer& message);
claim_answer claim_answer_from(const std::string& text);
std::string to_json_text(const start_request& message);
start_request start_request_from(const std::string& text);
std::string to_json_text(const start_answer& message);
start_answer start_answer_from(const std::string& text);
std::string to_json_text(const stop_request& message);
stop_request stop_request_from(const std::string& text);
} // namespace yardhill::common
