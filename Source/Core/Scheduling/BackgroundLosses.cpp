// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/BackgroundLosses.h"

#include <algorithm>
#include <set>

namespace yardhill::scheduling
{
void background_losses::note(const worker_record& worker, time_point now)
{
  if (worker.silent_after_start(m_state.options.crash_at_start_window, now))
    return;
  m_lost[worker.info.id] = now;
  std::erase_if(m_lost, [this, now](const auto& each)
                { return now - each.second > m_state.options.background_window; });
}

// A loss shows as silence first; a worker that stays silent says nothing of the present.
bool background_losses::lately_silent(const worker_record& worker, time_point now) const
{
  if (!worker.suspect || now - worker.silent_since > m_state.options.background_silence ||
      worker.silent_after_start(m_state.options.crash_at_start_window, now))
    return false;
  return std::none_of(worker.runs.begin(), worker.runs.end(),
                      [](const auto& each)
                      { return suspected(each.second->job->task(each.second->place).crashes); });
}

bool background_losses::explain_loss_of(const worker_id& worker, time_point now) const
{
  std::set<worker_id> others;
  for (const auto& [id, at] : m_lost)
  {
    if (id != worker && now - at <= m_state.options.background_window)
      others.insert(id);
  }
  for (const auto& [id, each] : m_state.workers)
  {
    if (id != worker && lately_silent(*each, now))
      others.insert(id);
  }
  return others.size() >= m_state.options.min_background_losses &&
         others.size() * m_state.options.background_share_divisor >= m_state.workers.size();
}
} // namespace yardhill::scheduling
