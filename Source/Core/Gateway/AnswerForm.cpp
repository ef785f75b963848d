// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/AnswerForm.h"

#include <array>
#include <utility>

#include "Common/EnumNames.h"
#include "Common/Json.h"

namespace yardhill::gateway
{
namespace
{
enum http_status : int
{
  ok = 200,
  accepted = 202,
  bad_request_status = 400,
  unauthorized = 401,
  forbidden = 403,
  not_found = 404,
  conflict = 409,
  gone = 410,
  too_large = 413,
  unprocessable = 422,
  too_many = 429,
  failed_run = 500,
  unavailable = 503,
  unknown_result = 504
};

int status_of_refusal(refusal_reason reason)
{
  switch (reason)
  {
  case refusal_reason::malformed_request:
  case refusal_reason::config_invalid:
    return bad_request_status;
  case refusal_reason::unknown_key:
    return unauthorized;
  case refusal_reason::other_workspace:
    return forbidden;
  case refusal_reason::request_too_large:
    return too_large;
  case refusal_reason::unknown_workload:
  case refusal_reason::unknown_task:
    return not_found;
  case refusal_reason::never_fits:
  case refusal_reason::quota_exceeded:
    return unprocessable;
  case refusal_reason::key_reused_differently:
  case refusal_reason::config_conflict:
    return conflict;
  case refusal_reason::queue_full:
  case refusal_reason::deadline_too_near:
    return too_many;
  case refusal_reason::none:
  case refusal_reason::zone_not_served:
  case refusal_reason::deadline_passed:
  case refusal_reason::no_owner:
  case refusal_reason::owner_unreachable:
  case refusal_reason::records_incomplete:
  case refusal_reason::store_unavailable:
  case refusal_reason::instance_stopping:
  case refusal_reason::cancelled_by_caller:
  case refusal_reason::start_refused:
  case refusal_reason::attempts_exhausted:
  case refusal_reason::run_unclear:
  case refusal_reason::count:
    break;
  }
  return unavailable;
}

int status_of(const answer& value)
{
  switch (value.result)
  {
  case outcome::done:
    return ok;
  case outcome::accepted:
    return accepted;
  case outcome::failed:
    return failed_run;
  case outcome::cancelled:
    return gone;
  case outcome::refused:
    return status_of_refusal(value.reason);
  case outcome::unknown:
  case outcome::count:
    break;
  }
  return unknown_result;
}

constexpr auto k_apply_names =
    std::to_array<std::string_view>({"applied", "conflict", "invalid", "unavailable", "unclear"});

constexpr std::array<int, k_apply_names.size()> k_apply_statuses{ok, conflict, bad_request_status,
                                                                 unavailable, unknown_result};
} // namespace

http_form form_of(const answer& value)
{
  http_form form;
  form.status = status_of(value);
  if (value.result == outcome::done)
  {
    form.body = value.body;
    form.is_result = true;
    return form;
  }
  const json out{{"code", to_text(value.result)},
                 {"reason", to_text(value.reason)},
                 {"step", value.step},
                 {"peer", value.peer},
                 {"retry_after_ms", to_milliseconds(value.retry_after).count()},
                 {"task", value.task.value},
                 {"detail", value.detail},
                 {"durability", value.durability},
                 {"attempts", value.attempts}};
  form.body = out.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
  return form;
}

http_form form_of(const instance::answer_apply& value)
{
  http_form form;
  form.status = k_apply_statuses.at(static_cast<std::size_t>(value.result));
  const json out{{"code", name_of(k_apply_names, value.result)},
                 {"version", value.version},
                 {"problems", value.problems}};
  form.body = out.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
  return form;
}

answer bad_request(refusal_reason reason, std::string detail)
{
  return refuse({}, reason, std::move(detail), "read", duration{0});
}
} // namespace yardhill::gateway
