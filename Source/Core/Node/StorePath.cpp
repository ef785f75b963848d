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
// How often the store is probed directly while direct calls fail, and how long a probe may take.
constexpr std::chrono::milliseconds k_probe_period{500};
constexpr std::chrono::milliseconds k_probe_timeout{450};
// The period while callers wait, whose deadlines are at most 3 s away.
constexpr std::chrono::milliseconds k_frequent_probe_period{150};
// How many probes an outage may have at that period, which is enough for 6 s. Each call to the
// store is paid for: 40 instances send 1,600 such probes at most.
constexpr unsigned k_max_frequent_probes = 40;
// Subtracted from a relayed call's timeout to cover the round trip to the peer.
constexpr std::chrono::milliseconds k_relay_round_trip{50};
// A healthy store answers in 4 ms. If a call has had no reply for this long, a peer may have a
// better path to the store ...
constexpr std::chrono::milliseconds k_doubt_timeout{250};
// ... unless replies have become slow: then the bound is this multiple of the latest latency.
// Copying calls that are merely slow would double the load of a slow store, and the store rejects
// calls above its rate limit.
constexpr int k_doubt_latency_factor = 3;

http::reply no_path_reply()
{
  return {0, {}, "no way to the store", true};
}

// HTTP status 429: the store is at its rate limit, or it rejects this instance. A single reply does
// not tell which.
constexpr unsigned k_too_many_requests = 429;
// This many replies of status 429 in a row, over at least k_doubt_timeout and with no other reply
// in between, mean that the store rejects this instance: a store at its rate limit still answers
// some calls, and answers the feeds.
constexpr unsigned k_too_many_requests_in_a_row = 3;

bool is_unavailable(const http::reply& answer)
{
  return !answer.answered() || answer.status == 503;
}
} // namespace

store_path::store_path(common::timekeeper& time, common::call_numbers& numbers,
                       http::peer_sender& client, const common::endpoint& store,
                       http::request probe, peer_monitor& peers, sender send_to_peer)
    : m_time(time),
      m_numbers(numbers),
      m_client(client),
      m_store(store),
      m_probe(std::move(probe)),
      m_send_to_peer(std::move(send_to_peer)),
      m_peers(peers)
{
}

void store_path::record_reply(const http::reply& answer, common::time_point began)
{
  if (answer.status == k_too_many_requests)
  {
    record_too_many_requests(began);
    return;
  }
  if (!is_unavailable(answer))
  {
    m_too_many_requests = 0;
    m_last_received = m_time.now();
    if (!m_direct_failing_since)
      return;
    common::log_process("store_heard", {{"silent_ms", m_time.now() - *m_direct_failing_since}});
    m_direct_failing_since.reset();
    m_direct_restored_at = m_time.now();
    if (m_events.restored)
      m_events.restored();
    return;
  }
  // If the store has answered since this call began, only this call's reply was lost.
  if (m_direct_failing_since || (!answer.answered() && m_last_received > began))
    return;
  mark_failing(answer.status, answer.failure);
}

void store_path::mark_failing(unsigned status, const std::string& failure)
{
  m_direct_failing_since = m_time.now();
  m_last_probe = *m_direct_failing_since;
  m_frequent_probes = 0;
  common::log_process("store_lost", {{"status", status}, {"failure", failure}});
  if (m_events.lost)
    m_events.lost();
}

void store_path::record_too_many_requests(common::time_point began)
{
  if (m_direct_failing_since || m_last_received > began)
    return;
  if (m_too_many_requests++ == 0)
    m_too_many_requests_since = m_time.now();
  if (m_too_many_requests >= k_too_many_requests_in_a_row &&
      m_time.now() - m_too_many_requests_since >= k_doubt_timeout)
    mark_failing(k_too_many_requests, "no other status for a while");
}

void store_path::send_directly(http::request call, common::duration timeout,
                               http::reply_handler done)
{
  // Received bytes of a long reply prove as well as a whole reply that the store is reachable.
  if (call.expects)
    call.expects->coming = [this, coming = std::move(call.expects->coming)]
    {
      m_last_received = m_time.now();
      if (coming)
        coming();
    };
  m_client.send(m_store, std::move(call), timeout,
                [this, began = m_time.now(), done = std::move(done)](http::reply answer)
                {
                  record_reply(answer, began);
                  done(std::move(answer));
                });
}

bool store_path::in_doubt() const
{
  if (m_direct_failing_since)
    return true;
  if (m_in_flight.empty())
    return false;
  const common::time_point silent_since =
      std::max(m_in_flight.begin()->second.began, m_last_received);
  return m_time.now() - silent_since > doubt_timeout();
}

common::duration store_path::doubt_timeout() const
{
  return std::max<common::duration>(k_doubt_timeout, k_doubt_latency_factor * m_latest_latency);
}

void store_path::send(http::request call, common::duration timeout, http::reply_handler done)
{
  // While the direct path is only in doubt, calls are relayed only if a peer reports that it
  // reaches the store: a slow store is slow for the peers as well, and they report that.
  if (m_direct_failing_since || isolated() || (in_doubt() && m_peers.relay_peer()))
  {
    relay(std::move(call), timeout, std::move(done));
    return;
  }
  // Calls of this function are watched for overdue replies, since a healthy store answers them at
  // once. Calls of feeds wait for changes; they use send_directly().
  const std::uint64_t number = m_numbers.next();
  m_in_flight[number] = {m_time.now(), call, timeout, std::move(done), false};
  send_directly(std::move(call), timeout,
                [this, number, began = m_time.now()](http::reply answer)
                {
                  if (!is_unavailable(answer) && answer.status != k_too_many_requests)
                    m_latest_latency = m_time.now() - began;
                  on_direct_reply(number, std::move(answer));
                });
}

void store_path::on_direct_reply(std::uint64_t number, http::reply answer)
{
  direct_call ended = std::move(m_in_flight.extract(number).mapped());
  const bool rejected = answer.status == 503 || answer.status == k_too_many_requests;
  const bool safe_to_repeat =
      ended.call.verb == http::method::get || rejected || (!answer.answered() && answer.refused);
  const bool unavailable =
      is_unavailable(answer) || (answer.status == k_too_many_requests && m_direct_failing_since);
  const common::duration left = ended.timeout - (m_time.now() - ended.began);
  if (!ended.copied && unavailable && safe_to_repeat && left.count() > 0)
    relay(std::move(ended.call), left, std::move(ended.done));
  else
    ended.done(std::move(answer));
}

// Sends a copy of each overdue call through a peer when the store has stopped answering this
// instance and a peer reports that the store still answers the peer.
void store_path::copy_overdue_calls()
{
  if (m_direct_failing_since || !in_doubt() || !m_peers.relay_peer())
    return;
  const common::time_point now = m_time.now();
  for (auto& [number, each] : m_in_flight)
  {
    const common::duration left = each.timeout - (now - each.began);
    if (each.copied || now - each.began <= doubt_timeout() || left <= k_relay_round_trip)
      continue;
    each.copied = true;
    const auto combined = std::make_shared<duplicated_request>(std::move(each.done));
    each.done = [combined](const http::reply& answer) { combined->answered(answer); };
    relay(each.call, left, each.done);
  }
}

void store_path::relay(http::request call, common::duration timeout, http::reply_handler done)
{
  const auto peer = m_peers.relay_peer();
  if (!peer || timeout <= k_relay_round_trip)
  {
    m_time.post([done = std::move(done)] { done(no_path_reply()); });
    return;
  }
  common::relay_request request;
  request.number = m_numbers.next();
  request.verb = static_cast<std::uint8_t>(call.verb);
  request.target = std::move(call.target);
  request.body = std::move(call.body);
  request.timeout_ms = static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(timeout - k_relay_round_trip).count());
  m_relayed_calls[request.number] = {std::move(done), *peer, m_time.now() + timeout};
  m_send_to_peer(*peer, request);
}

void store_path::peer_unreachable(const std::string& peer)
{
  for (auto& [number, each] : m_relayed_calls)
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
  if (m_direct_failing_since)
  {
    answer(no_path_reply());
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
  const auto known = m_relayed_calls.find(reply.number);
  if (known == m_relayed_calls.end() || known->second.peer != peer)
  {
    // The call has already timed out here, or an earlier process made it.
    common::log_process("relay_reply_unexpected", {{"peer", peer}, {"number", reply.number}});
    return;
  }
  auto found = m_relayed_calls.extract(known);
  if (reply.status == 0 && reply.refused)
    m_peers.avoid(peer);
  found.mapped().done({reply.status, reply.body, reply.failure, reply.refused});
}

void store_path::tick(common::time_point now)
{
  std::vector<http::reply_handler> overdue;
  for (auto each = m_relayed_calls.begin(); each != m_relayed_calls.end();)
  {
    if (each->second.overdue > now)
    {
      ++each;
      continue;
    }
    m_peers.avoid(each->second.peer);
    overdue.push_back(std::move(each->second.done));
    each = m_relayed_calls.erase(each);
  }
  for (const http::reply_handler& done : overdue)
    done({0, {}, "the peer that relays the call did not answer", false});
  copy_overdue_calls();
  if (m_direct_failing_since)
    probe(now);
}

void store_path::probe(common::time_point now)
{
  const bool frequent = m_callers_waiting && m_frequent_probes < k_max_frequent_probes;
  if (now - m_last_probe < (frequent ? k_frequent_probe_period : k_probe_period))
    return;
  m_last_probe = now;
  if (frequent)
    ++m_frequent_probes;
  send_directly(m_probe, k_probe_timeout, [](const http::reply&) {});
}

void direct_store_path::send(http::request call, common::duration timeout, http::reply_handler done)
{
  m_path.send_directly(std::move(call), timeout, std::move(done));
}
} // namespace yardhill::node
