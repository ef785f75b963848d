// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/StorePath.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

#include "Common/EventLog.h"
#include "Node/DuplicatedRequest.h"

namespace yardhill::node
{
namespace
{
// How often a bad direct way is tried, and how long an answer may take then.
constexpr std::chrono::milliseconds k_probe_period{500};
constexpr std::chrono::milliseconds k_probe_timeout{450};
// Taken off a relayed call's own timeout: the way to the peer and back.
constexpr std::chrono::milliseconds k_relay_way{50};
// The store answers in 4 ms. With a silence of this length a peer may know better ...
constexpr std::chrono::milliseconds k_doubt{250};
// ... unless answers have become slow: then as many times what the latest one took. Copies of calls
// that are only slow would give a slow store twice the work, and it turns calls away by its rate.
constexpr int k_slow_doubt = 3;

http::reply no_way()
{
  return {0, {}, "no way to the store", true};
}

// The store is at its rate, or turns this instance away: one answer does not tell which.
constexpr unsigned k_too_many = 429;
// So many in a row, over the time of a doubt and with no other answer between, tell that it is this
// instance: a store at its rate answers some calls, and answers the feeds.
constexpr unsigned k_in_a_row = 3;

bool turned_away(const http::reply& answer)
{
  return !answer.answered() || answer.status == 503;
}
} // namespace

store_path::store_path(common::timekeeper& time, http::peer_sender& client,
                       const common::endpoint& store, http::request probe, peer_monitor& peers,
                       sender send_to_peer)
    : m_time(time),
      m_client(client),
      m_store(store),
      m_probe(std::move(probe)),
      m_send_to_peer(std::move(send_to_peer)),
      m_peers(peers)
{
}

void store_path::note(const http::reply& answer, common::time_point began)
{
  if (answer.status == k_too_many)
  {
    note_too_many(began);
    return;
  }
  if (!turned_away(answer))
  {
    m_too_many = 0;
    m_last_heard = m_time.now();
    if (!m_bad_since)
      return;
    common::log_process("store_heard", {{"silent_ms", m_time.now() - *m_bad_since}});
    m_bad_since.reset();
    m_back_since = m_time.now();
    return;
  }
  // A single lost answer, if the store has answered a later call.
  if (m_bad_since || (!answer.answered() && m_last_heard > began))
    return;
  lost(answer.status, answer.failure);
}

void store_path::lost(unsigned status, const std::string& failure)
{
  m_bad_since = m_time.now();
  m_last_probe = *m_bad_since;
  common::log_process("store_lost", {{"status", status}, {"failure", failure}});
}

void store_path::note_too_many(common::time_point began)
{
  if (m_bad_since || m_last_heard > began)
    return;
  if (m_too_many++ == 0)
    m_too_many_since = m_time.now();
  if (m_too_many >= k_in_a_row && m_time.now() - m_too_many_since >= k_doubt)
    lost(k_too_many, "nothing but this for a while");
}

void store_path::send_directly(http::request call, common::duration timeout,
                               http::reply_handler done)
{
  // Bytes of a long answer show as well as an answer does that the store is there.
  if (call.expects)
    call.expects->coming = [this, coming = std::move(call.expects->coming)]
    {
      m_last_heard = m_time.now();
      if (coming)
        coming();
    };
  m_client.send(m_store, std::move(call), timeout,
                [this, began = m_time.now(), done = std::move(done)](http::reply answer)
                {
                  note(answer, began);
                  done(std::move(answer));
                });
}

bool store_path::in_doubt() const
{
  if (m_bad_since)
    return true;
  if (m_under_way.empty())
    return false;
  const common::time_point silent_since = std::max(m_under_way.begin()->second.began, m_last_heard);
  return m_time.now() - silent_since > patience();
}

common::duration store_path::patience() const
{
  return std::max<common::duration>(k_doubt, k_slow_doubt * m_latest_took);
}

void store_path::send(http::request call, common::duration timeout, http::reply_handler done)
{
  // A slow store is slow for the peers as well; they say so.
  if (m_bad_since || isolated() || (in_doubt() && m_peers.relay_peer()))
  {
    relay(std::move(call), timeout, std::move(done));
    return;
  }
  // Calls of feeds wait for news; these are answered at once if the store is well.
  const std::uint64_t number = ++m_number;
  m_under_way[number] = {m_time.now(), call, timeout, std::move(done), false};
  send_directly(std::move(call), timeout,
                [this, number, began = m_time.now()](http::reply answer)
                {
                  if (!turned_away(answer) && answer.status != k_too_many)
                    m_latest_took = m_time.now() - began;
                  on_direct_answer(number, std::move(answer));
                });
}

void store_path::on_direct_answer(std::uint64_t number, http::reply answer)
{
  direct_call ended = std::move(m_under_way.extract(number).mapped());
  const bool not_done = answer.status == 503 || answer.status == k_too_many;
  const bool harmless =
      ended.call.verb == http::method::get || not_done || (!answer.answered() && answer.refused);
  const bool away = turned_away(answer) || (answer.status == k_too_many && m_bad_since);
  const common::duration left = ended.timeout - (m_time.now() - ended.began);
  if (!ended.copied && away && harmless && left.count() > 0)
    relay(std::move(ended.call), left, std::move(ended.done));
  else
    ended.done(std::move(answer));
}

// The store has fallen silent for this instance, and a peer says that it has not for the peer.
void store_path::copy_overdue_calls()
{
  if (m_bad_since || !in_doubt() || !m_peers.relay_peer())
    return;
  const common::time_point now = m_time.now();
  for (auto& [number, each] : m_under_way)
  {
    const common::duration left = each.timeout - (now - each.began);
    if (each.copied || now - each.began <= patience() || left <= k_relay_way)
      continue;
    each.copied = true;
    const auto both = std::make_shared<duplicated_request>(std::move(each.done));
    each.done = [both](const http::reply& answer) { both->answered(answer); };
    relay(each.call, left, each.done);
  }
}

void store_path::relay(http::request call, common::duration timeout, http::reply_handler done)
{
  const auto peer = m_peers.relay_peer();
  if (!peer || timeout <= k_relay_way)
  {
    m_time.post([done = std::move(done)] { done(no_way()); });
    return;
  }
  common::relay_request request;
  request.number = ++m_number;
  request.verb = static_cast<std::uint8_t>(call.verb);
  request.target = std::move(call.target);
  request.body = std::move(call.body);
  request.timeout_ms = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(timeout - k_relay_way).count());
  m_relayed[request.number] = {std::move(done), *peer, m_time.now() + timeout};
  m_send_to_peer(*peer, request);
}

void store_path::peer_unreachable(const std::string& peer)
{
  for (auto& [number, each] : m_relayed)
  {
    if (each.peer == peer)
      each.overdue = common::time_point{};
  }
}

void store_path::on_request(const std::string& peer, const common::relay_request& request)
{
  const auto answer = [this, peer, number = request.number](const http::reply& result)
  {
    common::relay_reply reply;
    reply.number = number;
    reply.status = result.status;
    reply.body = result.body;
    reply.failure = result.failure;
    reply.refused = result.refused;
    m_send_to_peer(peer, reply);
  };
  if (m_bad_since)
  {
    answer(no_way());
    return;
  }
  http::request call;
  call.verb = static_cast<http::method>(request.verb);
  call.target = request.target;
  call.body = request.body;
  call.headers.emplace_back("Content-Type", "application/json");
  send_directly(std::move(call), std::chrono::milliseconds(request.timeout_ms), answer);
}

void store_path::on_reply(const std::string& peer, const common::relay_reply& reply)
{
  auto found = m_relayed.extract(reply.number);
  if (found.empty())
    return; // given up before
  if (reply.status == 0 && reply.refused)
    m_peers.avoid(peer);
  found.mapped().done({reply.status, reply.body, reply.failure, reply.refused});
}

void store_path::tick(common::time_point now)
{
  std::vector<http::reply_handler> overdue;
  for (auto each = m_relayed.begin(); each != m_relayed.end();)
  {
    if (each->second.overdue > now)
    {
      ++each;
      continue;
    }
    m_peers.avoid(each->second.peer);
    overdue.push_back(std::move(each->second.done));
    each = m_relayed.erase(each);
  }
  for (const http::reply_handler& done : overdue)
    done({0, {}, "the peer that relays the call did not answer", false});
  copy_overdue_calls();
  if (!m_bad_since || now - m_last_probe < k_probe_period)
    return;
  m_last_probe = now;
  send_directly(m_probe, k_probe_timeout, [](const http::reply&) {});
}

void direct_store_path::send(http::request call, common::duration timeout, http::reply_handler done)
{
  m_path.send_directly(std::move(call), timeout, std::move(done));
}
} // namespace yardhill::node
