// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Paces starts while the event loop is late: each one brings an order, an answer and an end to work
// off, and leases are extended by the same loop.
//
// A token bucket whose rate falls by a factor while the loop is late and rises steadily while it is
// not (additive increase, multiplicative decrease). Without a late loop there is no bound.

#include <optional>

#include "Common/Time.h"

namespace yardhill::scheduling
{
using common::duration;
using common::time_point;

struct start_budget_options
{
  // Beyond this the loop counts as late: a fifth of the time between two renewals.
  duration late = std::chrono::milliseconds{100};
  // What is ordered shows in the loop's lateness after about this time: one decrease each.
  duration reaction = std::chrono::milliseconds{250};
  // Starts a second. The first bound is no lower than `first`, none is lower than `least`, and
  // there is none any more once it has risen to `most`.
  double least = 100.0;
  double first = 400.0;
  double most = 5000.0;
  double decrease = 0.7;
  double increase = 200.0; // a second
  // The starts of so long may be sent at once.
  duration burst = std::chrono::milliseconds{100};
  // What is sent beyond the budget (gangs, repeats, what lasts) holds up others for so long at
  // most.
  duration longest_debt = std::chrono::milliseconds{300};
};

class start_budget
{
public:
  explicit start_budget(const start_budget_options& options = {}) : m_options(options) {}

  // A pass begins, and the loop was late by so much at the latest.
  void begin_pass(duration lateness, time_point now);
  // A start is sent. More may be than the budget has left; later passes then have less.
  void take() { m_sent += 1.0; }

  bool bounded() const { return m_rate.has_value(); }
  // Whether this pass is to send no further starts.
  bool spent() const { return bounded() && m_sent >= m_allowed; }
  // Starts a second; none: not bounded.
  std::optional<double> rate() const { return m_rate; }

private:
  void measure(time_point now);
  void decrease(time_point now);
  void increase(duration passed);

  start_budget_options m_options;
  std::optional<double> m_rate;
  double m_allowed = 0.0; // starts in this pass
  double m_sent = 0.0;    // in this pass
  std::optional<time_point> m_latest_pass;
  std::optional<time_point> m_latest_decrease;
  // How fast starts were sent in the latest period of `reaction`.
  time_point m_measured_since{};
  double m_sent_since = 0.0;
  double m_achieved = 0.0;
};
} // namespace yardhill::scheduling
