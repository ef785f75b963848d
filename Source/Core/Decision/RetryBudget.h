// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Limits retries to a fraction of first attempts, so that an outage does not multiply the load.

#include <algorithm>

namespace yardhill::decision
{
class retry_budget
{
public:
  explicit retry_budget(double tokens_per_first_attempt)
      : m_tokens_per_first_attempt(tokens_per_first_attempt)
  {
  }

  void add_first_attempt()
  {
    m_tokens = std::min(k_max_tokens, m_tokens + m_tokens_per_first_attempt);
  }

  // Takes one retry out of the budget. Returns false if the budget is used up.
  bool try_spend()
  {
    if (m_tokens < 1.0)
      return false;
    m_tokens -= 1.0;
    return true;
  }

private:
  static constexpr double k_max_tokens = 100.0;

  double m_tokens_per_first_attempt;
  double m_tokens = k_max_tokens;
};
} // namespace yardhill::decision
