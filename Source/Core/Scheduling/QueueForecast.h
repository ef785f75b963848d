// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Predicts by priority when a job that arrives now would have its first start, while the demand
// exceeds the workers' capacity.
//
// The prediction is the work that waits ahead of the job, divided by the rate at which work of the
// job's priority or a higher one was started in the last seconds. It does not allow for work of a
// higher priority that arrives later, so a job may start later than predicted.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "Common/Metrics.h"
#include "Common/Time.h"
#include "Jobs/JobSpec.h"

namespace yardhill::scheduling
{
using common::duration;
using common::time_point;

// An amount of work: cores times estimated run time.
using core_milliseconds = double;

// The work of one task of the step.
core_milliseconds work_of_task(const jobs::step_spec& step);

// The work that waits for workers' capacity in the jobs of one priority.
struct waiting_work
{
  core_milliseconds in_time = 0; // of jobs that can still earn their full credit
  core_milliseconds late = 0;    // of jobs that can still earn a part of it; served after those
  std::int64_t cpu_millis = 0;   // demand of the waiting tasks, in thousandths of a core
  // The shortest latency target of the priority's queues. A new job that starts within this time
  // can still earn its full credit, so it starts before the late jobs.
  std::chrono::milliseconds latency_target{0};
};

class queue_forecast
{
public:
  // The rate of starts is measured over this time, or over the time for which work has waited if
  // that is shorter: before that, the rate is that of the arrivals.
  static constexpr std::chrono::seconds k_rate_window{4};
  // Nothing is predicted unless work has waited for capacity for this time without a break, and
  // before starts have been observed for this time. Gaps that are shorter are usual at a load of
  // 80 to 90 %.
  static constexpr std::chrono::seconds k_onset{1};
  // Adding up the waiting work costs about as much as a pass's sorting of the steps.
  static constexpr std::chrono::milliseconds k_observation_period{200};
  // An older observation is not evidence.
  static constexpr std::chrono::seconds k_max_age{1};
  static constexpr std::chrono::hours k_max_wait{1};

  explicit queue_forecast(common::metrics& metrics) : m_metrics(metrics) {}

  // Records that a task is started.
  void record_start(std::uint32_t priority, core_milliseconds work, time_point now);
  // Whether it is time for the next observation.
  bool due(time_point now) const;
  // Observes the work that waits, by priority, and the free capacity of the workers on which tasks
  // may be started. `waiting` has an entry for each priority that a new job may have.
  void observe(const std::map<std::uint32_t, waiting_work>& waiting, std::int64_t free_cpu_millis,
               time_point now);
  // Nothing may be started at present, so that starts do not show the workers' capacity.
  void suspend(time_point now);

  // The predicted waits of new jobs until their first start, by priority. There is no entry for a
  // priority for which nothing is predicted.
  std::map<std::uint32_t, std::chrono::milliseconds> predicted_waits(time_point now) const;
  // The longest predicted wait; zero if there is none.
  std::chrono::milliseconds longest_wait(time_point now) const;

private:
  struct started_work
  {
    time_point at;
    core_milliseconds work = 0;
  };
  // The waiting work of one priority together with that of all higher priorities.
  struct demand_ahead
  {
    std::uint32_t priority = 0;
    core_milliseconds before_late = 0; // all but the late jobs of the priority itself
    core_milliseconds late = 0;        // the late jobs of the priority itself
    std::int64_t cpu_millis = 0;
    std::chrono::milliseconds latency_target{0};
  };
  struct forecast
  {
    std::optional<time_point> waiting_since;
    std::optional<std::chrono::milliseconds> wait; // none: nothing is predicted
  };

  void update(const demand_ahead& demand, std::int64_t free_cpu_millis, time_point now);
  void set_wait(const demand_ahead& demand, std::int64_t free_cpu_millis, core_milliseconds started,
                duration span, std::optional<std::chrono::milliseconds> wait);
  core_milliseconds started_since(std::uint32_t priority, time_point since) const;

  common::metrics& m_metrics;
  std::map<std::uint32_t, std::deque<started_work>> m_starts; // by priority
  std::optional<time_point> m_first_start;                    // since starts have been observed
  std::optional<time_point> m_observed;
  std::map<std::uint32_t, forecast> m_forecasts; // by priority
};
} // namespace yardhill::scheduling
