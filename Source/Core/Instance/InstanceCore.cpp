// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Instance/InstanceCore.h"

#include <algorithm>
#include <utility>

namespace yardhill::instance
{
namespace
{
// Peers in other zones get one heartbeat for this many that go to peers in the own zone.
constexpr std::uint32_t k_remote_zone_heartbeat_divisor = 4;
} // namespace

instance_core::instance_core(const instance_identity& identity, const core_options& options,
                             const decision::placement_policy& policy, metrics& counts,
                             time_point /*now*/)
    : m_identity(identity),
      m_options(options),
      m_policy(policy),
      m_metrics(counts),
      m_config(m_options.ownership, counts),
      m_peers(identity.id, identity.zone, m_options.ownership),
      m_router(identity.id, identity.zone, m_options.routing, counts, m_peers, m_homes)
{
}

std::vector<command> instance_core::step(const event& incoming, time_point now)
{
  std::visit([this, now](const auto& each) { handle(each, now); }, incoming);
  advance(now);
  return std::exchange(m_commands, {});
}

void instance_core::handle(const caller_request& request, time_point now)
{
  m_router.from_caller(request, m_config.cell(), now);
}

void instance_core::handle(const apply_request& request, time_point now)
{
  m_config.apply(request, now);
}

void instance_core::handle(const peer_linked& link, time_point now)
{
  m_peers.linked(link.peer, link.zone, now);
  m_commands.emplace_back(send_to_peer{link.peer, own_heartbeat()});
}

void instance_core::handle(const peer_unlinked& link, time_point now)
{
  m_metrics.add(retry_reason::link_reconnect);
  m_peers.unlinked(link.peer);
  for (auto& [partition, home] : m_homes)
    home.peer_unlinked(link.peer, now);
  m_router.peer_unlinked(link.peer, now);
}

void instance_core::handle(const peer_received& received, time_point now)
{
  std::visit([&](const auto& message) { receive(received.peer, message, now); }, received.message);
}

void instance_core::handle(const claim_returned& returned, time_point now)
{
  if (partition_home* home = home_of_worker(returned.worker))
    home->handle_claim_result(returned, now);
}

void instance_core::handle(const start_returned& returned, time_point now)
{
  if (partition_home* home = home_of_worker(returned.worker))
    home->handle_start_result(returned, now);
}

void instance_core::handle(const store_returned& returned, time_point now)
{
  const auto found = m_calls.find(returned.call);
  if (found == m_calls.end())
    return;
  const call_owner owner = found->second;
  m_calls.erase(found);
  const auto home = m_homes.find(owner.partition);
  if (const auto* read = std::get_if<store_read_result>(&returned.result))
  {
    if (owner.config)
      m_config.read_answered(*read, now);
    else if (home != m_homes.end())
      home->second.read_answered(*read, now);
    return;
  }
  const auto& write = std::get<store_write_result>(returned.result);
  if (owner.config)
    m_config.write_answered(write, now);
  else if (home != m_homes.end())
    home->second.write_answered(write, now);
}

void instance_core::handle(const stop_requested& /*asked*/, time_point now)
{
  if (std::exchange(m_stopping, true))
    return;
  m_router.stop();
  for (auto& [id, home] : m_homes)
    home.begin_stop();
  m_next_heartbeat = now; // tell the peers at once that this instance is leaving
}

void instance_core::handle(const timer_expired& /*passed*/, time_point /*now*/) {}

void instance_core::receive(const instance_id& peer, const heartbeat& message, time_point now)
{
  if (!m_peers.record_heartbeat(peer, message, now))
    return;
  for (const owned_partition& owned : message.owned)
  {
    const auto home = m_homes.find(owned.partition);
    if (home != m_homes.end())
      home->second.owner_heard(peer, owned.term, now);
  }
  if (message.config_version > m_config.version())
    m_commands.emplace_back(send_to_peer{peer, config_pull{}});
}

void instance_core::receive(const instance_id& peer, const forward_request& message, time_point now)
{
  m_router.from_peer(peer, message, m_config.cell(), now);
}

void instance_core::receive(const instance_id& peer, const forward_answer& message, time_point now)
{
  m_router.peer_answered(peer, message, now);
}

void instance_core::receive(const instance_id& /*peer*/, const config_push& message,
                            time_point /*now*/)
{
  m_config.receive_peer_version(message.version, message.document);
}

void instance_core::receive(const instance_id& peer, const config_pull& /*message*/,
                            time_point /*now*/)
{
  if (m_config.version() > 0)
    m_commands.emplace_back(
        send_to_peer{peer, config_push{m_config.version(), m_config.document()}});
}

void instance_core::receive(const instance_id& /*peer*/, const handover& message, time_point now)
{
  const auto home = m_homes.find(message.partition);
  if (home == m_homes.end() || m_stopping)
    return;
  m_metrics.add(counter::handovers);
  home->second.handed_over(message.term, now);
}

void instance_core::advance(time_point now)
{
  advance_config(now);
  bool more = true;
  while (more)
  {
    m_router.advance(now);
    more = advance_homes(now);
  }
  if (now >= m_next_heartbeat)
    send_heartbeats(now);
  for (command& each : m_router.take_commands())
    m_commands.push_back(std::move(each));
  if (m_stopping)
    advance_stop(now);
  set_gauges();
}

void instance_core::advance_config(time_point now)
{
  m_config.advance(now);
  config_output out = m_config.take_output();
  if (out.call)
    call_store({true, {}}, std::move(*out.call));
  for (answer_apply& answered : out.answers)
    m_commands.emplace_back(std::move(answered));
  if (!out.changed)
    return;
  m_commands.emplace_back(
      log_event{log_level::info,
                "config",
                {},
                {},
                0,
                "version " + std::to_string(m_config.version()) + " is in force"});
  configure_homes(now);
  if (!out.applied_locally)
    return;
  for (const auto& [peer, entry] : m_peers.all())
    m_commands.emplace_back(
        send_to_peer{peer, config_push{m_config.version(), m_config.document()}});
}

void instance_core::configure_homes(time_point now)
{
  const zone_config* zone = m_config.cell().find_zone(m_identity.zone);
  if (zone == nullptr)
    return;
  for (std::uint32_t index = 0; index < zone->partitions; ++index)
  {
    const partition_id partition{zone->id, index};
    m_homes.try_emplace(partition, partition, m_identity.id, m_options, m_policy, m_metrics, now);
  }
  // Workers that are no longer declared stay in the map: results of calls to them may still arrive.
  for (const worker_config& worker : zone->workers)
    m_worker_homes[worker.id] = {zone->id, worker.partition};
  for (auto& [partition, home] : m_homes)
  {
    home.configure(m_config.cell(), now);
    if (m_stopping)
      home.begin_stop();
  }
}

bool instance_core::advance_homes(time_point now)
{
  bool any_reply = false;
  for (auto& [partition, home] : m_homes)
  {
    home.set_rank(m_peers.rank_of_self(partition, now));
    home.advance(now);
    home_output out = home.take_output();
    for (command& each : out.commands)
      m_commands.push_back(std::move(each));
    if (out.store_call)
      call_store({false, partition}, std::move(*out.store_call));
    for (const decision::caller_reply& reply : out.replies)
      m_router.home_replied(reply, now);
    any_reply = any_reply || !out.replies.empty();
    if (out.ownership_gained)
      m_next_heartbeat = now; // tell peers that wait for an owner at once
  }
  return any_reply;
}

void instance_core::call_store(const call_owner& owner, ownership::store_call request)
{
  const std::uint64_t number = m_next_call++;
  m_calls[number] = owner;
  m_commands.emplace_back(instance::call_store{number, std::move(request)});
}

heartbeat instance_core::own_heartbeat() const
{
  heartbeat beat;
  beat.config_version = m_config.version();
  beat.leaving = m_stopping;
  for (const auto& [partition, home] : m_homes)
  {
    if (home.owns())
      beat.owned.push_back({partition, home.term()});
  }
  return beat;
}

void instance_core::send_heartbeats(time_point now)
{
  m_next_heartbeat = now + m_options.ownership.heartbeat_period;
  // Requests forwarded to a peer that fell silent are routed again: replies may be lost in one
  // direction while the connections still look established.
  for (const instance_id& silent : m_peers.newly_silent(now))
    m_router.peer_silent(silent, now);
  const bool to_remote_zones = m_heartbeat_rounds++ % k_remote_zone_heartbeat_divisor == 0;
  const heartbeat beat = own_heartbeat();
  for (const auto& [peer, entry] : m_peers.all())
  {
    if (to_remote_zones || m_peers.in_own_zone(entry))
      m_commands.emplace_back(send_to_peer{peer, beat});
  }
}

// Hands each partition over to its successor, then waits until no request is pending. Without a
// successor, a partition is released once its scheduler is idle.
void instance_core::advance_stop(time_point now)
{
  bool owns_any = false;
  for (auto& [partition, home] : m_homes)
  {
    if (!home.owns())
      continue;
    const std::optional<instance_id> successor = m_peers.successor(partition, now);
    if (!home.ready_to_hand_over())
    {
      owns_any = true;
      continue;
    }
    if (!successor && !home.scheduler().idle())
    {
      owns_any = true; // no other instance in the zone: finish the running tasks first
      continue;
    }
    const term_number term = home.term();
    home.release_ownership(now);
    if (successor)
      m_commands.emplace_back(send_to_peer{*successor, handover{partition, term}});
    m_next_heartbeat = now;
  }
  advance_homes(now);
  m_router.advance(now);
  for (command& each : m_router.take_commands())
    m_commands.push_back(std::move(each));
  if (owns_any || m_router.pending() > 0 || m_stop_reported)
    return;
  m_stop_reported = true;
  m_commands.emplace_back(stop_complete{});
}

partition_home* instance_core::home_of_worker(const worker_id& worker)
{
  const auto partition = m_worker_homes.find(worker);
  if (partition == m_worker_homes.end())
    return nullptr;
  const auto home = m_homes.find(partition->second);
  return home == m_homes.end() ? nullptr : &home->second;
}

bool instance_core::ready(time_point now) const
{
  if (m_config.version() == 0 || m_stopping)
    return false;
  return std::ranges::all_of(
      m_homes, [&](const auto& entry)
      { return entry.second.owns() || m_peers.owner_of(entry.first, now).has_value(); });
}

void instance_core::set_gauges()
{
  std::uint64_t queued = 0;
  std::uint64_t active = 0;
  std::uint64_t owned = 0;
  std::uint64_t usable = 0;
  for (const auto& [partition, home] : m_homes)
  {
    if (!home.owns())
      continue;
    ++owned;
    queued += home.scheduler().queued();
    active += home.scheduler().active();
    usable += home.standing().claimed_workers();
  }
  m_metrics.set(gauge::queued, queued);
  m_metrics.set(gauge::active, active);
  m_metrics.set(gauge::partitions_owned, owned);
  m_metrics.set(gauge::workers_usable, usable);
  m_metrics.set(gauge::pending_requests, m_router.pending());
}

time_point instance_core::next_timer() const
{
  time_point next = std::min({m_next_heartbeat, m_config.next_timer(), m_router.next_timer()});
  for (const auto& [partition, home] : m_homes)
    next = std::min(next, home.next_timer());
  return next;
}
} // namespace yardhill::instance
