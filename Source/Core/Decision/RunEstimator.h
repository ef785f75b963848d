// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Estimates how long a workload's tasks run from their latest runs, since declared run times are
// often far off.

#include <array>
#include <cstddef>
#include <unordered_map>

#include "Common/Ids.h"
#include "Common/Time.h"

namespace yardhill::decision
{
using namespace common;

class run_estimator
{
public:
  // With `learn` false, estimate() always returns the declared run time, as the baseline policies
  // do.
  explicit run_estimator(bool learn) : m_learn(learn) {}

  void observed(const workload_id& workload, duration ran);
  // Returns the 0.9 quantile of the latest runs, or the declared run time until k_min_samples runs
  // were observed.
  duration estimate(const workload_id& workload, duration declared) const;

private:
  static constexpr std::size_t k_sample_count = 32;
  static constexpr std::size_t k_min_samples = 4;

  struct history
  {
    std::array<duration, k_sample_count> latest{};
    std::size_t run_count = 0;
    duration high_quantile{0}; // of `latest`
  };

  bool m_learn;
  std::unordered_map<workload_id, history> m_histories;
};
} // namespace yardhill::decision
