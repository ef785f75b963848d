// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// A simulated clock that advances from event to event.

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <utility>

#include "Common/Timekeeper.h"

namespace yardhill::model
{
using common::duration;
using common::time_point;
class processor_model;
enum class event_kind;

class virtual_time : public common::timekeeper
{
public:
  time_point now() const override { return m_now; }
  common::wall_clock_time wall() const override;
  entry schedule(duration delay, std::function<void()> action) override;
  void cancel(entry which) override;
  // Postpones the scheduled action with that number by `by`.
  void postpone(entry which, duration by);

  // Runs all events up to `end`.
  void run_until(time_point end);

private:
  time_point m_now{std::chrono::hours{1}};
  std::map<std::pair<time_point, entry>, std::function<void()>> m_events;
  std::map<entry, time_point> m_when;
  entry m_last = 0;
};

// The clock and timers of one process. A dead process runs no actions; while it is frozen, all
// actions wait until it resumes.
class process_time : public common::timekeeper
{
public:
  // Without a processor each event is processed on arrival, in no time.
  explicit process_time(virtual_time& time, std::shared_ptr<processor_model> processor = nullptr)
      : m_time(time), m_state(std::make_shared<state>())
  {
    m_state->processor = std::move(processor);
  }
  ~process_time() override { m_state->alive = false; }

  time_point now() const override;
  common::wall_clock_time wall() const override { return m_time.wall() + m_wall_ahead; }
  entry schedule(duration delay, std::function<void()> action) override;
  void cancel(entry which) override;

  // Sets how far the process's wall clock is ahead of that of the others; behind if negative.
  void step_wall(std::chrono::milliseconds ahead) { m_wall_ahead = ahead; }

  void freeze_until(time_point end);
  // Suspends the machine: like a freeze, but timers do not count that time. The clock does not
  // count it either if the process reads one that stops during a suspension.
  void suspend_until(time_point end);
  void read_suspended_clock() { m_state->reads_suspended_clock = true; }
  // Accounts for a call or message that the process sends, which costs processor time.
  void sends();
  bool frozen() const { return m_time.now() < m_state->frozen_until; }
  // Returns a function that runs external calls in this process as long as the process is alive.
  // The function may outlive this object.
  std::function<void(std::function<void()>)> gate() const;

private:
  struct state
  {
    bool alive = true;
    time_point frozen_until{};
    duration suspended{}; // total, including a suspension in progress up to its end
    bool reads_suspended_clock = false;
    entry last = 0;
    // Maps the process's number of a scheduled action to the virtual clock's number, which changes
    // with each freeze that delays the action; so the action can still be cancelled.
    std::map<entry, entry> scheduled;
    std::shared_ptr<processor_model> processor;
  };

  static void fire(virtual_time& time, const std::shared_ptr<state>& process, entry which,
                   event_kind kind, const std::function<void()>& action);
  static void work(const std::shared_ptr<state>& process, event_kind kind,
                   const std::function<void()>& action);
  static void arrive(virtual_time& time, const std::shared_ptr<state>& process,
                     const std::function<void()>& action);

  virtual_time& m_time;
  std::shared_ptr<state> m_state;
  std::chrono::milliseconds m_wall_ahead{0};
};
} // namespace yardhill::model
