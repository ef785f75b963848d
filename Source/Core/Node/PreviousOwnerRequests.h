// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Determines when the requests of a partition's previous owners to workers have ended, for the
// instance that has taken the partition over. From the silence of those owners this follows only
// after seconds; the instance of the latest one, or the process that has replaced it there, is
// queried because it may know an earlier time. No I/O.

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "Common/PeerMessages.h"
#include "Common/Timekeeper.h"
#include "Node/OwnerWatch.h"

namespace yardhill::node
{
class previous_owner_requests
{
public:
  using sender = std::function<void(const std::string& peer, const common::peer_message&)>;

  previous_owner_requests(const common::timekeeper& time, std::string partition,
                          sender send_to_peer);

  // Begins a takeover of the partition from the owner that `watch` has observed; `epoch` is that of
  // the new ownership.
  void begin(const owner_watch& watch, std::uint64_t epoch);
  // Computes the end again when the takeover's reply has set the store clock: only now can the end
  // that the previous owner wrote for the owners before it be converted. A process that has just
  // started knows no more of them than that.
  void recompute_end();
  // No request of theirs is sent later than this; time_point{} if there were no owners.
  common::time_point end() const { return m_end; }
  // Whether the previous owner's row says when the requests of the owners before it ended, as
  // owners of this software version report it.
  bool previous_end_reported() const { return m_previous_end_reported; }
  // Queries the previous owner's instance while its reply may help. Called often, as long as this
  // instance is the owner.
  void tick();
  // Returns whether the end is now earlier than before.
  bool on_reply(const std::string& peer, const common::previous_requests_reply& reply);

private:
  const common::timekeeper& m_time;
  std::string m_partition;
  sender m_send_to_peer;
  std::optional<owner_watch> m_watch; // as it was when the takeover began
  std::string m_instance;             // to be queried; empty: none
  std::uint64_t m_epoch = 0;
  bool m_previous_end_reported = false;
  common::time_point m_end{};
  common::time_point m_earlier_owners_end{}; // of the owners before the previous one
  common::time_point m_last_query{};
};
} // namespace yardhill::node
