// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Instance/RequestRouter.h"

#include <algorithm>
#include <utility>

#include "Common/Hash.h"

namespace yardhill::instance
{
namespace
{
constexpr duration k_reroute_delay = std::chrono::milliseconds{50};
// How long after a task's deadline its home may take to report that the deadline passed.
constexpr duration k_deadline_grace = std::chrono::seconds{2};

// Answers a request that was never passed to its home. With a caller's key the answer is unclear,
// since only the key's home can know that the task was not run. Without one the answer is a
// refusal: the id was minted here a moment ago, so no other instance knows the id.
answer refuse_unrouted(const task_spec& spec, refusal_reason reason, std::string detail,
                       std::string step, duration retry_after)
{
  if (spec.keyed)
    return unclear(spec.id, reason, std::move(detail), std::move(step), retry_after);
  return refuse(spec.id, reason, std::move(detail), std::move(step), retry_after);
}
} // namespace

request_router::request_router(instance_id self, zone_id zone, const routing_options& options,
                               metrics& counts, const peer_registry& peers, home_map& homes)
    : m_self(std::move(self)),
      m_zone(std::move(zone)),
      m_options(options),
      m_metrics(counts),
      m_peers(peers),
      m_homes(homes)
{
}

std::string request_router::mint_key()
{
  return m_zone.value + k_generated_key_mark + m_self.value + "-" + std::to_string(++m_minted);
}

bool request_router::fill_spec(const caller_request& request, const cell_config& cell,
                               task_spec& spec, answer& refusal)
{
  const workload_config* workload = cell.find_workload(request.workload);
  if (workload == nullptr)
  {
    const bool not_ready = cell.version == 0;
    spec.keyed = !request.key.empty() && not_ready;
    spec.id = make_task_id(request.workload, request.key);
    refusal = refuse_unrouted(spec, refusal_reason::unknown_workload,
                              "no workload \"" + request.workload.value + "\" is declared",
                              "accept", not_ready ? m_options.retry_after_delay : duration{0});
    return false;
  }
  if (request.purpose == request_purpose::submit && workload->kind == task_kind::service)
  {
    refusal =
        refuse({}, refusal_reason::malformed_request,
               "a service runs by its declaration and takes no requests", "accept", duration{0});
    return false;
  }
  spec = task_of(*workload);
  spec.keyed = !request.key.empty();
  const bool local = workload->zones.empty() ||
                     std::ranges::find(workload->zones, m_zone) != workload->zones.end();
  std::string key = request.key;
  if (!spec.keyed)
    key = mint_key();
  // A minted id has its home in this zone if the workload may run here.
  if (!spec.keyed && !local)
    key.replace(0, m_zone.value.size(), workload->zones.front().value);
  spec.id = make_task_id(workload->id, key);
  spec.payload = request.payload;
  spec.waits = request.waits;
  if (request.deadline)
    spec.deadline = *request.deadline;
  if (request.repeatable)
    spec.repeatable = spec.repeatable && *request.repeatable;
  return true;
}

void request_router::from_caller(const caller_request& request, const cell_config& cell,
                                 time_point now)
{
  m_metrics.add(counter::requests);
  pending_request new_request;
  new_request.purpose = request.purpose;
  new_request.requester_number = request.number;
  answer refusal;
  bool refused = !fill_spec(request, cell, new_request.spec, refusal);
  if (!refused && m_stopping)
  {
    refusal = refuse_unrouted(new_request.spec, refusal_reason::instance_stopping,
                              "this instance is stopping; ask another", "accept",
                              m_options.retry_after_delay);
    refused = true;
  }
  if (!refused && m_pending.size() >= m_options.max_pending_requests)
  {
    refusal = refuse_unrouted(new_request.spec, refusal_reason::queue_full,
                              "too many requests are under way here", "accept",
                              m_options.retry_after_delay);
    refused = true;
  }
  if (refused)
  {
    send_answer(new_request, refusal);
    return;
  }
  new_request.fresh = !new_request.spec.keyed && request.purpose == request_purpose::submit;
  add(std::move(new_request), cell, now);
}

void request_router::from_peer(const instance_id& peer, const forward_request& request,
                               const cell_config& cell, time_point now)
{
  pending_request new_request;
  new_request.purpose = request.purpose;
  new_request.spec = request.spec;
  new_request.from_peer = peer;
  new_request.requester_number = request.number;
  new_request.hops = request.hops;
  new_request.fresh = request.fresh;
  add(std::move(new_request), cell, now);
}

void request_router::add(pending_request request, const cell_config& cell, time_point now)
{
  const workload_config* workload = cell.find_workload(workload_of(request.spec.id));
  const zone_config* zone =
      workload != nullptr ? cell.find_zone(home_zone(request.spec.id, *workload, cell)) : nullptr;
  if (zone == nullptr && !request.from_peer.empty())
  {
    // The peer has a newer configuration than this instance.
    send_not_owner(request, false);
    return;
  }
  if (zone == nullptr)
  {
    send_answer(request, refuse_unrouted(request.spec, refusal_reason::zone_not_served,
                                         "the configuration here names no home for it", "route",
                                         m_options.retry_after_delay));
    return;
  }
  request.home = home_partition(request.spec.id, *zone);
  request.routing_started = now;
  const bool has_deadline = request.spec.deadline > duration{0};
  request.reply_deadline =
      now + (has_deadline ? std::min(request.spec.deadline + k_deadline_grace, m_options.wait_limit)
                          : m_options.wait_limit);
  const std::uint64_t number = m_next_number++;
  m_timers.emplace(request.reply_deadline, number);
  m_pending.emplace(number, std::move(request));
  route(number, now);
}

std::optional<instance_id> request_router::next_hop(const pending_request& request,
                                                    time_point now) const
{
  if (request.hops >= m_options.max_hops)
    return std::nullopt;
  if (std::optional<instance_id> owner = m_peers.owner_of(request.home, now))
    return owner;
  if (request.home.zone == m_zone)
    return std::nullopt;
  return m_peers.any_peer_in(request.home.zone,
                             stable_hash(request.spec.id.value) + request.retries, now);
}

void request_router::route(std::uint64_t number, time_point now)
{
  pending_request& request = m_pending.at(number);
  const auto home = m_homes.find(request.home);
  if (home != m_homes.end() && home->second.owns())
  {
    submit_to_home(number, request, home->second, now);
    return;
  }
  const std::optional<instance_id> hop = next_hop(request, now);
  if (hop && *hop != request.from_peer)
  {
    forward_to_peer(number, request, *hop);
    return;
  }
  if (!request.from_peer.empty())
  {
    return_not_owner(number, request.may_have_reached_home);
    return;
  }
  if (now >= request.routing_started + m_options.no_owner_timeout)
  {
    finish_unroutable(number, now);
    return;
  }
  park(number, request, k_reroute_delay, now);
}

void request_router::submit_to_home(std::uint64_t number, pending_request& request,
                                    partition_home& home, time_point now)
{
  request.state = routing_state::at_home;
  const decision::reply_address address{{}, number};
  const bool fresh = request.fresh;
  switch (request.purpose)
  {
  case request_purpose::submit:
    home.submit(request.spec, fresh, address, now);
    return;
  case request_purpose::cancel:
    home.cancel(request.spec.id, address, now);
    return;
  case request_purpose::status:
  case request_purpose::count:
    home.status(request.spec.id, address);
    return;
  }
}

void request_router::forward_to_peer(std::uint64_t number, pending_request& request,
                                     const instance_id& peer)
{
  request.state = routing_state::at_peer;
  request.assigned_peer = peer;
  m_commands.emplace_back(
      send_to_peer{peer, forward_request{number, request.hops + 1, request.purpose, request.fresh,
                                         request.spec}});
}

void request_router::park(std::uint64_t number, pending_request& request, duration delay,
                          time_point now)
{
  request.state = routing_state::parked;
  request.assigned_peer = instance_id{};
  m_timers.erase({request.next_try, number});
  request.next_try = now + delay;
  m_timers.emplace(request.next_try, number);
}

request_router::pending_map::iterator request_router::erase(pending_map::iterator entry)
{
  m_timers.erase({entry->second.reply_deadline, entry->first});
  m_timers.erase({entry->second.next_try, entry->first});
  return m_pending.erase(entry);
}

void request_router::finish_unroutable(std::uint64_t number, time_point /*now*/)
{
  const pending_request& request = m_pending.at(number);
  const bool never_reached_home = !request.may_have_reached_home && request.fresh;
  if (never_reached_home)
    finish(number, refuse(request.spec.id, refusal_reason::no_owner,
                          "nobody owns " + to_text(request.home) + " at present", "route",
                          m_options.retry_after_delay));
  else
    finish(number, unclear(request.spec.id, refusal_reason::owner_unreachable,
                           "the home " + to_text(request.home) + " cannot be reached", "route",
                           m_options.retry_after_delay));
}

void request_router::home_replied(const decision::caller_reply& reply, time_point now)
{
  const auto found = m_pending.find(reply.to.number);
  if (found == m_pending.end())
  {
    m_metrics.add(counter::late_answers);
    return;
  }
  if (!reply.moved)
  {
    finish(found->first, reply.value);
    return;
  }
  pending_request& request = found->second;
  request.fresh = false;
  request.may_have_reached_home = true;
  if (!request.from_peer.empty())
  {
    return_not_owner(found->first, true);
    return;
  }
  request.routing_started = now; // no_owner_timeout starts anew for the new owner
  park(found->first, request, duration{0}, now);
}

void request_router::peer_answered(const instance_id& peer, const forward_answer& reply,
                                   time_point now)
{
  const auto found = m_pending.find(reply.number);
  const bool expected = found != m_pending.end() && found->second.state == routing_state::at_peer &&
                        found->second.assigned_peer == peer;
  if (!expected)
  {
    m_metrics.add(counter::late_answers);
    return;
  }
  if (!reply.not_owner)
  {
    finish(found->first, reply.reply);
    return;
  }
  pending_request& request = found->second;
  m_metrics.add(retry_reason::forward_not_owner);
  if (reply.may_have_run)
  {
    request.fresh = false;
    request.may_have_reached_home = true;
  }
  if (!request.from_peer.empty())
  {
    return_not_owner(found->first, request.may_have_reached_home);
    return;
  }
  ++request.retries;
  park(found->first, request, k_reroute_delay, now);
}

void request_router::peer_unlinked(const instance_id& peer, time_point now)
{
  for (auto entry = m_pending.begin(); entry != m_pending.end();)
    entry = entry->second.from_peer == peer ? erase(entry) : std::next(entry);
  peer_silent(peer, now);
}

void request_router::peer_silent(const instance_id& peer, time_point now)
{
  std::vector<std::uint64_t> affected;
  for (const auto& [number, request] : m_pending)
  {
    if (request.state == routing_state::at_peer && request.assigned_peer == peer)
      affected.push_back(number);
  }
  for (const std::uint64_t number : affected)
  {
    pending_request& request = m_pending.at(number);
    m_metrics.add(retry_reason::forward_lost);
    request.fresh = false;
    request.may_have_reached_home = true;
    if (!request.from_peer.empty())
    {
      return_not_owner(number, true);
      continue;
    }
    request.routing_started = now;
    ++request.retries;
    park(number, request, k_reroute_delay, now);
  }
}

void request_router::return_not_owner(std::uint64_t number, bool may_have_run)
{
  send_not_owner(m_pending.at(number), may_have_run);
  erase(m_pending.find(number));
}

void request_router::send_not_owner(const pending_request& request, bool may_have_run)
{
  forward_answer reply;
  reply.number = request.requester_number;
  reply.not_owner = true;
  reply.may_have_run = may_have_run;
  m_commands.emplace_back(send_to_peer{request.from_peer, std::move(reply)});
}

void request_router::finish(std::uint64_t number, const answer& value)
{
  const auto found = m_pending.find(number);
  send_answer(found->second, value);
  erase(found);
}

void request_router::send_answer(const pending_request& request, const answer& value)
{
  if (!request.from_peer.empty())
  {
    forward_answer reply;
    reply.number = request.requester_number;
    reply.reply = value;
    m_commands.emplace_back(send_to_peer{request.from_peer, std::move(reply)});
    return;
  }
  count(value);
  m_commands.emplace_back(answer_caller{request.requester_number, value});
}

void request_router::count(const answer& value)
{
  m_metrics.add(counter::answers);
  if (value.reason != refusal_reason::none)
    m_metrics.add(value.reason);
}

void request_router::advance(time_point now)
{
  while (!m_timers.empty() && m_timers.begin()->first <= now)
  {
    const std::uint64_t number = m_timers.begin()->second;
    m_timers.erase(m_timers.begin());
    const auto found = m_pending.find(number);
    if (found == m_pending.end())
      continue;
    pending_request& request = found->second;
    if (now >= request.reply_deadline)
    {
      finish(number, unclear(request.spec.id, refusal_reason::owner_unreachable,
                             "no answer came in time; ask for its status", "route",
                             m_options.retry_after_delay));
      continue;
    }
    if (request.state == routing_state::parked && now >= request.next_try)
      route(number, now);
  }
}

time_point request_router::next_timer() const
{
  return m_timers.empty() ? k_never : m_timers.begin()->first;
}

std::vector<command> request_router::take_commands()
{
  return std::exchange(m_commands, {});
}
} // namespace yardhill::instance
