// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/HandoverPolicy.h"

#include <utility>

namespace yardhill::node
{
handover_policy::handover_policy(const ownership_options& options, const store_path& path,
                                 std::function<std::uint32_t()> spare_millis,
                                 std::function<std::uint32_t()> strongest_peer_millis)
    : m_options(options),
      m_path(path),
      m_spare_millis(std::move(spare_millis)),
      m_strongest_peer_millis(std::move(strongest_peer_millis))
{
}

bool handover_policy::stronger_peer() const
{
  return m_strongest_peer_millis() > m_options.stronger_peer_factor * m_spare_millis();
}

bool handover_policy::stronger_peer_for_long(common::time_point now)
{
  if (!stronger_peer())
    m_stronger_since.reset();
  else if (!m_stronger_since)
    m_stronger_since = now;
  return m_stronger_since && now - *m_stronger_since >= m_options.stronger_peer_release_delay;
}

bool handover_policy::store_reached_through_peers(common::time_point now,
                                                  common::time_point last_written) const
{
  const auto direct_failing_since = m_path.direct_failing_since();
  return direct_failing_since && now - *direct_failing_since >= m_options.relayed_release_delay &&
         last_written > *direct_failing_since + m_options.relayed_release_delay / 2;
}
} // namespace yardhill::node
