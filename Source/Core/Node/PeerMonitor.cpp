// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/PeerMonitor.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "Common/EventLog.h"
#include "Common/Hash.h"

namespace yardhill::node
{
namespace
{
// Each peer gets four queries a second: two lost ones in a row are still noticed before a renewal
// is overdue.
constexpr std::chrono::milliseconds k_query_period{250};
// A reply takes 3 ms between zones. A machine that is 5 times slower, or whose processor share is
// used up for 0.1 s, still replies within this time.
constexpr std::chrono::milliseconds k_answer_timeout{400};
// An owner's queries come every 250 ms: this allows for two lost ones and a slow link.
constexpr std::chrono::milliseconds k_owner_query_timeout{650};
// A busy peer may be late by this multiple of its recent lateness: a backlog that grows by a second
// each second doubles from one message to the next.
constexpr int k_lateness_factor = 2;
// If no tick came for this long, this process was stalled itself and cannot judge its peers.
constexpr std::chrono::milliseconds k_own_stall{200};
// A peer that could not relay a request gets no further ones for this time.
constexpr std::chrono::milliseconds k_avoid_time{500};
// Up to k_max_peers_all_queried peers are all queried in each round. With more peers, an owner
// queries a peer that has less than half its own processor time only once in k_query_turns rounds:
// a broken link shows that a process is gone, so the longer period only bounds how late a frozen or
// unreachable peer is noticed.
constexpr std::size_t k_max_peers_all_queried = 24;
constexpr std::uint64_t k_query_turns = 4;
// An instance in doubt that has many peers queries this many. If the store rejects a third of 147
// instances, none of the queried peers reaches it once in 3,000 times, and then the next peers are
// tried.
constexpr std::size_t k_peers_queried_in_doubt = 8;
// With many peers in other zones, this many silent ones show that the other zones are unreachable.
constexpr std::size_t k_silent_peers_if_unreachable = 5;
} // namespace

peer_monitor::peer_monitor(common::timekeeper& time, own_identity self, sender send,
                           peer_events events)
    : m_time(time), m_self(std::move(self)), m_send(std::move(send)), m_events(std::move(events))
{
}

void peer_monitor::linked(const std::string& name, const std::string& zone)
{
  peer& each = m_peers[name];
  each = {};
  each.zone = zone;
  each.rank = common::stable_hash(name, common::stable_hash(m_self.name));
  each.heard_at = m_time.now();
  m_other_zones_linked |= zone != m_self.zone;
  m_events.reachable(name);
}

void peer_monitor::unlinked(const std::string& name)
{
  const auto found = m_peers.extract(name);
  if (!found.empty() && !found.mapped().silent)
    m_events.unreachable(name);
}

void peer_monitor::heard(const std::string& name)
{
  const auto found = m_peers.find(name);
  if (found == m_peers.end())
    return;
  const common::time_point now = m_time.now();
  if (found->second.queries_often)
    found->second.gaps.record(now - found->second.heard_at, now);
  found->second.heard_at = now;
  if (!std::exchange(found->second.silent, false))
    return;
  found->second.unanswered_since.reset();
  common::log_process("peer_heard", {{"peer", name}});
  m_events.reachable(name);
}

void peer_monitor::on_query(const std::string& name, const common::store_reachability_query& query,
                            const common::store_reachability_report& own)
{
  const auto found = m_peers.find(name);
  if (found != m_peers.end())
  {
    found->second.queries_often = query.often;
    found->second.reported_lateness = std::chrono::milliseconds(query.late_ms);
  }
  m_send(name, own);
}

void peer_monitor::on_report(const std::string& name,
                             const common::store_reachability_report& report)
{
  const auto found = m_peers.find(name);
  if (found == m_peers.end())
    return;
  found->second.unanswered_since.reset();
  found->second.reaches_store = report.has_way;
}

void peer_monitor::on_strength(const std::string& name,
                               const common::processor_capacity_report& report)
{
  const auto found = m_peers.find(name);
  if (found != m_peers.end())
    found->second.processor_millis = report.processor_millis;
}

void peer_monitor::avoid(const std::string& name)
{
  const auto found = m_peers.find(name);
  if (found != m_peers.end())
    found->second.avoid_until = m_time.now() + k_avoid_time;
}

common::duration peer_monitor::timeout(const peer& each, common::duration base,
                                       common::time_point now) const
{
  const common::duration late =
      std::max<common::duration>(each.gaps.longest(now), each.reported_lateness);
  return std::clamp<common::duration>(k_lateness_factor * late, base, k_max_timeout);
}

bool peer_monitor::overdue(const peer& each, common::time_point now) const
{
  if (each.unanswered_since && now - *each.unanswered_since > timeout(each, k_answer_timeout, now))
    return true;
  return each.queries_often && now - each.heard_at > timeout(each, k_owner_query_timeout, now);
}

void peer_monitor::restart_timeouts(common::time_point now)
{
  for (auto& [name, each] : m_peers)
  {
    each.heard_at = now;
    if (each.unanswered_since)
      each.unanswered_since = now;
  }
}

common::store_reachability_query peer_monitor::make_query(bool often, common::time_point now) const
{
  const auto late = std::chrono::floor<std::chrono::milliseconds>(m_tick_gaps.longest(now));
  return {often, static_cast<std::uint32_t>(late.count())};
}

void peer_monitor::send_query(const std::string& name, peer& each, bool often,
                              common::time_point now)
{
  if (!each.unanswered_since)
    each.unanswered_since = now;
  m_send(name, make_query(often, now));
}

void peer_monitor::query_as_owner(common::time_point now)
{
  const std::uint64_t turn = m_query_rounds++ % k_query_turns;
  for (auto& [name, each] : m_peers)
  {
    const bool often = m_peers.size() <= k_max_peers_all_queried ||
                       2 * each.processor_millis >= m_self.processor_millis;
    if (often || each.silent || each.rank % k_query_turns == turn)
      send_query(name, each, often, now);
  }
}

// Queries the first peers in this instance's order of preference, and all silent ones, since they
// may have become reachable again.
void peer_monitor::query_some(common::time_point now)
{
  std::vector<std::pair<std::uint64_t, const std::string*>> order;
  for (const auto& [name, each] : m_peers)
    order.emplace_back(each.rank, &name);
  std::sort(order.begin(), order.end());
  const std::size_t limit =
      m_peers.size() <= k_max_peers_all_queried ? m_peers.size() : k_peers_queried_in_doubt;
  std::size_t queried = 0;
  for (const auto& [rank, name] : order)
  {
    peer& each = m_peers.at(*name);
    if (queried == limit && !each.silent)
      continue;
    queried += each.silent ? 0 : 1;
    send_query(*name, each, false, now);
  }
}

void peer_monitor::announce_stop(common::time_point now)
{
  for (auto& [name, each] : m_peers)
    send_query(name, each, false, now);
}

void peer_monitor::send_queries(common::time_point now, bool owner, bool in_doubt)
{
  m_last_query_at = now;
  if (owner)
  {
    query_as_owner(now);
    return;
  }
  if (in_doubt)
  {
    query_some(now);
    return;
  }
  for (auto& [name, each] : m_peers)
  {
    if (each.silent)
      send_query(name, each, false, now);
  }
}

void peer_monitor::tick(common::time_point now, bool owner, bool in_doubt)
{
  m_tick_gaps.record(now - m_last_tick, now);
  if (now - m_last_tick > k_own_stall)
    restart_timeouts(now);
  m_last_tick = now;
  std::vector<std::string> silent;
  for (auto& [name, each] : m_peers)
  {
    if (each.silent || !overdue(each, now))
      continue;
    each.silent = true;
    silent.push_back(name);
  }
  for (const std::string& name : silent)
  {
    common::log_process("peer_silent", {{"peer", name}});
    m_events.unreachable(name);
  }
  // A last query tells the peers not to expect periodic queries any more.
  const bool stopped = m_was_owner && !owner;
  m_was_owner = owner;
  const bool any_silent = std::any_of(m_peers.begin(), m_peers.end(),
                                      [](const auto& each) { return each.second.silent; });
  if (stopped)
    announce_stop(now);
  else if ((owner || in_doubt || any_silent) && now - m_last_query_at >= k_query_period)
    send_queries(now, owner, in_doubt);
}

std::optional<std::string> peer_monitor::relay_peer() const
{
  const common::time_point now = m_time.now();
  const std::pair<const std::string, peer>* best = nullptr;
  const auto key = [](const auto& each)
  { return std::pair(each.second.queries_often, each.second.rank); };
  for (const auto& each : m_peers)
  {
    if (each.second.silent || !each.second.reaches_store || each.second.avoid_until > now)
      continue;
    if (best == nullptr || key(each) < key(*best))
      best = &each;
  }
  return best == nullptr ? std::nullopt : std::optional(best->first);
}

std::uint32_t peer_monitor::strongest() const
{
  std::uint32_t limit = 0;
  for (const auto& [name, each] : m_peers)
  {
    if (!each.silent && each.reaches_store)
      limit = std::max(limit, each.processor_millis);
  }
  return limit;
}

bool peer_monitor::cut_off() const
{
  if (!m_other_zones_linked)
    return false;
  const common::time_point now = m_time.now();
  std::size_t others = 0;
  std::size_t silent = 0;
  for (const auto& [name, each] : m_peers)
  {
    if (each.zone == m_self.zone)
      continue;
    ++others;
    silent += each.silent ? 1 : 0;
    if (!each.silent && now - each.heard_at < k_answer_timeout)
      return false;
  }
  return silent >= (others <= k_max_peers_all_queried ? others : k_silent_peers_if_unreachable);
}
} // namespace yardhill::node
