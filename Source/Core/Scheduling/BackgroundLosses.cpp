// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/BackgroundLosses.h"

#include <algorithm>
#include <set>

namespace yardhill::scheduling
{
void background_losses::record_loss(const worker_record& worker, time_point now)
{
  if (worker.silent_after_start(m_state.options.crash_at_start_window, now))
    return;
  m_latest_losses[worker.info.id] = now;
  std::erase_if(m_latest_losses, [this, now](const auto& each)
                { return now - each.second > m_state.options.background_window; });
}

// A loss shows as silence first. A worker that has been silent for long says nothing about the
// present rate of losses.
bool background_losses::recently_silent(const worker_record& worker, time_point now) const
{
  if (!worker.unresponsive || now - worker.silent_since > m_state.options.background_silence ||
      worker.silent_after_start(m_state.options.crash_at_start_window, now))
    return false;
  return std::none_of(worker.runs.begin(), worker.runs.end(),
                      [](const auto& each)
                      { return suspected(each.second->job->task(each.second->place).crashes); });
}

bool background_losses::explain_loss_of(const worker_id& worker, time_point now) const
{
  std::set<worker_id> others;
  for (const auto& [id, at] : m_latest_losses)
  {
    if (id != worker && now - at <= m_state.options.background_window)
      others.insert(id);
  }
  for (const auto& [id, each] : m_state.workers)
  {
    if (id != worker && recently_silent(*each, now))
      others.insert(id);
  }
  return others.size() >= m_state.options.min_background_losses &&
         others.size() * m_state.options.background_share_divisor >= m_state.workers.size();
}
} // namespace yardhill::scheduling
