// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Which linked peers live, and which of them reach the store.
//
// A broken link tells of a dead process at once, but of a machine behind a cut only after its
// time-out. So an owner asks its peers all the time, and an instance that doubts its own way to the
// store, or knows of silent peers, asks some as long as it does. A peer that leaves a question
// unanswered, or an owner that stops asking, counts as silent until its next message. An owner
// whose messages have come late lately, or that says that its event loop was late, is busy: it
// counts as silent only after longer than that, up to a bound.
//
// What this costs must not grow with the square of the instances: a store that turns a third of 147
// away would have 50 of them ask all others, 30,000 questions a second. So an instance in doubt
// asks a few peers, others than its neighbours do, and an owner of many asks those often that might
// take over from it and the others in turn.

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "Common/PeerMessages.h"
#include "Common/Timekeeper.h"
#include "Node/MessageGaps.h"

namespace yardhill::node
{
// This instance, for its peers.
struct own_identity
{
  std::string name;
  std::string zone;
  std::uint32_t processor_millis = 0;
};

struct peer_events
{
  std::function<void(const std::string& peer)> reachable;   // linked, or heard again
  std::function<void(const std::string& peer)> unreachable; // silent, or its link is broken
};

class peer_monitor
{
public:
  using sender = std::function<void(const std::string& peer, const common::peer_message&)>;

  peer_monitor(common::timekeeper& time, own_identity self, sender send, peer_events events);

  void linked(const std::string& peer, const std::string& zone);
  void unlinked(const std::string& peer);
  // Any message of the peer shows that it lives.
  void heard(const std::string& peer);
  // `own`: what this instance says of itself.
  void on_question(const std::string& peer, const common::store_reachability_query& question,
                   const common::store_reachability_report& own);
  void on_report(const std::string& peer, const common::store_reachability_report& report);
  void on_strength(const std::string& peer, const common::processor_capacity_report& report);
  // The peer has just turned a relayed call away, or left it unanswered.
  void avoid(const std::string& peer);

  // Called often. `owner`: this instance owns a partition; `in_doubt`: of its way to the store.
  void tick(common::time_point now, bool owner, bool in_doubt);

  // A peer that lives and, as far as is known, reaches the store; an owner only if there is no
  // other. Each instance has an order of its own, so that one peer is not asked by all.
  std::optional<std::string> way_through() const;
  // Peers that are linked, silent ones as well.
  std::size_t count() const { return m_peers.size(); }
  // The most processor that a living peer may use that, as far as is known, reaches the store.
  std::uint32_t strongest() const;
  // Whether there are other zones and no peer there can be heard: of many peers, whether a few that
  // were asked are silent and none of the others has been heard lately.
  bool cut_off() const;

private:
  // An owner without a message for this long is silent, however late its messages were before: well
  // before its renewals alone tell that it is gone (ownership_options::silence).
  static constexpr std::chrono::milliseconds k_most_patience{2000};

  struct peer
  {
    std::string zone;
    std::uint64_t rank = 0; // in the order of this instance
    bool silent = false;
    bool asks_often = false; // it owns a partition
    bool has_way = true;     // until it says otherwise
    std::uint32_t processor_millis = 0;
    common::time_point heard_at;
    common::time_point avoid_until{};
    std::optional<common::time_point> asked_at; // the oldest question without an answer
    message_gaps gaps{k_most_patience};         // while it owns a partition
    std::chrono::milliseconds told_late{0};     // by itself
  };

  common::store_reachability_query question(bool often, common::time_point now) const;
  void ask(common::time_point now, bool owner, bool in_doubt);
  void ask_one(const std::string& name, peer& each, bool often, common::time_point now);
  void ask_as_owner(common::time_point now);
  void ask_some(common::time_point now);
  void tell_stopped(common::time_point now);
  void forgive(common::time_point now);
  // How long a peer's message may take that takes `usual` at most if the peer is not busy.
  common::duration patience(const peer& each, common::duration usual, common::time_point now) const;
  bool overdue(const peer& each, common::time_point now) const;

  common::timekeeper& m_time;
  own_identity m_self;
  sender m_send;
  peer_events m_events;
  std::map<std::string, peer> m_peers;
  bool m_other_zones = false; // a peer of another zone has been linked once
  common::time_point m_last_tick{};
  message_gaps m_ticks{k_most_patience};
  common::time_point m_last_asked{};
  std::uint64_t m_rounds = 0; // of an owner's questions
  bool m_was_owner = false;
};
} // namespace yardhill::node
