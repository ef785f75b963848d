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
// The platform's bounds: of a cancellation (3 s) and of a stop (0.2 s).
constexpr milliseconds k_gone_after{3200};
} // namespace

cancel_judge::cancel_judge(explored_cell& cell, time_point end)
    : m_cell(cell), m_end(end), m_contacts(cell), m_calm_since(cell.time().now())
{
  look();
}

void cancel_judge::look()
{
  const time_point now = m_cell.time().now();
  if (now > m_end)
    return;
  if (!calm())
    m_calm_since = now;
  if (now - m_calm_since >= k_gone_after)
    m_cell.judge().check_cancelled_gone(now - k_gone_after);
  m_cell.time().schedule(k_period, [this] { look(); });
}

bool cancel_judge::calm() const
{
  const network_faults& troubles = m_cell.network().troubles;
  return troubles.cuts.empty() && troubles.lost_worker_reply_share == 0.0 &&
         troubles.delayed_worker_call_share == 0.0 &&
         std::ranges::all_of(m_cell.instances(), [this](const explored_instance& each)
                             { return m_contacts.in_touch(each); });
}
} // namespace yardhill::model
