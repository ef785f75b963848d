// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Model/CancelJudge.h"

#include <algorithm>

namespace yardhill::model
{
namespace
{
using std::chrono::milliseconds;

constexpr milliseconds k_period{100};
// The sum of the platform's limits for a cancellation (3 s) and for a stop (0.2 s).
constexpr milliseconds k_cancel_grace{3200};
} // namespace

cancel_judge::cancel_judge(explored_cell& cell, time_point end)
    : m_cell(cell), m_end(end), m_connectivity(cell), m_undisturbed_since(cell.time().now())
{
  check_periodically();
}

void cancel_judge::check_periodically()
{
  const time_point now = m_cell.time().now();
  if (now > m_end)
    return;
  if (!cell_undisturbed())
    m_undisturbed_since = now;
  if (now - m_undisturbed_since >= k_cancel_grace)
    m_cell.judge().check_cancelled_gone(now - k_cancel_grace);
  m_cell.time().schedule(k_period, [this] { check_periodically(); });
}

bool cancel_judge::cell_undisturbed() const
{
  const network_faults& faults = m_cell.network().troubles;
  return faults.cuts.empty() && faults.lost_worker_reply_share == 0.0 &&
         faults.delayed_worker_call_share == 0.0 &&
         std::ranges::all_of(m_cell.instances(), [this](const explored_instance& each)
                             { return m_connectivity.connected(each); });
}
} // namespace yardhill::model
