// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Sends calls to the store: directly, or through a peer while the store rejects this instance or
// does not answer it.
//
// While neither works, calls fail at once, so that callers are refused instead of kept waiting. The
// direct path is in doubt as soon as a call takes longer than the store ever does when it is slow.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "Common/CallNumbers.h"
#include "Common/PeerMessages.h"
#include "Common/Timekeeper.h"
#include "Http/RequestSender.h"
#include "Node/PeerMonitor.h"

namespace yardhill::node
{
struct store_path_events
{
  std::function<void()> lost;     // direct calls begin to fail
  std::function<void()> restored; // direct calls succeed again
};

class store_path : public http::request_sender
{
public:
  using sender = std::function<void(const std::string& peer, const common::peer_message&)>;

  store_path(common::timekeeper& time, common::call_numbers& numbers, http::peer_sender& client,
             const common::endpoint& store, http::request probe, peer_monitor& peers,
             sender send_to_peer);

  // Sends the call directly or through a peer. Sends it a second time, through a peer, if the
  // direct call has certainly not been carried out, if it changes nothing, or if it has had no
  // reply for a while and a peer's calls are answered. A copy of a write is safe: either the write
  // has a condition that fails once the other copy is carried out, or it may be carried out twice.
  // A copied call is reported as not done only when that is certain for both copies.
  void send(http::request call, common::duration timeout, http::reply_handler done) override;
  // Sends the call directly in any case; its outcome updates the state of the direct path.
  void send_directly(http::request call, common::duration timeout, http::reply_handler done);

  void set_events(store_path_events events) { m_events = std::move(events); }
  // Whether callers wait until the store answers again. The direct path is then probed more often.
  void set_callers_waiting(bool waiting) { m_callers_waiting = waiting; }

  void peer_unreachable(const std::string& peer);
  void on_request(const std::string& peer, const common::relay_request& request);
  void on_reply(const std::string& peer, const common::relay_reply& reply);
  // Fails relayed calls that are overdue, copies overdue direct calls through a peer, and probes
  // the direct path while it fails.
  void tick(common::time_point now);

  // Since when direct calls have been failing; none while they succeed.
  std::optional<common::time_point> direct_failing_since() const { return m_direct_failing_since; }
  // When direct calls last began to succeed again; time_point{} if they never failed.
  common::time_point direct_restored_at() const { return m_direct_restored_at; }
  // Whether direct calls fail, or calls are in flight and nothing has been received from the store
  // for longer than doubt_timeout().
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

  struct relayed_call
  {
    http::reply_handler done;
    std::string peer;
    common::time_point overdue;
  };

  // How long the store may send nothing while calls are in flight before the direct path is in
  // doubt.
  common::duration doubt_timeout() const;
  void record_reply(const http::reply& answer, common::time_point began);
  void record_too_many_requests(common::time_point began);
  void mark_failing(unsigned status, const std::string& failure);
  void on_direct_reply(std::uint64_t number, http::reply answer);
  void copy_overdue_calls();
  void probe(common::time_point now);
  void relay(http::request call, common::duration timeout, http::reply_handler done);

  common::timekeeper& m_time;
  common::call_numbers& m_numbers;
  http::peer_sender& m_client;
  common::endpoint m_store;
  http::request m_probe;
  sender m_send_to_peer;
  std::optional<common::time_point> m_direct_failing_since;
  common::time_point m_last_probe{};
  store_path_events m_events;
  bool m_callers_waiting = false;
  unsigned m_frequent_probes = 0; // since direct calls have been failing
  unsigned m_too_many_requests =
      0; // replies of status 429 in a row, since m_too_many_requests_since
  common::time_point m_too_many_requests_since{};
  common::time_point m_last_received{};
  common::time_point m_direct_restored_at{};
  common::duration m_latest_latency{}; // of the latest answered call, feeds left out
  peer_monitor& m_peers;
  std::map<std::uint64_t, direct_call> m_in_flight; // by number, so the oldest call is first
  std::map<std::uint64_t, relayed_call> m_relayed_calls;
};

// Sends calls only directly. Used for feeds, whose health shows whether this instance itself
// reaches the store.
class direct_store_path : public http::request_sender
{
public:
  explicit direct_store_path(store_path& path) : m_path(path) {}

  void send(http::request call, common::duration timeout, http::reply_handler done) override;

private:
  store_path& m_path;
};
} // namespace yardhill::node
