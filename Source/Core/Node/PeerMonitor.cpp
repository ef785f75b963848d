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
// Four questions a second and peer: two missed are still noticed before a renewal is overdue.
constexpr std::chrono::milliseconds k_ask_period{250};
// An answer takes 3 ms between zones; a machine that is 5 times slower, or whose processor share is
// spent for a tenth of a second, still answers within this time.
constexpr std::chrono::milliseconds k_answer_patience{400};
// An owner's questions come every 250 ms: two missed, and a slow way.
constexpr std::chrono::milliseconds k_question_patience{650};
// A busy peer may be so many times as late as it was lately: a backlog that grows by a second each
// second doubles from one message to the next.
constexpr int k_lateness_factor = 2;
// After so long without a tick this process stood still itself, and knows nothing of others.
constexpr std::chrono::milliseconds k_own_pause{200};
// A peer that could not relay a call is not asked to for this time.
constexpr std::chrono::milliseconds k_avoid{500};
// So many peers are all asked in each round. Of more, an owner asks those weaker than itself in
// turn, so that each is asked once in so many rounds: a link tells that its process is gone, so
// this only bounds how late a frozen or cut one is noticed.
constexpr std::size_t k_few_peers = 24;
constexpr std::uint64_t k_turns = 4;
// An instance in doubt with many peers asks so many: of 147 of which a third is turned away as
// well, all of them are without a way once in 3,000 times, and then the next ones are tried.
constexpr std::size_t k_asked_in_doubt = 8;
// Of many peers of other zones, so many silent ones tell that the zone is cut off.
constexpr std::size_t k_silent_others = 5;
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
  m_other_zones |= zone != m_self.zone;
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
  if (found->second.asks_often)
    found->second.gaps.note(now - found->second.heard_at, now);
  found->second.heard_at = now;
  if (!std::exchange(found->second.silent, false))
    return;
  found->second.asked_at.reset();
  common::log_process("peer_heard", {{"peer", name}});
  m_events.reachable(name);
}

void peer_monitor::on_question(const std::string& name,
                               const common::store_reachability_query& question,
                               const common::store_reachability_report& own)
{
  const auto found = m_peers.find(name);
  if (found != m_peers.end())
  {
    found->second.asks_often = question.often;
    found->second.told_late = std::chrono::milliseconds(question.late_ms);
  }
  m_send(name, own);
}

void peer_monitor::on_report(const std::string& name,
                             const common::store_reachability_report& report)
{
  const auto found = m_peers.find(name);
  if (found == m_peers.end())
    return;
  found->second.asked_at.reset();
  found->second.has_way = report.has_way;
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
    found->second.avoid_until = m_time.now() + k_avoid;
}

common::duration peer_monitor::patience(const peer& each, common::duration usual,
                                        common::time_point now) const
{
  const common::duration late = std::max<common::duration>(each.gaps.longest(now), each.told_late);
  return std::clamp<common::duration>(k_lateness_factor * late, usual, k_most_patience);
}

bool peer_monitor::overdue(const peer& each, common::time_point now) const
{
  if (each.asked_at && now - *each.asked_at > patience(each, k_answer_patience, now))
    return true;
  return each.asks_often && now - each.heard_at > patience(each, k_question_patience, now);
}

void peer_monitor::forgive(common::time_point now)
{
  for (auto& [name, each] : m_peers)
  {
    each.heard_at = now;
    if (each.asked_at)
      each.asked_at = now;
  }
}

common::store_reachability_query peer_monitor::question(bool often, common::time_point now) const
{
  const auto late = std::chrono::floor<std::chrono::milliseconds>(m_ticks.longest(now));
  return {often, static_cast<std::uint32_t>(late.count())};
}

void peer_monitor::ask_one(const std::string& name, peer& each, bool often, common::time_point now)
{
  if (!each.asked_at)
    each.asked_at = now;
  m_send(name, question(often, now));
}

void peer_monitor::ask_as_owner(common::time_point now)
{
  const std::uint64_t turn = m_rounds++ % k_turns;
  for (auto& [name, each] : m_peers)
  {
    const bool often =
        m_peers.size() <= k_few_peers || 2 * each.processor_millis >= m_self.processor_millis;
    if (often || each.silent || each.rank % k_turns == turn)
      ask_one(name, each, often, now);
  }
}

// Those first in this instance's order, and whoever is silent: it may be heard again.
void peer_monitor::ask_some(common::time_point now)
{
  std::vector<std::pair<std::uint64_t, const std::string*>> order;
  for (const auto& [name, each] : m_peers)
    order.emplace_back(each.rank, &name);
  std::sort(order.begin(), order.end());
  const std::size_t most = m_peers.size() <= k_few_peers ? m_peers.size() : k_asked_in_doubt;
  std::size_t asked = 0;
  for (const auto& [rank, name] : order)
  {
    peer& each = m_peers.at(*name);
    if (asked == most && !each.silent)
      continue;
    asked += each.silent ? 0 : 1;
    ask_one(*name, each, false, now);
  }
}

void peer_monitor::tell_stopped(common::time_point now)
{
  for (auto& [name, each] : m_peers)
    ask_one(name, each, false, now);
}

void peer_monitor::ask(common::time_point now, bool owner, bool in_doubt)
{
  m_last_asked = now;
  if (owner)
  {
    ask_as_owner(now);
    return;
  }
  if (in_doubt)
  {
    ask_some(now);
    return;
  }
  for (auto& [name, each] : m_peers)
  {
    if (each.silent)
      ask_one(name, each, false, now);
  }
}

void peer_monitor::tick(common::time_point now, bool owner, bool in_doubt)
{
  m_ticks.note(now - m_last_tick, now);
  if (now - m_last_tick > k_own_pause)
    forgive(now);
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
  // One last question tells the peers that no more will come.
  const bool stopped = m_was_owner && !owner;
  m_was_owner = owner;
  const bool any_silent = std::any_of(m_peers.begin(), m_peers.end(),
                                      [](const auto& each) { return each.second.silent; });
  if (stopped)
    tell_stopped(now);
  else if ((owner || in_doubt || any_silent) && now - m_last_asked >= k_ask_period)
    ask(now, owner, in_doubt);
}

std::optional<std::string> peer_monitor::way_through() const
{
  const common::time_point now = m_time.now();
  const std::pair<const std::string, peer>* best = nullptr;
  const auto key = [](const auto& each)
  { return std::pair(each.second.asks_often, each.second.rank); };
  for (const auto& each : m_peers)
  {
    if (each.second.silent || !each.second.has_way || each.second.avoid_until > now)
      continue;
    if (best == nullptr || key(each) < key(*best))
      best = &each;
  }
  return best == nullptr ? std::nullopt : std::optional(best->first);
}

std::uint32_t peer_monitor::strongest() const
{
  std::uint32_t most = 0;
  for (const auto& [name, each] : m_peers)
  {
    if (!each.silent && each.has_way)
      most = std::max(most, each.processor_millis);
  }
  return most;
}

bool peer_monitor::cut_off() const
{
  if (!m_other_zones)
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
    if (!each.silent && now - each.heard_at < k_answer_patience)
      return false;
  }
  return silent >= (others <= k_few_peers ? others : k_silent_others);
}
} // namespace yardhill::node
