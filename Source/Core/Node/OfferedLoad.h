// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Estimates the load that has arrived at all instances since the owner of a partition last reported
// its waits.
//
// All instances read the same report, which is up to half a second old. If they ignored what has
// arrived since, all retries and new jobs would be admitted at one moment once a report shows
// capacity.

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "Common/Time.h"

namespace yardhill::node
{
class offered_load
{
public:
  // The rate of arrivals is measured over this time. One instance of many gets few jobs: if it
  // counted only those since the last report, a single large job would stand for one at every
  // instance.
  static constexpr std::chrono::seconds k_rate_window{4};

  // Records a submission, whether a first one or a retry, for a job whose tasks require
  // `cpu_millis` thousandths of a core.
  void record(const std::string& partition, std::uint32_t priority, std::int64_t cpu_millis,
              common::time_point now);
  // What the jobs of this priority or a higher one require that are expected to have arrived since
  // the report, if each of `instances` gets as many as this one.
  std::int64_t arrived_since(common::time_point reported, const std::string& partition,
                             std::uint32_t priority, std::size_t instances,
                             common::time_point now) const;

private:
  struct submission
  {
    common::time_point at;
    std::uint32_t priority = 0;
    std::int64_t cpu_millis = 0;
  };
  std::map<std::string, std::deque<submission>> m_submissions; // by partition
};
} // namespace yardhill::node
