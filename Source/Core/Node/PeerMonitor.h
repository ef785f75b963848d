// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Which linked peers live, and which of them reach the store.
//
// A broken link tells of a dead process at once, but of a machine behind a cut only after its
// time-out. So an owner asks all peers all the time, and an instance that doubts its own way to the
// store, or knows of silent peers, asks them as long as it does. A peer that leaves a question
// unanswered, or an owner that stops asking, counts as silent until its next message.

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "Common/PeerMessages.h"
#include "Common/Timekeeper.h"

namespace yardhill::node
{
struct peer_events
{
  std::function<void(const std::string& peer)> reachable;   // linked, or heard again
  std::function<void(const std::string& peer)> unreachable; // silent, or its link is broken
};

class peer_monitor
{
public:
  using sender = std::function<void(const std::string& peer, const common::peer_message&)>;

  peer_monitor(common::timekeeper& time, std::string zone, sender send, peer_events events);

  void linked(const std::string& peer, const std::string& zone);
  void unlinked(const std::string& peer);
  // Any message of the peer shows that it lives.
  void heard(const std::string& peer);
  // `has_way`: whether this instance's own calls to the store are answered.
  void on_question(const std::string& peer, const common::way_question& question, bool has_way);
  void on_report(const std::string& peer, const common::way_report& report);
  void on_strength(const std::string& peer, const common::strength_report& report);
  // The peer has just turned a relayed call away, or left it unanswered.
  void avoid(const std::string& peer);

  // Called often. `owner`: this instance owns a partition; `in_doubt`: of its way to the store.
  void tick(common::time_point now, bool owner, bool in_doubt);

  // A peer that lives and, as far as is known, reaches the store.
  std::optional<std::string> way_through() const;
  // The most processor that a living peer may use that, as far as is known, reaches the store.
  std::uint32_t strongest() const;
  // Whether there are other zones and no peer there can be heard.
  bool cut_off() const;

private:
  struct peer
  {
    std::string zone;
    bool silent = false;
    bool asks_often = false; // it owns a partition
    bool has_way = true;     // until it says otherwise
    std::uint32_t processor_millis = 0;
    common::time_point heard_at;
    common::time_point avoid_until{};
    std::optional<common::time_point> asked_at; // the oldest question without an answer
  };

  void ask_all(common::time_point now, bool owner);
  void forgive(common::time_point now);
  bool overdue(const peer& each, common::time_point now) const;

  common::timekeeper& m_time;
  std::string m_zone;
  sender m_send;
  peer_events m_events;
  std::map<std::string, peer> m_peers;
  bool m_other_zones = false; // a peer of another zone has been linked once
  common::time_point m_last_tick{};
  common::time_point m_last_asked{};
  bool m_was_owner = false;
};
} // namespace yardhill::node
