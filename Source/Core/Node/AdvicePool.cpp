// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/AdvicePool.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "Common/EventLog.h"
#include "Common/Hash.h"

namespace yardhill::node
{
namespace
{
// Share of all instances that is reserved for short calls. Long calls make up three quarters of the
// service's time at the sites.
constexpr std::size_t k_short_share_percent = 40;
// Short calls sent to one instance at a time. The second call covers the round trip to the peer.
constexpr std::size_t k_short_calls_per_instance = 2;
// A peer's reply is overdue after twice the expected time of all calls sent to the peer plus this
// slack. A repeated call costs the service the time of the first call as well, so a slow peer is
// given this long.
constexpr std::chrono::milliseconds k_overdue_slack{1500};
// A peer whose reply was overdue gets no calls for this time.
constexpr std::chrono::seconds k_avoid_time{2};
} // namespace

advice_pool::advice_pool(common::timekeeper& time, common::call_numbers& numbers,
                         advice_queue& own_queue, sender send)
    : m_time(time), m_numbers(numbers), m_own_queue(own_queue), m_send(std::move(send))
{
  m_instances.push_back({});
}

std::size_t advice_pool::reserved_for_short() const
{
  if (m_instances.size() == 1)
    return 0;
  return std::max<std::size_t>(1, m_instances.size() * k_short_share_percent / 100);
}

scheduling::advice_slots advice_pool::slots(common::time_point now) const
{
  scheduling::advice_slots free{0, 0};
  for (std::size_t i = 0; i < m_instances.size(); ++i)
  {
    if (m_instances[i].avoid_until > now)
      continue;
    free.long_calls += i >= reserved_for_short() ? 1 : 0;
    free.short_calls +=
        i < reserved_for_short() || m_instances.size() == 1 ? k_short_calls_per_instance : 0;
  }
  return {std::max<std::size_t>(1, free.short_calls), std::max<std::size_t>(1, free.long_calls)};
}

advice_pool::instance& advice_pool::choose_instance(std::chrono::milliseconds expected)
{
  const common::time_point now = m_time.now();
  const std::size_t first =
      expected >= scheduling::k_long_advice_threshold ? reserved_for_short() : 0;
  instance* best = nullptr;
  for (std::size_t i = first; i < m_instances.size(); ++i)
  {
    instance& each = m_instances[i];
    if (each.avoid_until > now)
      continue;
    if (best == nullptr ||
        std::tie(each.backlog, each.preference) < std::tie(best->backlog, best->preference))
      best = &each;
  }
  return best == nullptr ? m_instances.front() : *best;
}

void advice_pool::ask(scheduling::advice_command command, advice_queue::answer_handler done)
{
  instance& chosen = choose_instance(command.expected);
  if (chosen.peer.empty())
  {
    ask_directly(chosen, std::move(command), std::move(done));
    return;
  }
  common::advice_request request;
  request.number = m_numbers.next();
  request.job = command.step.job;
  request.cycle = command.step.cycle;
  request.step = command.step.step;
  request.expected_ms = static_cast<std::uint32_t>(command.expected.count());
  for (const common::worker_id& worker : command.workers)
    request.workers.push_back(worker.value);
  chosen.backlog += command.expected;
  const common::time_point deadline = m_time.now() + 2 * chosen.backlog + k_overdue_slack;
  m_pending[chosen.peer][request.number] = {std::move(command), std::move(done), deadline};
  m_send(chosen.peer, request);
}

void advice_pool::ask_directly(instance& self, scheduling::advice_command command,
                               advice_queue::answer_handler done)
{
  const auto expected = command.expected;
  self.backlog += expected;
  m_own_queue.ask(std::move(command),
                  [this, expected, done = std::move(done)](scheduling::advice_answer answer)
                  {
                    subtract_backlog({}, expected);
                    done(std::move(answer));
                  });
}

void advice_pool::subtract_backlog(const std::string& peer, std::chrono::milliseconds expected)
{
  for (instance& each : m_instances)
  {
    if (each.peer == peer)
      each.backlog = std::max(std::chrono::milliseconds{0}, each.backlog - expected);
  }
}

void advice_pool::peer_linked(const std::string& peer)
{
  const auto known = std::find_if(m_instances.begin(), m_instances.end(),
                                  [&peer](const instance& each) { return each.peer == peer; });
  if (known != m_instances.end())
    return;
  instance added;
  added.peer = peer;
  insert_by_rank(std::move(added));
}

void advice_pool::insert_by_rank(instance each)
{
  if (m_own_name)
  {
    const std::string& name = each.peer.empty() ? *m_own_name : each.peer;
    each.rank = common::stable_hash(name);
    each.preference = common::stable_hash(name, common::stable_hash(*m_own_name));
  }
  const auto behind =
      std::upper_bound(m_instances.begin(), m_instances.end(), each.rank,
                       [](std::uint64_t rank, const instance& other) { return rank < other.rank; });
  m_instances.insert(behind, std::move(each));
}

void advice_pool::share_with_other_owners(const std::string& own_name)
{
  m_own_name = own_name;
  for (instance& each : std::exchange(m_instances, {}))
    insert_by_rank(std::move(each));
}

void advice_pool::peer_unlinked(const std::string& peer)
{
  m_instances.erase(std::remove_if(m_instances.begin(), m_instances.end(),
                                   [&peer](const instance& each)
                                   { return !peer.empty() && each.peer == peer; }),
                    m_instances.end());
  auto orphaned = m_pending.extract(peer);
  if (orphaned.empty())
    return;
  for (auto& [number, each] : orphaned.mapped())
    ask(std::move(each.command), std::move(each.done));
}

void advice_pool::on_request(const std::string& peer, const common::advice_request& request)
{
  scheduling::advice_command command;
  command.step = {request.job, request.cycle, request.step};
  command.expected = std::chrono::milliseconds(request.expected_ms);
  for (const std::string& worker : request.workers)
    command.workers.emplace_back(worker);
  m_own_queue.ask(std::move(command),
                  [this, peer, number = request.number](const scheduling::advice_answer& answer)
                  {
                    common::advice_reply reply;
                    reply.number = number;
                    reply.answered = answer.answered;
                    reply.valid_ms = static_cast<std::uint32_t>(answer.valid.count());
                    for (const scheduling::admission_ticket& each : answer.permitted)
                      reply.permitted.push_back({each.worker.value, each.ticket});
                    m_send(peer, reply);
                  });
}

void advice_pool::on_reply(const std::string& peer, const common::advice_reply& reply)
{
  const auto of_peer = m_pending.find(peer);
  const bool expected = of_peer != m_pending.end() && of_peer->second.contains(reply.number);
  if (!expected)
  {
    // The call was given up before its reply came, or an earlier process made it.
    common::log_process("advice_reply_unexpected", {{"peer", peer}, {"number", reply.number}});
    return;
  }
  auto found = of_peer->second.extract(reply.number);
  pending_request each = std::move(found.mapped());
  subtract_backlog(peer, each.command.expected);
  scheduling::advice_answer answer;
  answer.step = each.command.step;
  answer.asked = each.command.workers;
  answer.answered = reply.answered;
  answer.valid = std::chrono::milliseconds(reply.valid_ms);
  answer.received = m_time.now();
  for (const common::advice_reply::permit& permit : reply.permitted)
    answer.permitted.push_back({common::worker_id(permit.worker), permit.ticket});
  each.done(std::move(answer));
}

void advice_pool::tick(common::time_point now)
{
  std::vector<pending_request> overdue;
  for (auto& [peer, calls] : m_pending)
  {
    for (auto each = calls.begin(); each != calls.end();)
    {
      if (each->second.deadline > now)
      {
        ++each;
        continue;
      }
      subtract_backlog(peer, each->second.command.expected);
      for (instance& slow : m_instances)
      {
        if (slow.peer == peer)
          slow.avoid_until = now + k_avoid_time;
      }
      common::log_process("advice_overdue", {{"peer", peer}});
      overdue.push_back(std::move(each->second));
      each = calls.erase(each);
    }
  }
  for (pending_request& each : overdue)
    ask(std::move(each.command), std::move(each.done));
}
} // namespace yardhill::node
