// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The store's steady clock against our own, from the store's answers: the one clock that all
// instances share. What one of them says with a time on it, another can tell the age of, however it
// came. Each use takes the bound that is safe for it. No I/O.

#include <optional>

#include "Common/Timekeeper.h"
#include "platform/StoreClient.h"

namespace yardhill::node
{
class store_clock : public adapter::clock_observer
{
public:
  explicit store_clock(const common::timekeeper& time) : m_time(time) {}

  common::time_point now() const override { return m_time.now(); }
  void heard(adapter::store_time named, common::time_point sent) override;

  // What the store's clock shows at that moment of ours: never too late or never too early, and off
  // by an answer's or a call's way at most. None before the first answer.
  std::optional<adapter::store_time> earliest_store_time(common::time_point moment) const;
  std::optional<adapter::store_time> latest_store_time(common::time_point moment) const;
  // Our time at that moment of the store's: never too early.
  std::optional<common::time_point> latest_local_time(adapter::store_time moment) const;
  // How old what was known at `when` is by now, less an answer's way at most.
  std::optional<common::duration> age_of(adapter::store_time when) const;

private:
  // The store's clock less ours, at least and at most, by the answers of one period.
  struct bounds
  {
    common::duration least;
    common::duration most;
  };

  std::optional<bounds> known() const;

  const common::timekeeper& m_time;
  std::optional<bounds> m_current; // since m_period_began
  std::optional<bounds> m_earlier; // of the period before
  common::time_point m_period_began{};
};
} // namespace yardhill::node
