// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Limits the rate of starts while the event loop is late. Each start causes work for the loop (the
// request, its reply and the end of the task), and the same loop extends the leases.
//
// A token bucket whose rate is lowered by a factor while the loop is late and raised steadily while
// it is not (additive increase, multiplicative decrease). There is no limit until the loop is late.

#include <optional>

#include "Common/Time.h"

namespace yardhill::scheduling
{
using common::duration;
using common::time_point;

struct start_budget_options
{
  // From this lateness on the loop counts as late: a fifth of the time between two lease renewals.
  duration late_threshold = std::chrono::milliseconds{100};
  // The time after which starts affect the loop's lateness. The rate is decreased at most once
  // within this time.
  duration reaction_time = std::chrono::milliseconds{250};
  // Rates in starts per second. The first limit is at least `initial_rate`, no limit is below
  // `min_rate`, and the limit is removed once it has risen to `max_rate`.
  double min_rate = 100.0;
  double initial_rate = 400.0;
  double max_rate = 5000.0;
  double decrease_factor = 0.7;
  double increase_per_second = 200.0; // starts per second, each second
  // The budget of a pass is at most the starts that the rate allows in this time, or one start if
  // that is more.
  duration burst = std::chrono::milliseconds{100};
  // Gangs, repeated start requests and long-running tasks are sent even beyond the budget. The
  // excess delays other starts by at most this time.
  duration max_debt = std::chrono::milliseconds{300};
};

class start_budget
{
public:
  explicit start_budget(const start_budget_options& options = {}) : m_options(options) {}

  // Begins a pass. `lateness` is the event loop's most recent lateness.
  void begin_pass(duration lateness, time_point now);
  // Counts a start that is sent. It may exceed the budget; later passes then get less.
  void take() { m_sent += 1.0; }

  bool bounded() const { return m_rate.has_value(); }
  // Whether this pass should send no further starts.
  bool spent() const { return bounded() && m_sent >= m_allowed; }
  // The limit in starts per second; none if there is no limit.
  std::optional<double> rate() const { return m_rate; }

private:
  void measure(time_point now);
  void decrease_rate(time_point now);
  void increase_rate(duration elapsed);

  start_budget_options m_options;
  std::optional<double> m_rate;
  double m_allowed = 0.0; // starts allowed in this pass
  double m_sent = 0.0;    // starts sent in this pass
  std::optional<time_point> m_latest_pass;
  std::optional<time_point> m_latest_decrease;
  // Measures m_achieved_rate: the starts per second sent in the latest period of `reaction_time`.
  time_point m_measured_since{};
  double m_sent_since = 0.0;
  double m_achieved_rate = 0.0;
};
} // namespace yardhill::scheduling
