// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Estimates how long replies currently take, and from that the time after which a call counts as
// unanswered. Uses the estimator of RFC 6298, section 2, for calls instead of segments.
//
// A fixed timeout fails once a link or a processor is the bottleneck: then all calls time out, each
// one is repeated, and the repeated calls keep the queue from shrinking.

#include <algorithm>
#include <optional>

#include "Common/Time.h"

namespace yardhill::http
{
class round_trip_estimator
{
public:
  // Adds the duration of an answered call, including one whose reply arrived after its timeout.
  void add(common::duration sample)
  {
    if (!m_smoothed)
    {
      m_smoothed = sample;
      m_deviation = sample / 2;
      return;
    }
    const common::duration error =
        sample > *m_smoothed ? sample - *m_smoothed : *m_smoothed - sample;
    m_deviation += (error - m_deviation) / k_deviation_gain;
    *m_smoothed += (sample - *m_smoothed) / k_smoothing_gain;
  }

  // The smoothed round-trip time; zero before the first sample.
  common::duration smoothed() const { return m_smoothed.value_or(common::duration{0}); }

  // The smoothed round-trip time plus four deviations, limited to [`least`, `most`].
  common::duration timeout(common::duration least, common::duration most) const
  {
    return std::clamp(smoothed() + k_deviation_factor * m_deviation, least, most);
  }

private:
  // RFC 6298: gains of 1/8 and 1/4 (as divisors), and a timeout of four deviations above the mean.
  static constexpr int k_smoothing_gain = 8;
  static constexpr int k_deviation_gain = 4;
  static constexpr int k_deviation_factor = 4;

  std::optional<common::duration> m_smoothed;
  common::duration m_deviation{0};
};
} // namespace yardhill::http
