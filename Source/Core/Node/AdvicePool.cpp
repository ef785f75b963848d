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
// Of all instances, this share (in hundredths) is kept free of long calls: long calls make up three
// quarters of the service's time at the sites.
constexpr std::size_t k_short_share = 40;
// Short calls in line at one instance: the second covers the way to a peer and back.
constexpr std::size_t k_short_line = 2;
// An answer from a peer is overdue this long after twice the time of its line. Asking again costs
// the service the first call's time as well, so a slow peer is waited for.
constexpr std::chrono::milliseconds k_overdue_slack{1500};
// A peer whose answer was overdue is not asked for this time.
constexpr std::chrono::seconds k_avoid{2};
} // namespace

advice_pool::advice_pool(common::timekeeper& time, advice_desk& own, sender send)
    : m_time(time), m_own(own), m_send(std::move(send))
{
  m_helpers.push_back({});
}

std::size_t advice_pool::kept_free() const
{
  if (m_helpers.size() == 1)
    return 0;
  return std::max<std::size_t>(1, m_helpers.size() * k_short_share / 100);
}

scheduling::advice_slots advice_pool::slots(common::time_point now) const
{
  scheduling::advice_slots free{0, 0};
  for (std::size_t i = 0; i < m_helpers.size(); ++i)
  {
    if (m_helpers[i].avoid_until > now)
      continue;
    free.long_calls += i >= kept_free() ? 1 : 0;
    free.short_calls += i < kept_free() || m_helpers.size() == 1 ? k_short_line : 0;
  }
  return {std::max<std::size_t>(1, free.short_calls), std::max<std::size_t>(1, free.long_calls)};
}

advice_pool::helper& advice_pool::choose(std::chrono::milliseconds expected)
{
  const common::time_point now = m_time.now();
  const std::size_t first = expected >= scheduling::k_long_advice_threshold ? kept_free() : 0;
  helper* best = nullptr;
  for (std::size_t i = first; i < m_helpers.size(); ++i)
  {
    helper& each = m_helpers[i];
    if (each.avoid_until > now)
      continue;
    if (best == nullptr ||
        std::tie(each.backlog, each.preference) < std::tie(best->backlog, best->preference))
      best = &each;
  }
  return best == nullptr ? m_helpers.front() : *best;
}

void advice_pool::ask(scheduling::advice_command question, advice_desk::answer_handler done)
{
  helper& chosen = choose(question.expected);
  if (chosen.peer.empty())
  {
    ask_own(chosen, std::move(question), std::move(done));
    return;
  }
  common::advice_request request;
  request.number = ++m_number;
  request.job = question.step.job;
  request.cycle = question.step.cycle;
  request.step = question.step.step;
  request.expected_ms = static_cast<std::uint32_t>(question.expected.count());
  for (const common::worker_id& worker : question.workers)
    request.workers.push_back(worker.value);
  chosen.backlog += question.expected;
  const common::time_point overdue = m_time.now() + 2 * chosen.backlog + k_overdue_slack;
  m_asked[chosen.peer][request.number] = {std::move(question), std::move(done), overdue};
  m_send(chosen.peer, request);
}

void advice_pool::ask_own(helper& self, scheduling::advice_command question,
                          advice_desk::answer_handler done)
{
  const auto expected = question.expected;
  self.backlog += expected;
  m_own.ask(std::move(question),
            [this, expected, done = std::move(done)](scheduling::advice_answer answer)
            {
              settle({}, expected);
              done(std::move(answer));
            });
}

void advice_pool::settle(const std::string& peer, std::chrono::milliseconds expected)
{
  for (helper& each : m_helpers)
  {
    if (each.peer == peer)
      each.backlog = std::max(std::chrono::milliseconds{0}, each.backlog - expected);
  }
}

void advice_pool::peer_linked(const std::string& peer)
{
  const auto known = std::find_if(m_helpers.begin(), m_helpers.end(),
                                  [&peer](const helper& each) { return each.peer == peer; });
  if (known != m_helpers.end())
    return;
  helper added;
  added.peer = peer;
  place(std::move(added));
}

void advice_pool::place(helper each)
{
  if (m_own_name)
  {
    const std::string& name = each.peer.empty() ? *m_own_name : each.peer;
    each.rank = common::stable_hash(name);
    each.preference = common::stable_hash(name, common::stable_hash(*m_own_name));
  }
  const auto behind =
      std::upper_bound(m_helpers.begin(), m_helpers.end(), each.rank,
                       [](std::uint64_t rank, const helper& other) { return rank < other.rank; });
  m_helpers.insert(behind, std::move(each));
}

void advice_pool::share_with_other_owners(const std::string& own_name)
{
  m_own_name = own_name;
  for (helper& each : std::exchange(m_helpers, {}))
    place(std::move(each));
}

void advice_pool::peer_unlinked(const std::string& peer)
{
  m_helpers.erase(std::remove_if(m_helpers.begin(), m_helpers.end(),
                                 [&peer](const helper& each)
                                 { return !peer.empty() && each.peer == peer; }),
                  m_helpers.end());
  auto orphaned = m_asked.extract(peer);
  if (orphaned.empty())
    return;
  for (auto& [number, each] : orphaned.mapped())
    ask(std::move(each.question), std::move(each.done));
}

void advice_pool::on_request(const std::string& peer, const common::advice_request& request)
{
  scheduling::advice_command question;
  question.step = {request.job, request.cycle, request.step};
  question.expected = std::chrono::milliseconds(request.expected_ms);
  for (const std::string& worker : request.workers)
    question.workers.emplace_back(worker);
  m_own.ask(std::move(question),
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
  const auto asked = m_asked.find(peer);
  if (asked == m_asked.end())
    return;
  auto found = asked->second.extract(reply.number);
  if (found.empty())
    return; // given up before
  outstanding each = std::move(found.mapped());
  settle(peer, each.question.expected);
  scheduling::advice_answer answer;
  answer.step = each.question.step;
  answer.asked = each.question.workers;
  answer.answered = reply.answered;
  answer.valid = std::chrono::milliseconds(reply.valid_ms);
  answer.received = m_time.now();
  for (const common::advice_reply::permit& permit : reply.permitted)
    answer.permitted.push_back({common::worker_id(permit.worker), permit.ticket});
  each.done(std::move(answer));
}

void advice_pool::tick(common::time_point now)
{
  std::vector<outstanding> overdue;
  for (auto& [peer, calls] : m_asked)
  {
    for (auto each = calls.begin(); each != calls.end();)
    {
      if (each->second.overdue > now)
      {
        ++each;
        continue;
      }
      settle(peer, each->second.question.expected);
      for (helper& slow : m_helpers)
      {
        if (slow.peer == peer)
          slow.avoid_until = now + k_avoid;
      }
      common::log_process("advice_overdue", {{"peer", peer}});
      overdue.push_back(std::move(each->second));
      each = calls.erase(each);
    }
  }
  for (outstanding& each : overdue)
    ask(std::move(each.question), std::move(each.done));
}
} // namespace yardhill::node
