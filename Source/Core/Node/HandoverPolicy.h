// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Whether a partition is better off with another instance than with this one.

#include <cstdint>
#include <functional>
#include <optional>

#include "Node/OwnershipOptions.h"
#include "Node/StorePath.h"

namespace yardhill::node
{
class handover_policy
{
public:
  // `spare_millis`: what this instance may use for the partition, in thousandths of a core;
  // `strongest_peer`: the most that a peer may use for one more that lives and reaches the store.
  handover_policy(const ownership_options& options, const store_path& path,
                  std::function<std::uint32_t()> spare_millis,
                  std::function<std::uint32_t()> strongest_peer);

  // Whether there is a peer that could bear the partition much better.
  bool stronger_peer() const;
  // The same for long enough to give the partition to it. Asked often while this instance owns one.
  bool stronger_for_long(common::time_point now);
  // Whether the store turns this instance away but takes its commits through a peer: another
  // instance hears of new jobs at once. `last_written`: when a commit was last done.
  bool reached_through_peers(common::time_point now, common::time_point last_written) const;
  // An ownership has ended.
  void reset() { m_stronger_since.reset(); }

private:
  ownership_options m_options;
  const store_path& m_path;
  std::function<std::uint32_t()> m_spare_millis;
  std::function<std::uint32_t()> m_strongest_peer;
  std::optional<common::time_point> m_stronger_since;
};
} // namespace yardhill::node
