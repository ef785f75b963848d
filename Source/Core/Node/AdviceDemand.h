// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Measures how much of the advice service's time short calls take, and decides how many instances
// are kept free of long calls for them.
//
// Answers the load in which nearly all of the service's time goes to long calls, for which gangs
// and wide steps wait, while a fixed share of the instances served few short calls.

#include <chrono>
#include <cstddef>

#include "Common/Time.h"

namespace yardhill::node
{
class advice_demand
{
public:
  // Records a short call that is expected to take this long.
  void add(std::chrono::milliseconds expected, common::time_point now);
  // How many of the instances to reserve for short calls: `share` of them until the demand has been
  // measured, then as many as the calls need, but no more than that.
  std::size_t reserved(std::size_t instances, double share, common::time_point now) const;

private:
  // The service's time in seconds per second.
  double load(common::time_point now) const;

  std::chrono::duration<double> m_decayed{0}; // time of all calls, older ones with less weight
  common::time_point m_latest{};
  common::time_point m_first{};
};
} // namespace yardhill::node
