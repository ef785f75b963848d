// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// When the orders of a partition's earlier owners are over, for the one that has taken it over. It
// follows from their silence only after seconds; the earlier owner's instance, or the process that
// is there in its place, may know better. No I/O.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "Common/PeerMessages.h"
#include "Common/Timekeeper.h"
#include "Node/OwnerWatch.h"

namespace yardhill::node
{
class earlier_orders
{
public:
  using sender = std::function<void(const std::string& peer, const common::peer_message&)>;

  earlier_orders(const common::timekeeper& time, std::string partition, sender send_to_peer);

  // The partition is being taken over from the owner that `watch` has seen, as the owner `epoch`.
  void begin(const owner_watch& watch, std::uint64_t epoch);
  // The takeover's answer has told the store's clock: what the earlier owner has written of those
  // before it counts now. A new process knows no more of them than that.
  void count_again();
  // None of their orders is given later; the beginning of time if there were no owners.
  common::time_point end() const { return m_end; }
  // Whether the owner that was taken over from said when those before it were over, as owners of
  // this version do.
  bool told() const { return m_told; }
  // Asks the earlier owner's instance, while that may help. Called often, as long as this is the
  // owner.
  void tick();
  // Whether the end is earlier than it was.
  bool on_reply(const std::string& peer, const common::previous_requests_reply& reply);

private:
  const common::timekeeper& m_time;
  std::string m_partition;
  sender m_send_to_peer;
  std::optional<owner_watch> m_before; // as it was when the takeover began
  std::string m_instance;              // to be asked; empty: nobody
  std::uint64_t m_epoch = 0;
  bool m_told = false;
  common::time_point m_end{};
  common::time_point m_end_of_others{}; // of the owners before the latest
  common::time_point m_last_asked{};
};
} // namespace yardhill::node
