// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Learns by queue how long tasks take compared with the estimates of their jobs. The queues differ:
// the estimates of some are off by up to a tenth, those of others by nine tenths.

#include <map>
#include <string>

#include "Common/Time.h"

namespace yardhill::scheduling
{
class runtime_model
{
public:
  // Records that a task with that estimate took `actual` on a worker that was not considered slow.
  void learn(const std::string& queue, common::duration estimate, common::duration actual);
  // The average duration of healthy runs of tasks with that estimate.
  common::duration expected(const std::string& queue, common::duration estimate) const;
  // An upper bound that hardly any healthy run of a task with that estimate exceeds.
  common::duration longest(const std::string& queue, common::duration estimate) const;

private:
  struct ratio
  {
    double mean = 1.0;
    double deviation = 0.4; // mean absolute deviation
  };

  std::map<std::string, ratio> m_ratios;
};
} // namespace yardhill::scheduling
