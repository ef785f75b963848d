// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Relates the store's steady clock to this process's clock, from the store's replies. The store's
// clock is the one that all instances share: if an instance passes on information with a store
// time, another can tell its age, however the information arrived. Each use takes the bound that is
// safe for it. No I/O.

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
  void heard(adapter::store_time store_now, common::time_point sent) override;

  // What the store's clock shows at the local time `moment`: the earliest is never too late, the
  // latest never too early. They are off by at most the transit time of a reply or of a request.
  // None before the first reply.
  std::optional<adapter::store_time> earliest_store_time(common::time_point moment) const;
  std::optional<adapter::store_time> latest_store_time(common::time_point moment) const;
  // The local time at the store time `moment`; never too early.
  std::optional<common::time_point> latest_local_time(adapter::store_time moment) const;
  // The age of what was known at the store time `when`; too small by at most the transit time of a
  // reply.
  std::optional<common::duration> age_of(adapter::store_time when) const;

private:
  // Lower and upper bound of the store's clock minus the local clock, from the replies of one
  // period.
  struct bounds
  {
    common::duration least;
    common::duration most;
  };

  std::optional<bounds> offset_bounds() const;

  const common::timekeeper& m_time;
  std::optional<bounds> m_current;  // since m_period_began
  std::optional<bounds> m_previous; // of the preceding period
  common::time_point m_period_began{};
};
} // namespace yardhill::node
