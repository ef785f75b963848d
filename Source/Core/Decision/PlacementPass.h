// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// One pass over the waiting tasks: selects the tasks to place now and the tasks to preempt.

#include <optional>
#include <vector>

#include "Common/Options.h"
#include "Decision/RunEstimator.h"
#include "Decision/TeamShares.h"
#include "Decision/WaitingQueue.h"
#include "Decision/WorkerPool.h"

namespace yardhill::decision
{
// Which tasks an owner may place, depending on how many workers currently accept its claims.
enum class placement_scope
{
  none,
  local_only, // only tasks that no other owner can know
  all
};

struct placement
{
  task_record* task = nullptr;
  std::vector<std::size_t> workers; // a ledger position for each member
};

struct pass_result
{
  std::vector<placement> placements; // capacity is granted; the tasks are out of the queue
  std::vector<task_record*> victims; // to be checkpointed and stopped
};

// A task with at least this priority may preempt batch tasks whose priority is lower by at least
// this value.
inline constexpr std::int32_t k_urgent_priority = 100;

class placement_pass
{
public:
  placement_pass(const scheduling_options& options, const placement_policy& policy,
                 worker_pool& pool, waiting_queue& queue, team_shares& shares,
                 const run_estimator& estimator);

  pass_result run(placement_scope scope, double headroom, time_point now);

private:
  struct cursor
  {
    waiting_queue::team_queue* team_queue;
    waiting_queue::team_queue::iterator next;
  };

  void place_kind(task_kind kind, pass_result& result);
  void place_in_order(pass_result& result);
  cursor* next_cursor(std::vector<cursor>& cursors) const;
  bool before(const task_record& left, const task_record& right) const;
  bool try_place(task_record& task, pass_result& result);
  bool in_scope(const task_record& task) const;
  bool exceeds_unplaceable_demand(const task_record& task) const;
  bool leaves_headroom(const task_record& task) const;
  bool delays_reserved(const task_record& task) const;
  void handle_unplaced(task_record& task, pass_result& result);
  void reserve_for(const task_record& task);
  bool may_preempt(const task_record& task) const;
  bool is_victim_for(const task_record& victim, const task_record& task) const;
  void choose_victims(task_record& task, pass_result& result);
  std::vector<task_record*> victims_on(std::size_t position, const task_record& task) const;

  const scheduling_options& m_options;
  const placement_policy& m_policy;
  worker_pool& m_pool;
  waiting_queue& m_queue;
  team_shares& m_shares;
  const run_estimator& m_estimator;

  // State of the current pass.
  placement_scope m_placement_scope = placement_scope::none;
  time_point m_now;
  resources m_free_capacity_left;               // over all workers
  resources m_headroom;                         // kept free for interactive tasks
  std::vector<resources> m_unplaceable_demands; // demands that fit on no worker
  std::size_t m_unplaced_scanned = 0;
  // When the first gang that has waited longer than gang_timeout is expected to fit.
  time_point m_gang_reservation_start = k_never;
};
} // namespace yardhill::decision
