// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/DuplicatedRequest.h"

#include <utility>

namespace yardhill::node
{
namespace
{
constexpr unsigned k_too_many_requests = 429;
constexpr unsigned k_unavailable = 503;
constexpr unsigned k_first_server_error = 500;

// Whether this reply alone shows the request's outcome, whatever the reply to the other copy is.
bool is_conclusive(const http::reply& answer)
{
  return answer.answered() && answer.status < k_first_server_error &&
         !certainly_not_executed(answer);
}
} // namespace

bool certainly_not_executed(const http::reply& answer)
{
  if (!answer.answered())
    return answer.refused;
  return answer.status == k_too_many_requests || answer.status == k_unavailable;
}

duplicated_request::duplicated_request(http::reply_handler done) : m_done(std::move(done)) {}

void duplicated_request::answered(const http::reply& answer)
{
  if (!m_done)
    return;
  if (!is_conclusive(answer) && !m_first_reply)
  {
    m_first_reply = answer;
    return;
  }
  const bool may_be_executed = is_conclusive(answer) || !certainly_not_executed(answer);
  const http::reply outcome = may_be_executed ? answer : *m_first_reply;
  std::exchange(m_done, nullptr)(outcome);
}
} // namespace yardhill::node
