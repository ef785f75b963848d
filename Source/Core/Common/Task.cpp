// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Common/Task.h"

#include <utility>

#include "Common/EnumNames.h"

namespace yardhill::common
{
namespace
{
constexpr auto k_kind_names =
    std::to_array<std::string_view>({"interactive", "service", "gang", "batch"});
static_assert(k_kind_names.size() == static_cast<std::size_t>(task_kind::count));

constexpr auto k_outcome_names = std::to_array<std::string_view>(
    {"accepted", "done", "failed", "cancelled", "refused", "unknown"});
static_assert(k_outcome_names.size() == static_cast<std::size_t>(outcome::count));

constexpr auto k_attempt_names =
    std::to_array<std::string_view>({"done", "failed", "stopped", "checkpointed", "lapsed"});
static_assert(k_attempt_names.size() == static_cast<std::size_t>(attempt_result::count));

answer answer_without_body(const task_id& task, outcome result, refusal_reason reason)
{
  answer value;
  value.task = task;
  value.result = result;
  value.reason = reason;
  return value;
}
} // namespace

std::string_view to_text(task_kind kind)
{
  return name_of(k_kind_names, kind);
}

std::optional<task_kind> task_kind_from(std::string_view name)
{
  return value_of<task_kind>(k_kind_names, name);
}

std::string_view to_text(outcome value)
{
  return name_of(k_outcome_names, value);
}

std::optional<outcome> outcome_from(std::string_view name)
{
  return value_of<outcome>(k_outcome_names, name);
}

std::string_view to_text(attempt_result result)
{
  return name_of(k_attempt_names, result);
}

std::optional<attempt_result> attempt_result_from(std::string_view name)
{
  return value_of<attempt_result>(k_attempt_names, name);
}

answer refuse(const task_id& task, refusal_reason reason, std::string detail, std::string step,
              duration retry_after)
{
  answer value = answer_without_body(task, outcome::refused, reason);
  value.detail = std::move(detail);
  value.step = std::move(step);
  value.retry_after = retry_after;
  return value;
}

answer unclear(const task_id& task, refusal_reason reason, std::string detail, std::string step,
               duration retry_after)
{
  answer value = refuse(task, reason, std::move(detail), std::move(step), retry_after);
  value.result = outcome::unknown;
  return value;
}
} // namespace yardhill::common
