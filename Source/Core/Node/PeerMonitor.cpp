// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/PeerMonitor.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "Common/EventLog.h"

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
// After so long without a tick this process stood still itself, and knows nothing of others.
constexpr std::chrono::milliseconds k_own_pause{200};
// A peer that could not relay a call is not asked to for this time.
constexpr std::chrono::milliseconds k_avoid{500};
} // namespace

peer_monitor::peer_monitor(common::timekeeper& time, std::string zone, sender send,
                           peer_events events)
    : m_time(time), m_zone(std::move(zone)), m_send(std::move(send)), m_events(std::move(events))
{
}

void peer_monitor::linked(const std::string& name, const std::string& zone)
{
  peer& each = m_peers[name];
  each = {};
  each.zone = zone;
  each.heard_at = m_time.now();
  m_other_zones |= zone != m_zone;
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
  found->second.heard_at = m_time.now();
  if (!std::exchange(found->second.silent, false))
    return;
  found->second.asked_at.reset();
  common::log_process("peer_heard", {{"peer", name}});
  m_events.reachable(name);
}

void peer_monitor::on_question(const std::string& name, const common::way_question& question,
                               bool has_way)
{
  const auto found = m_peers.find(name);
  if (found != m_peers.end())
    found->second.asks_often = question.often;
  m_send(name, common::way_report{has_way});
}

void peer_monitor::on_report(const std::string& name, const common::way_report& report)
{
  const auto found = m_peers.find(name);
  if (found == m_peers.end())
    return;
  found->second.asked_at.reset();
  found->second.has_way = report.has_way;
}

void peer_monitor::on_strength(const std::string& name, const common::strength_report& report)
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

bool peer_monitor::overdue(const peer& each, common::time_point now) const
{
  if (each.asked_at && now - *each.asked_at > k_answer_patience)
    return true;
  return each.asks_often && now - each.heard_at > k_question_patience;
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

void peer_monitor::ask_all(common::time_point now, bool owner)
{
  m_last_asked = now;
  for (auto& [name, each] : m_peers)
  {
    if (!each.asked_at)
      each.asked_at = now;
    m_send(name, common::way_question{owner});
  }
}

void peer_monitor::tick(common::time_point now, bool owner, bool in_doubt)
{
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
  if (stopped || ((owner || in_doubt || any_silent) && now - m_last_asked >= k_ask_period))
    ask_all(now, owner);
}

std::optional<std::string> peer_monitor::way_through() const
{
  const common::time_point now = m_time.now();
  for (const auto& [name, each] : m_peers)
  {
    if (!each.silent && each.has_way && each.avoid_until <= now)
      return name;
  }
  return std::nullopt;
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
  return std::none_of(m_peers.begin(), m_peers.end(),
                      [this](const auto& each)
                      { return each.second.zone != m_zone && !each.second.silent; });
}
} // namespace yardhill::node
