// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/WorkerSpeeds.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "Common/EventLog.h"

namespace yardhill::scheduling
{
namespace
{
// An evaluation sorts the samples of all workers.
constexpr std::chrono::seconds k_evaluation_period{1};
// The ratios are used if the fastest quarter of the workers is at least this much faster than the
// slowest one, and until the difference is below the second value. A worker's ratio is itself wrong
// by about a tenth, so smaller differences are not worth a decision.
constexpr double k_min_speed_difference = 1.35;
constexpr double k_end_speed_difference = 1.2;
// The difference also has to exceed this many standard errors, because a few workers with few
// samples may differ that much by chance.
constexpr double k_min_standard_errors = 5.0;
// The interquartile range of a normal distribution in standard deviations.
constexpr double k_quartiles_per_deviation = 1.35;
// Standard error of a median compared with that of a mean.
constexpr double k_median_error = 1.25;
// Limits the effect of a ratio on decisions.
constexpr double k_max_ratio = 4.0;
// Weight of a new sample in a queue's baseline: about the last hundred runs determine it.
constexpr double k_baseline_weight = 0.02;
// Larger deviations from the baseline come from hangs and slow runs and are limited to this value.
constexpr double k_max_baseline_deviation = 1.0;

// Weight of the speed in the placement score. The difference between two workers is at most twice
// this value, which together with that of their utilization (at most 1) stays below the weight of
// the data's rack (2.0).
constexpr double k_placement_weight = 0.45;
// A step with less slack than its critical path loses its objective on a worker of half the speed.
// One with three times as much meets it even if it also has to wait for a while.
constexpr double k_little_slack = 1.0;
constexpr double k_much_slack = 3.0;

// The mean of the middle half: hangs and single slow runs hardly affect it, and it varies less
// than the median. The values must not be empty.
double midmean(std::vector<double> values)
{
  std::sort(values.begin(), values.end());
  const std::size_t quarter = values.size() / 4;
  const std::size_t middle = values.size() - 2 * quarter;
  const auto begin = values.begin() + static_cast<std::ptrdiff_t>(quarter);
  const double sum = std::accumulate(begin, begin + static_cast<std::ptrdiff_t>(middle), 0.0);
  return sum / static_cast<double>(middle);
}

double median(std::vector<double> values)
{
  const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

double interquartile_range(std::vector<double> values)
{
  std::sort(values.begin(), values.end());
  return values[values.size() - 1 - values.size() / 4] - values[values.size() / 4];
}

// The samples of one worker in two parts by time.
struct split_samples
{
  double older = 0.0;
  double newer = 0.0;
};
} // namespace

void worker_speeds::record(const worker_id& worker, const std::string& queue, duration expected,
                           duration actual, time_point now)
{
  if (expected.count() <= 0 || actual.count() <= 0)
    return;
  const double sample =
      std::log(static_cast<double>(actual.count()) / static_cast<double>(expected.count()));
  // The expected run time is an average, which exceeds the typical run time the more, the larger
  // the errors of the queue's estimates are. Without the baseline, workers that run tasks of one
  // queue would seem faster than those that run tasks of another.
  double& baseline = m_baselines[queue];
  baseline += k_baseline_weight * std::clamp(sample + std::log(ratio(worker)) - baseline,
                                             -k_max_baseline_deviation, k_max_baseline_deviation);
  m_workers[worker.value].samples.push_back(sample - baseline);
  if (m_evaluated && now - *m_evaluated < k_evaluation_period)
    return;
  m_evaluated = now;
  evaluate(now);
}

double worker_speeds::ratio(const worker_id& worker) const
{
  if (!m_active)
    return 1.0;
  const auto found = m_workers.find(worker.value);
  return found == m_workers.end() ? 1.0 : found->second.ratio;
}

duration worker_speeds::time_on(const worker_id& worker, duration normal) const
{
  if (!m_active)
    return normal;
  return std::chrono::duration_cast<duration>(normal / ratio(worker));
}

duration worker_speeds::normalised(const worker_id& worker, duration actual) const
{
  if (!m_active)
    return actual;
  return std::chrono::duration_cast<duration>(actual * ratio(worker));
}

double worker_speeds::preference(duration slack, duration critical_path, bool last)
{
  if (critical_path.count() <= 0)
    return 0.0;
  const double relative =
      static_cast<double>(slack.count()) / static_cast<double>(critical_path.count());
  if (last && relative < k_much_slack)
    return 1.0;
  constexpr double middle = (k_little_slack + k_much_slack) / 2;
  constexpr double half_range = (k_much_slack - k_little_slack) / 2;
  return std::clamp((middle - relative) / half_range, -1.0, 1.0);
}

double worker_speeds::placement_term(const worker_id& worker, double preference) const
{
  if (!m_active || preference == 0.0)
    return 0.0;
  return k_placement_weight * preference * std::clamp(std::log2(ratio(worker)), -1.0, 1.0);
}

void worker_speeds::evaluate(time_point now)
{
  compute_ratios();
  const std::optional<speed_spread> found = spread();
  const speed_spread differences = found.value_or(speed_spread{});
  const double begin =
      std::max(std::log(k_min_speed_difference), k_min_standard_errors * differences.error);
  const bool differ =
      found && differences.value >= (m_active ? std::log(k_end_speed_difference) : begin);
  if (differ == m_active)
  {
    m_contradicted_since.reset();
    return;
  }
  m_contradicted_since = m_contradicted_since.value_or(now);
  if (now - *m_contradicted_since < k_settling_time)
    return;
  m_contradicted_since.reset();
  set_active(differ, std::exp(differences.value));
}

// The mean of the logarithms is the reference, so that the ratios and the run times that the
// runtime model learns from them cannot drift together.
void worker_speeds::compute_ratios()
{
  double sum = 0.0;
  m_sampled = 0;
  std::vector<std::pair<observed_worker*, double>> typical;
  for (auto& [id, worker] : m_workers)
  {
    worker.ratio = 1.0;
    if (worker.samples.size() < k_min_samples)
      continue;
    typical.emplace_back(&worker, midmean({worker.samples.begin(), worker.samples.end()}));
    sum += typical.back().second;
  }
  m_sampled = typical.size();
  const double reference = typical.empty() ? 0.0 : sum / static_cast<double>(m_sampled);
  for (const auto& [worker, sample] : typical)
    worker->ratio = std::clamp(std::exp(reference - sample), 1.0 / k_max_ratio, k_max_ratio);
}

// Ranks the workers by the older half of their samples, and compares the newer halves of the
// slowest and the fastest quarter. Where all workers are alike, the newer halves do not depend on
// the ranks, however wrong the estimates are. A slow spell that is in only one of the halves does
// not count either. The medians ignore single workers.
std::optional<worker_speeds::speed_spread> worker_speeds::spread() const
{
  std::vector<split_samples> workers;
  std::vector<double> ranges;
  double samples = 0.0;
  for (const auto& [id, worker] : m_workers)
  {
    if (worker.samples.size() < k_min_samples)
      continue;
    const auto middle =
        worker.samples.begin() + static_cast<std::ptrdiff_t>(worker.samples.size() / 2);
    workers.push_back(
        {midmean({worker.samples.begin(), middle}), midmean({middle, worker.samples.end()})});
    ranges.push_back(interquartile_range({worker.samples.begin(), worker.samples.end()}));
    samples += static_cast<double>(worker.samples.size());
  }
  if (workers.size() < k_min_workers)
    return std::nullopt;
  std::sort(workers.begin(), workers.end(),
            [](const split_samples& left, const split_samples& right)
            { return left.older < right.older; });
  const std::size_t quarter = workers.size() / 4;
  std::vector<double> fastest;
  std::vector<double> slowest;
  for (std::size_t i = 0; i < quarter; ++i)
  {
    fastest.push_back(workers[i].newer);
    slowest.push_back(workers[workers.size() - 1 - i].newer);
  }
  const double newer_samples = samples / static_cast<double>(workers.size()) / 2;
  const double deviation = median(ranges) / k_quartiles_per_deviation;
  speed_spread result;
  result.value = median(slowest) - median(fastest);
  result.error =
      k_median_error * deviation * std::sqrt(2.0 / (static_cast<double>(quarter) * newer_samples));
  return result;
}

void worker_speeds::set_active(bool active, double spread)
{
  m_active = active;
  common::log_process("worker_speeds",
                      {{"active", active}, {"spread", spread}, {"workers_sampled", m_sampled}});
}
} // namespace yardhill::scheduling
