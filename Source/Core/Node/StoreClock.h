// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The store's steady clock against our own, from its answers: the one clock that all owners share.
// No I/O.

#include <optional>

#include "Common/Time.h"
#include "platform/StoreClient.h"

namespace yardhill::node
{
class store_clock
{
public:
  // An answer to a call that was sent at `sent` came at `received`; it told the store's time, or
  // did not.
  void heard(std::optional<adapter::store_time> clock, common::time_point sent,
             common::time_point received);
  // The store's time at that moment of ours: never too early, at most a call's way too late. None:
  // the clock is not known yet.
  std::optional<adapter::store_time> store_time_at(common::time_point at) const;
  // Our time at that moment of the store's, with the same bound.
  std::optional<common::time_point> time_at(adapter::store_time at) const;

private:
  // The store's clock less ours, at least and at most.
  struct sample
  {
    common::duration least;
    common::duration most;
    common::time_point taken;
  };

  std::optional<sample> m_best;
};
} // namespace yardhill::node
