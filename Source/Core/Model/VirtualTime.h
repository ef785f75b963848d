// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// A clock that moves from event to event.

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
  entry schedule(duration delay, std::function<void()> what) override;
  void cancel(entry which) override;
  // What is scheduled under that number happens so much later.
  void put_off(entry which, duration by);

  // Plays all events up to then.
  void run_until(time_point end);

private:
  time_point m_now{std::chrono::hours{1}};
  std::map<std::pair<time_point, entry>, std::function<void()>> m_events;
  std::map<entry, time_point> m_when;
  entry m_last = 0;
};

// The time of one process: nothing happens any more once it is dead, and while it is frozen
// everything waits for it to wake.
class process_time : public common::timekeeper
{
public:
  // Without a processor each event is worked off as it comes, in no time.
  explicit process_time(virtual_time& time, std::shared_ptr<processor_model> processor = nullptr)
      : m_time(time), m_state(std::make_shared<state>())
  {
    m_state->processor = std::move(processor);
  }
  ~process_time() override { m_state->alive = false; }

  time_point now() const override;
  common::wall_clock_time wall() const override { return m_time.wall() + m_wall_ahead; }
  entry schedule(duration delay, std::function<void()> what) override;
  void cancel(entry which) override;

  // Its time of day is ahead of the others' from now on, or behind.
  void step_wall(std::chrono::milliseconds ahead) { m_wall_ahead = ahead; }

  void freeze_until(time_point end);
  // The machine is suspended: as a freeze, but timers do not count that time. Nor does the clock,
  // if the process reads one that stands still meanwhile.
  void suspend_until(time_point end);
  void read_suspended_clock() { m_state->reads_suspended_clock = true; }
  // The process sends a call or a message, which costs processor time.
  void sends();
  bool frozen() const { return m_time.now() < m_state->frozen_until; }
  // Lets calls from outside reach the process only as long as it lives; outlives it.
  std::function<void(std::function<void()>)> gate() const;

private:
  struct state
  {
    bool alive = true;
    time_point frozen_until{};
    duration suspended{}; // in all, until now or until the suspension that goes on ends
    bool reads_suspended_clock = false;
    entry last = 0;
    // What is scheduled, by its number here and there: it gets another one there for each freeze
    // that it falls into, and can be cancelled all the same.
    std::map<entry, entry> scheduled;
    std::shared_ptr<processor_model> processor;
  };

  static void fire(virtual_time& time, const std::shared_ptr<state>& process, entry which,
                   event_kind kind, const std::function<void()>& what);
  static void work(const std::shared_ptr<state>& process, event_kind kind,
                   const std::function<void()>& what);
  static void arrive(virtual_time& time, const std::shared_ptr<state>& process,
                     const std::function<void()>& what);

  virtual_time& m_time;
  std::shared_ptr<state> m_state;
  std::chrono::milliseconds m_wall_ahead{0};
};
} // namespace yardhill::model
