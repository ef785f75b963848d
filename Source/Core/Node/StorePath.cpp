// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/StorePath.h"

#include <utility>

#include "Common/EventLog.h"

namespace yardhill::node
{
namespace
{
// How often a bad direct way is tried, and how long an answer may take then.
constexpr std::chrono::milliseconds k_probe_period{500};
constexpr std::chrono::milliseconds k_probe_timeout{450};
// A peer that has no way to the store itself is not asked for this time.
constexpr std::chrono::milliseconds k_avoid{500};
// Added to a relayed call's own timeout: the way to the peer and back.
constexpr std::chrono::milliseconds k_relay_slack{100};

http::reply no_way()
{
  return {0, {}, "no way to the store", true};
}

bool turned_away(const http::reply& answer)
{
  return !answer.answered() || answer.status == 503;
}
} // namespace

store_path::store_path(common::timekeeper& time, http::peer_sender& client,
                       const common::endpoint& store, http::request probe, sender send_to_peer)
    : m_time(time),
      m_client(client),
      m_store(store),
      m_probe(std::move(probe)),
      m_send_to_peer(std::move(send_to_peer))
{
}

void store_path::note(const http::reply& answer)
{
  if (!turned_away(answer))
  {
    if (m_bad_since)
      common::log_process("store_heard", {{"silent_ms", m_time.now() - *m_bad_since}});
    m_bad_since.reset();
    return;
  }
  if (m_bad_since)
    return;
  m_bad_since = m_time.now();
  m_last_probe = *m_bad_since;
  common::log_process("store_lost", {{"status", answer.status}, {"failure", answer.failure}});
}

void store_path::send_directly(http::request call, common::duration timeout,
                               http::reply_handler done)
{
  m_client.send(m_store, std::move(call), timeout,
                [this, done = std::move(done)](http::reply answer)
                {
                  note(answer);
                  done(std::move(answer));
                });
}

void store_path::send(http::request call, common::duration timeout, http::reply_handler done)
{
  if (m_bad_since)
  {
    relay(std::move(call), timeout, std::move(done));
    return;
  }
  const common::time_point began = m_time.now();
  const http::request copy = call;
  send_directly(std::move(call), timeout,
                [this, copy, timeout, began, done = std::move(done)](http::reply answer)
                {
                  const bool harmless = copy.verb == http::method::get || answer.status == 503 ||
                                        (!answer.answered() && answer.refused);
                  const common::duration left = timeout - (m_time.now() - began);
                  if (turned_away(answer) && harmless && left.count() > 0)
                    relay(copy, left, done);
                  else
                    done(std::move(answer));
                });
}

void store_path::relay(http::request call, common::duration timeout, http::reply_handler done)
{
  const common::time_point now = m_time.now();
  for (const std::string& peer : m_peers)
  {
    if (m_avoid[peer] > now)
      continue;
    common::relay_request request;
    request.number = ++m_number;
    request.verb = static_cast<std::uint8_t>(call.verb);
    request.target = std::move(call.target);
    request.body = std::move(call.body);
    request.timeout_ms = static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count());
    m_relayed[request.number] = {std::move(done), peer, now + timeout + k_relay_slack};
    m_send_to_peer(peer, request);
    return;
  }
  m_time.post([done = std::move(done)] { done(no_way()); });
}

void store_path::peer_linked(const std::string& peer)
{
  m_peers.insert(peer);
}

void store_path::peer_unlinked(const std::string& peer)
{
  m_peers.erase(peer);
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
    m_avoid[peer] = m_time.now() + k_avoid;
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
    overdue.push_back(std::move(each->second.done));
    each = m_relayed.erase(each);
  }
  for (const http::reply_handler& done : overdue)
    done({0, {}, "the peer that relays the call did not answer", false});
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
