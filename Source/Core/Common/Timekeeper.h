// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The interface through which a process reads clocks and sets timers. A server process uses the
// clock of its event loop; in the explorer's simulations the time is virtual.

#include <cstdint>
#include <functional>
#include <optional>
#include <utility>

#include "Common/Time.h"

namespace yardhill::common
{
using wall_clock_time =
    std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

class timekeeper
{
public:
  using entry = std::uint64_t;

  virtual ~timekeeper() = default;

  virtual time_point now() const = 0;
  // Time of day; may jump forwards and backwards.
  virtual wall_clock_time wall() const = 0;
  // Calls `callback` once, after `delay`, from the event loop.
  virtual entry schedule(duration delay, std::function<void()> callback) = 0;
  // Cancels a scheduled call. Has no effect if the call has been made already.
  virtual void cancel(entry which) = 0;

  void post(std::function<void()> callback) { schedule(duration{0}, std::move(callback)); }
};

// A timer for one pending call. Starting the timer again replaces the call; destroying the timer
// cancels it.
class one_shot_timer
{
public:
  explicit one_shot_timer(timekeeper& time) : m_time(time) {}
  ~one_shot_timer() { cancel(); }
  one_shot_timer(const one_shot_timer&) = delete;
  one_shot_timer& operator=(const one_shot_timer&) = delete;

  void start(duration delay, std::function<void()> callback)
  {
    cancel();
    // The entry is reset when the call is made: there is nothing left to cancel, and the timekeeper
    // may be destroyed before this timer.
    m_entry = m_time.schedule(delay,
                              [this, callback = std::move(callback)]
                              {
                                m_entry.reset();
                                // Copied first: the call may destroy this timer and with it
                                // the lambda that holds the callback.
                                const auto call = callback;
                                call();
                              });
  }

  void cancel()
  {
    if (m_entry)
      m_time.cancel(*m_entry);
    m_entry.reset();
  }

private:
  timekeeper& m_time;
  std::optional<timekeeper::entry> m_entry;
};
} // namespace yardhill::common
