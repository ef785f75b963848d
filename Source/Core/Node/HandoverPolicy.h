// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Decides whether a partition should be left or handed over to another instance.

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
  // `spare_millis`: the processor share that this instance may use for the partition, in
  // thousandths of a core. `strongest_peer_millis`: the largest share that a live peer which
  // reaches the store may use for one more partition.
  handover_policy(const ownership_options& options, const store_path& path,
                  std::function<std::uint32_t()> spare_millis,
                  std::function<std::uint32_t()> strongest_peer_millis);

  // Whether a peer may use much more processor for the partition (by stronger_peer_factor).
  bool stronger_peer() const;
  // Whether stronger_peer() has held for long enough to release the partition to such a peer.
  // Called often while this instance owns the partition.
  bool stronger_peer_for_long(common::time_point now);
  // Whether, for `relayed_release_delay`, the store has failed this instance's direct calls but
  // carried out its commits through a peer. The partition is then better released: another instance
  // learns of new jobs at once. `last_written`: when a commit was last carried out.
  bool store_reached_through_peers(common::time_point now, common::time_point last_written) const;
  // To be called when an ownership has ended.
  void reset() { m_stronger_since.reset(); }

private:
  ownership_options m_options;
  const store_path& m_path;
  std::function<std::uint32_t()> m_spare_millis;
  std::function<std::uint32_t()> m_strongest_peer_millis;
  std::optional<common::time_point> m_stronger_since;
};
} // namespace yardhill::node
