// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/AdviceQueue.h"

#include <utility>

namespace yardhill::node
{
namespace
{
// The service may be slower than its configured time; beyond this factor and slack a call is lost.
constexpr int k_timeout_factor = 2;
constexpr std::chrono::milliseconds k_timeout_slack{700};
} // namespace

advice_queue::advice_queue(common::timekeeper& time, adapter::advice_client& client)
    : m_time(time), m_client(client)
{
}

void advice_queue::ask(scheduling::advice_command question, answer_handler done)
{
  const auto expected = question.expected;
  m_waiting.emplace(expected, waiting{std::move(question), std::move(done), m_time.now()});
  next();
}

std::chrono::milliseconds advice_queue::backlog() const
{
  std::chrono::milliseconds sum = m_under_way;
  for (const auto& [expected, each] : m_waiting)
    sum += expected;
  return sum;
}

void advice_queue::next()
{
  if (m_busy || m_waiting.empty())
    return;
  auto first = m_waiting.extract(m_waiting.begin());
  waiting call = std::move(first.mapped());
  m_busy = true;
  m_under_way = first.key();
  m_client.ask(call.question, first.key() * k_timeout_factor + k_timeout_slack,
               [this, done = std::move(call.done)](scheduling::advice_answer answer)
               {
                 m_busy = false;
                 m_under_way = std::chrono::milliseconds{0};
                 answer.received = m_time.now();
                 next();
                 done(std::move(answer));
               });
}
} // namespace yardhill::node
