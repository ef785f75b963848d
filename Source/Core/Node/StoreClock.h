// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The store's steady clock as this process knows it from the store's answers: the one clock that
// all instances share. What one of them says with a time on it, another can tell the age of,
// however it came. No I/O.

#include <optional>

#include "Common/Timekeeper.h"
#include "platform/StoreClient.h"

namespace yardhill::node
{
class store_clock
{
public:
  explicit store_clock(const common::timekeeper& time) : m_time(time) {}

  // An answer that has just come in named this time.
  void heard(adapter::store_time named);
  // What the store's clock showed at that moment of ours, or a little less: by the shortest way of
  // an answer. None before the first answer.
  std::optional<adapter::store_time> at(common::time_point moment) const;
  // How old what was known at `when` is by now.
  std::optional<common::duration> age_of(adapter::store_time when) const;

private:
  // How far the store's clock is ahead of ours by the answer with the shortest way.
  std::optional<common::duration> ahead() const;

  const common::timekeeper& m_time;
  std::optional<common::duration> m_ahead;         // since m_period_began
  std::optional<common::duration> m_ahead_earlier; // in the period before
  common::time_point m_period_began{};
};
} // namespace yardhill::node
