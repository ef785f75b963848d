// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Common/Json.h"

#include <cpprest/asyncrt_utils.h>

namespace yardhill::common
{
inline void to_json(json& out, start_refusal value)
{
  out = to_text(value);
}
inline void from_json(const json& in, start_refusal& value)
{
  value = enum_from_json(in, start_refusal_from);
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(claim_request, partition, term, owner, acknowledged,
                                   acknowledged_boot, ticket, void_tickets, wait)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(running_attempt, id, spec)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ended_attempt, sequence, id, result, body, ran, spec)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(claim_answer, accepted, term, owner, owner_age, boot, ticket,
                                   moment, leaving, running, ended, used)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(start_order, id, demand, spec, repeatable)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(start_request, term, owner, boot, ticket, orders)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(start_result, id, refusal)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(start_answer, moment, results)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(stop_request, term, owner, checkpoint, attempts)

std::string to_base64(const std::string& bytes)
{
  return utility::conversions::to_base64(std::vector<unsigned char>(bytes.begin(), bytes.end()));
}

std::string from_base64(const std::string& text)
{
  try
  {
    const std::vector<unsigned char> bytes = utility::conversions::from_base64(text);
    return {bytes.begin(), bytes.end()};
  }
  catch (const std::runtime_error& error)
  {
    throw std::invalid_argument(error.what());
  }
}

namespace
{
// Serializes without throwing: bytes outside a body that are not UTF-8 are replaced.
std::string dump(const json& value)
{
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}
} // namespace

std::string to_json_text(const task_spec& spec)
{
  return dump(json(spec));
}
task_spec task_spec_from(const std::string& text)
{
  return json::parse(text).get<task_spec>();
}

std::string to_json_text(const answer& value)
{
  json out = value;
  out["body"] = to_base64(value.body);
  return dump(out);
}

answer answer_from(const std::string& text)
{
  answer value = json::parse(text).get<answer>();
  value.body = from_base64(value.body);
  return value;
}

std::string to_json_text(const claim_request& message)
{
  return dump(json(message));
}
claim_request claim_request_from(const std::string& text)
{
  return json::parse(text).get<claim_request>();
}

std::string to_json_text(const claim_answer& message)
{
  json out = message;
  for (json& ended : out["ended"])
    ended["body"] = to_base64(ended["body"].get_ref<const std::string&>());
  return dump(out);
}

claim_answer claim_answer_from(const std::string& text)
{
  claim_answer message = json::parse(text).get<claim_answer>();
  for (ended_attempt& ended : message.ended)
    ended.body = from_base64(ended.body);
  return message;
}

std::string to_json_text(const start_request& message)
{
  return dump(json(message));
}
start_request start_request_from(const std::string& text)
{
  return json::parse(text).get<start_request>();
}

std::string to_json_text(const start_answer& message)
{
  return dump(json(message));
}
start_answer start_answer_from(const std::string& text)
{
  return json::parse(text).get<start_answer>();
}

std::string to_json_text(const stop_request& message)
{
  return dump(json(message));
}
stop_request stop_request_from(const std::string& text)
{
  return json::parse(text).get<stop_request>();
}
} // namespace yardhill::common
