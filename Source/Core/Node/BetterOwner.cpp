// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/BetterOwner.h"

#include <utility>

namespace yardhill::node
{
better_owner::better_owner(const ownership_options& options, const store_path& path,
                           std::function<std::uint32_t()> spare_millis,
                           std::function<std::uint32_t()> strongest_peer)
    : m_options(options),
      m_path(path),
      m_spare_millis(std::move(spare_millis)),
      m_strongest_peer(std::move(strongest_peer))
{
}

bool better_owner::stronger_peer() const
{
  return m_strongest_peer() > m_options.much_stronger * m_spare_millis();
}

bool better_owner::stronger_for_long(common::time_point now)
{
  if (!stronger_peer())
    m_stronger_since.reset();
  else if (!m_stronger_since)
    m_stronger_since = now;
  return m_stronger_since && now - *m_stronger_since >= m_options.stronger_steady;
}

bool better_owner::reached_through_peers(common::time_point now,
                                         common::time_point last_written) const
{
  const auto bad_since = m_path.bad_since();
  return bad_since && now - *bad_since >= m_options.relayed_most &&
         last_written > *bad_since + m_options.relayed_most / 2;
}
} // namespace yardhill::node
