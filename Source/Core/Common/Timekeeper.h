// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Where a process gets its time from and how it waits: the event loop's clock when it serves, a
// virtual one when the explorer plays it.

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
  // Time of day; it may jump.
  virtual wall_clock_time wall() const = 0;
  // Calls `what` once, after `delay`, from the event loop.
  virtual entry schedule(duration delay, std::function<void()> what) = 0;
  // Nothing happens if the call has been made already.
  virtual void cancel(entry which) = 0;

  void post(std::function<void()> what) { schedule(duration{0}, std::move(what)); }
};

// One call to come; starting it again replaces it, destroying it takes it back.
class one_shot_timer
{
public:
  explicit one_shot_timer(timekeeper& time) : m_time(time) {}
  ~one_shot_timer() { cancel(); }
  one_shot_timer(const one_shot_timer&) = delete;
  one_shot_timer& operator=(const one_shot_timer&) = delete;

  void start(duration delay, std::function<void()> what)
  {
    cancel();
    // Once it has been called there is nothing to take back, and the timekeeper may be gone first.
    m_entry = m_time.schedule(delay,
                              [this, what = std::move(what)]
                              {
                                m_entry.reset();
                                // It may destroy this timer.
                                const auto call = what;
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
