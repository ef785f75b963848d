// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The way to the store: directly, or through a peer while the store turns this instance away.
//
// While neither works, calls fail at once, so that callers are refused instead of kept waiting. The
// direct way is in doubt as soon as a call takes longer than the store ever does when it is slow.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "Common/PeerMessages.h"
#include "Common/Timekeeper.h"
#include "Http/RequestSender.h"
#include "Node/PeerMonitor.h"

namespace yardhill::node
{
class store_path : public http::request_sender
{
public:
  using sender = std::function<void(const std::string& peer, const common::peer_message&)>;

  store_path(common::timekeeper& time, http::peer_sender& client, const common::endpoint& store,
             http::request probe, peer_monitor& peers, sender send_to_peer);

  // Sent directly or through a peer. A second time, through a peer, if the direct call has
  // certainly not been carried out, if it changes nothing, or if it has had no answer for a while
  // and a peer's calls are answered: every write has a condition that its own copy does not meet
  // any more, or may be done twice. Of a copied call, that it was not done is said only when that
  // is sure of both copies.
  void send(http::request call, common::duration timeout, http::reply_handler done) override;
  // Directly in any case; the outcome tells about the direct way.
  void send_directly(http::request call, common::duration timeout, http::reply_handler done);

  void peer_unreachable(const std::string& peer);
  void on_request(const std::string& peer, const common::relay_request& request);
  void on_reply(const std::string& peer, const common::relay_reply& reply);
  // Gives up relayed calls that are overdue; probes a direct way that is bad.
  void tick(common::time_point now);

  // Since when direct calls fail; none while they do not.
  std::optional<common::time_point> direct_failing_since() const { return m_bad_since; }
  // When direct calls last began to be answered again; the beginning of time if they never failed.
  common::time_point direct_restored_at() const { return m_back_since; }
  // Whether direct calls fail or the latest ones are overdue.
  bool in_doubt() const;
  // Whether this instance reaches neither the store nor another zone.
  bool isolated() const { return in_doubt() && m_peers.cut_off(); }

private:
  struct direct_call
  {
    common::time_point began;
    http::request call;
    common::duration timeout;
    http::reply_handler done;
    bool copied = false;
  };

  struct relayed
  {
    http::reply_handler done;
    std::string peer;
    common::time_point overdue;
  };

  // How long a call may be without an answer before the direct way is in doubt.
  common::duration patience() const;
  void note(const http::reply& answer, common::time_point began);
  void note_too_many(common::time_point began);
  void lost(unsigned status, const std::string& failure);
  void on_direct_answer(std::uint64_t number, http::reply answer);
  void copy_overdue_calls();
  void relay(http::request call, common::duration timeout, http::reply_handler done);

  common::timekeeper& m_time;
  http::peer_sender& m_client;
  common::endpoint m_store;
  http::request m_probe;
  sender m_send_to_peer;
  std::optional<common::time_point> m_bad_since;
  common::time_point m_last_probe{};
  unsigned m_too_many = 0; // answers 429 in a row, and since when
  common::time_point m_too_many_since{};
  common::time_point m_last_heard{};
  common::time_point m_back_since{};
  common::duration m_latest_took{}; // of the calls that are answered at once
  peer_monitor& m_peers;
  std::map<std::uint64_t, direct_call> m_under_way; // in the order in which they began
  std::map<std::uint64_t, relayed> m_relayed;
  std::uint64_t m_number = 0;
};

// The direct way alone, for feeds: their health is what tells how this instance stands.
class direct_store_path : public http::request_sender
{
public:
  explicit direct_store_path(store_path& path) : m_path(path) {}

  void send(http::request call, common::duration timeout, http::reply_handler done) override;

private:
  store_path& m_path;
};
} // namespace yardhill::node
