// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Bounds retries to a fraction of first tries, so that an outage does not multiply the load.

#include <algorithm>

namespace yardhill::decision
{
class retry_budget
{
public:
  explicit retry_budget(double per_first_try) : m_per_first_try(per_first_try) {}

  void first_try() { m_tokens = std::min(k_most_tokens, m_tokens + m_per_first_try); }

  // Takes one retry out of the budget; false when it is used up.
  bool take()
  {
    if (m_tokens < 1.0)
      return false;
    m_tokens -= 1.0;
    return true;
  }

private:
  static constexpr double k_most_tokens = 100.0;

  double m_per_first_try;
  double m_tokens = k_most_tokens;
};
} // namespace yardhill::decision
