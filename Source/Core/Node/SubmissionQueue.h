// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Decides when submissions whose write failed are written again.
//
// Usually each has a retry time of its own. While the store does not answer, the retry times stay
// in force, since a peer may reach the store. When the store answers again, the submissions that
// waited for it are released at once, whatever their retry times: the most urgent queues first, and
// at a bounded rate, since all instances do this at the same moment.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "Common/Metrics.h"
#include "Common/Time.h"

namespace yardhill::node
{
class submission_queue
{
public:
  using ticket = std::uint64_t;

  // The submissions that waited during an outage.
  struct outage_report
  {
    std::size_t waited = 0;
    std::size_t stored = 0;
    common::duration longest_wait{};
  };

  explicit submission_queue(common::metrics& counts) : m_metrics(counts) {}

  // Adds a submission whose first write has failed.
  ticket add(std::uint32_t priority, common::time_point now);
  // The submission waits for its next write, until `latest` at most.
  void wait(ticket which, common::time_point retry_at, common::time_point latest);
  // The submission has been answered; `stored`: its job is in the store.
  void remove(ticket which, bool stored, common::time_point now);

  void store_lost(common::time_point now);
  // `instances`: how many there are in the cell, which share the store's rate limit.
  void store_restored(std::size_t instances, common::time_point now);
  bool store_failing() const { return m_failing; }
  bool empty() const { return m_submissions.empty(); }

  // The submissions to write now, the most urgent first. A submission is returned
  // again only after the next wait().
  std::vector<ticket> take_due(common::time_point now);
  // When take_due() has to be called next; none if no submission waits.
  std::optional<common::time_point> next_due() const;

  // The latest outage whose submissions have all been answered.
  const std::optional<outage_report>& last_outage() const { return m_last_outage; }

private:
  struct submission
  {
    std::uint32_t priority = 0;
    common::time_point since{};
    common::time_point latest{};
    std::optional<common::time_point> retry_at; // none: its write is in flight
    bool in_outage = false;                     // it waited while the store did not answer
  };

  // Whether the submission waits to be released at the bounded rate.
  bool paced(const submission& each) const { return each.in_outage && !m_failing; }
  void count_in_outage(submission& each);
  void finish_outage();
  std::vector<ticket> by_urgency(std::vector<ticket> which) const;

  common::metrics& m_metrics;
  std::map<ticket, submission> m_submissions;
  ticket m_last_ticket = 0;
  bool m_failing = false;
  std::size_t m_left_of_outage = 0; // submissions with `in_outage`
  outage_report m_outage;
  std::optional<outage_report> m_last_outage;
  common::duration m_release_interval{};
  common::time_point m_next_release{};
};
} // namespace yardhill::node
