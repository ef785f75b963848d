// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/QueueForecast.h"

#include <algorithm>

#include "Common/EventLog.h"
#include "Scheduling/WorkerRecord.h"

namespace yardhill::scheduling
{
namespace
{
constexpr double k_millis_per_core = 1000.0;
// Of a task without an estimate, so that it counts as work at all.
constexpr std::chrono::milliseconds k_min_estimate{1};

// The time in which `work` is started at the rate of `started` in `span`.
std::chrono::milliseconds start_time(core_milliseconds work, core_milliseconds started,
                                     duration span)
{
  const double wait_us = static_cast<double>(span.count()) * work / started;
  const auto most = static_cast<double>(duration{queue_forecast::k_max_wait}.count());
  return common::to_milliseconds(duration{static_cast<duration::rep>(std::min(wait_us, most))});
}
} // namespace

core_milliseconds work_of_task(const jobs::step_spec& step)
{
  const auto cores = static_cast<double>(required_resources(step).cpu_millis) / k_millis_per_core;
  return cores * static_cast<double>(std::max(step.estimate, k_min_estimate).count());
}

void queue_forecast::record_start(std::uint32_t priority, core_milliseconds work, time_point now)
{
  m_first_start = m_first_start.value_or(now);
  std::deque<started_work>& starts = m_starts[priority];
  if (!starts.empty() && starts.back().at == now)
    starts.back().work += work;
  else
    starts.push_back({now, work});
  while (now - starts.front().at > k_rate_window)
    starts.pop_front();
}

bool queue_forecast::due(time_point now) const
{
  return !m_observed || now - *m_observed >= k_observation_period;
}

void queue_forecast::observe(const std::map<std::uint32_t, waiting_work>& waiting,
                             std::int64_t free_cpu_millis, time_point now)
{
  m_observed = now;
  demand_ahead demand;
  for (const auto& [priority, work] : waiting)
  {
    demand.priority = priority;
    demand.before_late += demand.late + work.in_time;
    demand.late = work.late;
    demand.cpu_millis += work.cpu_millis;
    demand.latency_target = work.latency_target;
    update(demand, free_cpu_millis, now);
  }
  for (const auto& [priority, known] : m_forecasts)
  {
    demand_ahead none;
    none.priority = priority;
    if (!waiting.contains(priority))
      update(none, free_cpu_millis, now);
  }
}

void queue_forecast::suspend(time_point now)
{
  m_first_start.reset();
  observe({}, 0, now);
}

void queue_forecast::update(const demand_ahead& demand, std::int64_t free_cpu_millis,
                            time_point now)
{
  forecast& known = m_forecasts[demand.priority];
  if (demand.cpu_millis <= free_cpu_millis)
  {
    known.waiting_since.reset();
    set_wait(demand, free_cpu_millis, 0, duration{0}, std::nullopt);
    return;
  }
  known.waiting_since = known.waiting_since.value_or(now);
  const time_point since =
      std::max({now - k_rate_window, *known.waiting_since, m_first_start.value_or(now)});
  const duration span = now - since;
  const core_milliseconds started = started_since(demand.priority, since);
  // Without any start the rate is unknown: the tasks may run for longer than the time observed.
  if (span < k_onset || started <= 0)
  {
    set_wait(demand, free_cpu_millis, started, span, std::nullopt);
    return;
  }
  std::chrono::milliseconds wait = start_time(demand.before_late, started, span);
  if (wait > demand.latency_target)
    wait = start_time(demand.before_late + demand.late, started, span);
  set_wait(demand, free_cpu_millis, started, span, wait);
}

void queue_forecast::set_wait(const demand_ahead& demand, std::int64_t free_cpu_millis,
                              core_milliseconds started, duration span,
                              std::optional<std::chrono::milliseconds> wait)
{
  forecast& known = m_forecasts[demand.priority];
  const bool changed = known.wait.has_value() != wait.has_value();
  known.wait = wait;
  if (!changed)
    return;
  if (wait)
    m_metrics.add(common::counter::forecasts_begun);
  common::log_process("start_forecast", {{"priority", demand.priority},
                                         {"active", wait.has_value()},
                                         {"wait_ms", wait.value_or(std::chrono::milliseconds{0})},
                                         {"ahead_core_ms", demand.before_late},
                                         {"late_core_ms", demand.late},
                                         {"started_core_ms", started},
                                         {"observed_ms", span},
                                         {"waiting_cpu_millis", demand.cpu_millis},
                                         {"free_cpu_millis", free_cpu_millis}});
}

core_milliseconds queue_forecast::started_since(std::uint32_t priority, time_point since) const
{
  core_milliseconds sum = 0;
  for (const auto& [each, starts] : m_starts)
  {
    if (each > priority)
      break;
    // Starts at that very time used capacity that was free before the work had to wait.
    const auto first = std::upper_bound(starts.begin(), starts.end(), since,
                                        [](time_point time, const started_work& start)
                                        { return time < start.at; });
    for (auto start = first; start != starts.end(); ++start)
      sum += start->work;
  }
  return sum;
}

std::map<std::uint32_t, std::chrono::milliseconds>
queue_forecast::predicted_waits(time_point now) const
{
  std::map<std::uint32_t, std::chrono::milliseconds> waits;
  if (!m_observed || now - *m_observed > k_max_age)
    return waits;
  for (const auto& [priority, known] : m_forecasts)
  {
    if (known.wait)
      waits[priority] = *known.wait;
  }
  return waits;
}

std::chrono::milliseconds queue_forecast::longest_wait(time_point now) const
{
  std::chrono::milliseconds longest{0};
  for (const auto& [priority, wait] : predicted_waits(now))
    longest = std::max(longest, wait);
  return longest;
}
} // namespace yardhill::scheduling
