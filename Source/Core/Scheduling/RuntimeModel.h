// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// How long tasks really take, against what their jobs say: learned by queue, since the estimates of
// one queue are off by up to a tenth and those of another by nine.

#include <map>
#include <string>

#include "Common/Time.h"

namespace yardhill::scheduling
{
class runtime_model
{
public:
  // A task of that estimate took `actual` on a worker that was not thought slow.
  void learn(const std::string& queue, common::duration estimate, common::duration actual);
  // How long sound runs of that estimate take on average.
  common::duration expected(const std::string& queue, common::duration estimate) const;
  // Hardly any sound run of that estimate takes longer.
  common::duration longest(const std::string& queue, common::duration estimate) const;

private:
  struct ratio
  {
    double mean = 1.0;
    double deviation = 0.4; // mean distance from the mean
  };

  std::map<std::string, ratio> m_ratios;
};
} // namespace yardhill::scheduling
