// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/AdviceQueue.h"

#include <utility>

namespace yardhill::node
{
namespace
{
// The service may be slower than its configured time. A call without an answer after its expected
// time multiplied by this factor plus this slack counts as lost.
constexpr int k_timeout_factor = 2;
constexpr std::chrono::milliseconds k_timeout_slack{700};
} // namespace

advice_queue::advice_queue(common::timekeeper& time, adapter::advice_client& client)
    : m_time(time), m_client(client)
{
}

void advice_queue::ask(scheduling::advice_command command, answer_handler done)
{
  const auto expected = command.expected;
  m_queue.emplace(expected, queued_call{std::move(command), std::move(done), m_time.now()});
  start_next();
}

std::chrono::milliseconds advice_queue::backlog() const
{
  std::chrono::milliseconds sum = m_in_flight;
  for (const auto& [expected, each] : m_queue)
    sum += expected;
  return sum;
}

void advice_queue::start_next()
{
  if (m_busy || m_queue.empty())
    return;
  auto first = m_queue.extract(m_queue.begin());
  queued_call call = std::move(first.mapped());
  m_busy = true;
  m_in_flight = first.key();
  m_client.ask(call.command, first.key() * k_timeout_factor + k_timeout_slack,
               [this, done = std::move(call.done)](scheduling::advice_answer answer)
               {
                 m_busy = false;
                 m_in_flight = std::chrono::milliseconds{0};
                 answer.received = m_time.now();
                 start_next();
                 done(std::move(answer));
               });
}
} // namespace yardhill::node
