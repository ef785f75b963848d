// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/SubmissionQueue.h"

#include <algorithm>
#include <tuple>

#include "Common/EventLog.h"

namespace yardhill::node
{
namespace
{
// How many submissions per second all instances together release. The store rejects writes beyond
// 1,200 a second; the rest is for new submissions and for the commits of the owners.
constexpr std::size_t k_releases_per_second = 800;
// After a pause of the event loop, at most the releases of this time are made up for.
constexpr std::chrono::milliseconds k_max_catch_up{50};
} // namespace

submission_queue::ticket submission_queue::add(std::uint32_t priority, common::time_point now)
{
  submission& added = m_submissions[++m_last_ticket];
  added.priority = priority;
  added.since = now;
  if (m_failing)
    count_in_outage(added);
  return m_last_ticket;
}

void submission_queue::wait(ticket which, common::time_point retry_at, common::time_point latest)
{
  submission& each = m_submissions.at(which);
  each.retry_at = retry_at;
  each.latest = latest;
}

void submission_queue::remove(ticket which, bool stored, common::time_point now)
{
  const submission ended = m_submissions.extract(which).mapped();
  if (!ended.in_outage)
    return;
  if (stored)
  {
    ++m_outage.stored;
    m_metrics.add(common::counter::waited_submissions_stored);
  }
  m_outage.longest_wait = std::max(m_outage.longest_wait, now - ended.since);
  --m_left_of_outage;
  finish_outage();
}

void submission_queue::count_in_outage(submission& each)
{
  each.in_outage = true;
  ++m_left_of_outage;
  m_metrics.add(common::counter::submissions_waited);
  if (m_outage.waited++ == 0)
    common::log_process("submissions_waiting", {{"priority", each.priority}});
}

void submission_queue::store_lost(common::time_point now)
{
  m_failing = true;
  for (auto& [which, each] : m_submissions)
  {
    if (each.in_outage)
      continue;
    each.since = now;
    count_in_outage(each);
  }
}

void submission_queue::store_restored(std::size_t instances, common::time_point now)
{
  m_failing = false;
  m_release_interval = std::chrono::duration_cast<common::duration>(std::chrono::seconds{1}) *
                       std::max<std::size_t>(instances, 1) / k_releases_per_second;
  m_next_release = now;
  for (auto& [which, each] : m_submissions)
  {
    if (each.retry_at)
      each.retry_at = std::min(*each.retry_at, now);
  }
  finish_outage();
}

void submission_queue::finish_outage()
{
  if (m_failing || m_left_of_outage > 0 || m_outage.waited == 0)
    return;
  common::log_process("submissions_drained", {{"waited", m_outage.waited},
                                              {"stored", m_outage.stored},
                                              {"longest_wait_ms", m_outage.longest_wait}});
  m_last_outage = m_outage;
  m_outage = {};
}

std::vector<submission_queue::ticket> submission_queue::by_urgency(std::vector<ticket> which) const
{
  const auto urgency = [this](ticket each)
  {
    const submission& found = m_submissions.at(each);
    return std::make_tuple(found.priority, found.latest, each);
  };
  std::sort(which.begin(), which.end(),
            [&urgency](ticket one, ticket other) { return urgency(one) < urgency(other); });
  return which;
}

std::vector<submission_queue::ticket> submission_queue::take_due(common::time_point now)
{
  std::vector<ticket> due;
  std::vector<ticket> releasable;
  for (const auto& [which, each] : m_submissions)
  {
    if (!each.retry_at)
      continue;
    if (each.latest <= now || (!paced(each) && *each.retry_at <= now))
      due.push_back(which);
    else if (*each.retry_at <= now)
      releasable.push_back(which);
  }
  m_next_release = std::max(m_next_release, now - k_max_catch_up);
  for (const ticket which : by_urgency(std::move(releasable)))
  {
    if (m_next_release > now)
      break;
    due.push_back(which);
    m_next_release += m_release_interval;
  }
  due = by_urgency(std::move(due));
  for (const ticket which : due)
    m_submissions.at(which).retry_at.reset();
  return due;
}

std::optional<common::time_point> submission_queue::next_due() const
{
  std::optional<common::time_point> next;
  for (const auto& [which, each] : m_submissions)
  {
    if (!each.retry_at)
      continue;
    const common::time_point release =
        paced(each) ? std::max(*each.retry_at, m_next_release) : *each.retry_at;
    const common::time_point due = std::min(each.latest, release);
    next = next ? std::min(*next, due) : due;
  }
  return next;
}
} // namespace yardhill::node
