// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Learns how fast each worker is compared with the others, from the run times of completed tasks.
//
// The load: in some deployments a quarter of the workers run permanently at half the speed of the
// others, and no entry says which. Estimates of single tasks are wrong by up to 90 %, so a worker's
// ratio is a robust mean of many runs. The ratios are used only where the workers differ
// permanently; elsewhere ratio() is 1.0 and no decision changes.

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/circular_buffer.hpp>

#include "Common/Ids.h"
#include "Common/Time.h"

namespace yardhill::scheduling
{
using common::duration;
using common::time_point;
using common::worker_id;

class worker_speeds
{
public:
  // The ratio of a worker is computed from this many of its latest runs at most, so older runs are
  // forgotten. With fewer than k_min_samples it is unknown: at errors of 90 % it would be wrong by
  // more than a fifth.
  static constexpr std::size_t k_window = 64;
  static constexpr std::size_t k_min_samples = 16;
  // Below this number of workers of known speed, a quarter of them is a single worker.
  static constexpr std::size_t k_min_workers = 8;
  // The workers have to differ, or not to differ any more, for this long until active() changes.
  static constexpr std::chrono::seconds k_settling_time{10};

  // Records a whole run on the worker that took `actual`, where `expected` is the average of the
  // queue's tasks with that estimate (see runtime_model). The run must not depend on other workers
  // or on an earlier run's checkpoint.
  void record(const worker_id& worker, const std::string& queue, duration expected, duration actual,
              time_point now);
  // Removes what is known of a worker. Not called when a worker restarts under its id.
  void forget(const worker_id& worker) { m_workers.erase(worker.value); }

  // Whether the workers differ permanently, so that the ratios are used.
  bool active() const { return m_active; }
  // The worker's speed divided by the geometric mean of all workers' speeds. 1.0 while the worker's
  // speed is unknown or the ratios are not used.
  double ratio(const worker_id& worker) const;
  // The number of workers whose ratio is used; 0 while inactive.
  std::size_t ratios_used() const { return m_active ? m_sampled : 0; }

  // How long a run takes on the worker that takes `normal` on a worker of ratio 1.0.
  duration time_on(const worker_id& worker, duration normal) const;
  // How long a run that took `actual` on the worker would have taken at ratio 1.0.
  duration normalised(const worker_id& worker, duration actual) const;

  // How much a task gains from a fast worker: 1.0 if its step has little slack compared with the
  // critical path that begins with it, -1.0 if it has much. `last`: the task is among the last
  // waiting ones of its step, whose runs determine when the step ends.
  static double preference(duration slack, duration critical_path, bool last);
  // The term for the placement score of a task with that preference on the worker; within +-0.45,
  // and 0.0 while the ratio is unknown or not used.
  double placement_term(const worker_id& worker, double preference) const;

private:
  struct observed_worker
  {
    // The logarithm of the actual divided by the expected run time, for the latest runs.
    boost::circular_buffer<double> samples{k_window};
    double ratio = 1.0; // as of the latest evaluation
  };
  // How much the workers differ: the logarithms of the ratio between the speeds of the fastest and
  // the slowest quarter, and of its standard error.
  struct speed_spread
  {
    double value = 0.0;
    double error = 0.0;
  };

  // Computes the ratios of all workers and whether they are used.
  void evaluate(time_point now);
  void compute_ratios();
  // None if too few workers have enough samples.
  std::optional<speed_spread> spread() const;
  void set_active(bool active, double spread);

  std::unordered_map<std::string, observed_worker> m_workers; // by worker id
  std::unordered_map<std::string, double> m_baselines;        // typical sample, by queue
  std::size_t m_sampled = 0;                                  // workers with enough samples
  bool m_active = false;
  std::optional<time_point> m_evaluated;
  std::optional<time_point> m_contradicted_since; // since when the spread has contradicted m_active
};
} // namespace yardhill::scheduling
