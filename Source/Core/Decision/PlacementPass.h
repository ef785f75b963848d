// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// One pass over the waiting tasks: who gets a place now, and who must make room.

#include <optional>
#include <vector>

#include "Common/Options.h"
#include "Decision/RunEstimator.h"
#include "Decision/TeamShares.h"
#include "Decision/WaitingQueue.h"
#include "Decision/WorkerPool.h"

namespace yardhill::decision
{
// What an owner may place, by what it knows of its standing at the workers.
enum class placement_scope
{
  none,
  local_only, // only tasks that no other owner can know of
  all
};

struct placement
{
  task_record* task = nullptr;
  std::vector<std::size_t> workers; // a ledger position for each member
};

struct pass_result
{
  std::vector<placement> placements; // granted, and taken out of the queue
  std::vector<task_record*> victims; // to be checkpointed and stopped
};

// Work at or above this priority may preempt batch work that is this much below it.
inline constexpr std::int32_t k_urgent_priority = 100;

class placement_pass
{
public:
  placement_pass(const scheduling_options& options, const placement_policy& policy,
                 worker_pool& pool, waiting_queue& queue, team_shares& shares,
                 const run_estimator& estimator);

  pass_result run(placement_scope right, double headroom, time_point now);

private:
  struct cursor
  {
    waiting_queue::line* line;
    waiting_queue::line::iterator next;
  };

  void place_kind(task_kind kind, pass_result& result);
  void place_in_order(pass_result& result);
  cursor* next_cursor(std::vector<cursor>& cursors) const;
  bool before(const task_record& left, const task_record& right) const;
  bool try_place(task_record& task, pass_result& result);
  bool allowed(const task_record& task) const;
  bool known_not_to_fit(const task_record& task) const;
  bool leaves_headroom(const task_record& task) const;
  bool delays_reserved(const task_record& task) const;
  void could_not_place(task_record& task, pass_result& result);
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

  // State of the pass that runs.
  placement_scope m_right = placement_scope::none;
  time_point m_now;
  resources m_room_left;           // over all workers
  resources m_headroom;            // kept for interactive work
  std::vector<resources> m_failed; // demands that found no worker
  std::size_t m_scanned = 0;
  time_point m_reserved_from = k_never; // when the longest waiting gang is expected to fit
};
} // namespace yardhill::decision
