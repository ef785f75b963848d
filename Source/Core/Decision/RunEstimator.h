// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Learns how long a workload's tasks really run, since declared times are often far off.

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
  // With `learn` off it believes the declarations, as the baselines do.
  explicit run_estimator(bool learn) : m_learn(learn) {}

  void observed(const workload_id& workload, duration ran);
  // A high quantile of the latest runs; the declared time until enough were seen.
  duration estimate(const workload_id& workload, duration declared) const;

private:
  static constexpr std::size_t k_remembered = 32;
  static constexpr std::size_t k_enough = 4;

  struct history
  {
    std::array<duration, k_remembered> latest{};
    std::size_t seen = 0;
    duration high{0}; // quantile of `latest`
  };

  bool m_learn;
  std::unordered_map<workload_id, history> m_histories;
};
} // namespace yardhill::decision
