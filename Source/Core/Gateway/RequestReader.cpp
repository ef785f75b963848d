// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/RequestReader.h"

#include <nlohmann/json.hpp>

#include "Common/CellConfig.h"
#include "Common/FieldReader.h"
#include "Gateway/AnswerForm.h"

namespace yardhill::gateway
{
namespace
{
constexpr std::size_t k_max_key_bytes = 200;
constexpr std::int64_t k_max_base_version = INT64_MAX;

answer malformed(const problem_list& problems)
{
  std::string detail;
  for (const file_problem& problem : problems)
    detail += (detail.empty() ? "" : " | ") + to_text(problem);
  return bad_request(refusal_reason::malformed_request, detail);
}

void check_key(field_reader& in, const std::string& key)
{
  if (key.size() > k_max_key_bytes)
    in.problem("key", "is too long", "at most 200 bytes");
  if (key.find(k_generated_key_mark) != std::string::npos)
    in.problem("key", "holds a ~", "a key without ~");
}

// Parses the whole body as a JSON object. If it is not one, adds a problem and returns nullopt.
// nlohmann rejects text that is not UTF-8.
std::optional<nlohmann::json> read_object(const std::string& body, problem_list& problems)
{
  std::optional<nlohmann::json> document = parse_with_comments(body, "request", problems);
  if (document && !document->is_object())
  {
    problems.push_back({"request", "", "is not an object", "an object"});
    return std::nullopt;
  }
  return document;
}
} // namespace

std::variant<instance::caller_request, answer> read_submit(const std::string& body)
{
  problem_list problems;
  const std::optional<nlohmann::json> document = read_object(body, problems);
  if (!document)
    return malformed(problems);
  field_reader in(*document, "request", "", problems);
  instance::caller_request request;
  request.workload = workload_id{in.text("workload")};
  request.key = in.text("key", "");
  check_key(in, request.key);
  request.payload = in.text("payload", "");
  const duration deadline =
      in.time_span("deadline", std::chrono::milliseconds{1}, std::chrono::milliseconds{0});
  if (in.has("deadline"))
    request.deadline = deadline;
  const bool repeatable = in.boolean("repeatable", true);
  if (in.has("repeatable"))
    request.repeatable = repeatable;
  request.waits = in.boolean("wait", true);
  in.finish();
  if (!problems.empty())
    return malformed(problems);
  return request;
}

std::variant<instance::apply_request, answer> read_apply(const std::string& body)
{
  problem_list problems;
  const std::optional<nlohmann::json> document = read_object(body, problems);
  if (!document)
    return malformed(problems);
  field_reader in(*document, "request", "", problems);
  instance::apply_request request;
  request.base = static_cast<std::uint64_t>(in.integer("base", {0, k_max_base_version}));
  request.apply_id = in.text("apply_id");
  request.document = in.text("document");
  in.finish();
  if (!problems.empty())
    return malformed(problems);
  return request;
}
} // namespace yardhill::gateway
