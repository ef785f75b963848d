// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/SubmissionRetries.h"

#include <algorithm>
#include <utility>

namespace yardhill::node
{
submission_retries::submission_retries(common::timekeeper& time, common::metrics& counts)
    : m_time(time), m_queue(counts), m_timer(time)
{
}

submission_retries::ticket submission_retries::add(std::uint32_t priority)
{
  return m_queue.add(priority, m_time.now());
}

void submission_retries::wait(ticket which, common::time_point retry_at, common::time_point latest,
                              std::function<void()> retry)
{
  m_queue.wait(which, retry_at, latest);
  m_retries[which] = std::move(retry);
  restart_timer();
}

void submission_retries::remove(ticket which, bool stored)
{
  m_queue.remove(which, stored, m_time.now());
}

void submission_retries::store_lost()
{
  m_queue.store_lost(m_time.now());
  restart_timer();
}

void submission_retries::store_restored(std::size_t instances)
{
  m_queue.store_restored(instances, m_time.now());
  restart_timer();
}

void submission_retries::run_due()
{
  for (const ticket which : m_queue.take_due(m_time.now()))
    m_retries.extract(which).mapped()();
  restart_timer();
}

void submission_retries::restart_timer()
{
  const auto next = m_queue.next_due();
  if (!next)
  {
    m_timer.cancel();
    return;
  }
  m_timer.start(std::max(*next - m_time.now(), common::duration{0}), [this] { run_due(); });
}
} // namespace yardhill::node
