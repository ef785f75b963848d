// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/StateDesk.h"

#include <utility>

namespace yardhill::node
{
namespace
{
// Peers answer in a few milliseconds; after this time the store, which takes 4 ms, is asked.
constexpr std::chrono::milliseconds k_answer_time{150};
} // namespace

state_desk::state_desk(common::timekeeper& time, sender send,
                       const std::vector<std::unique_ptr<partition_owner>>& partitions)
    : m_time(time), m_send(std::move(send)), m_partitions(partitions)
{
}

void state_desk::ask(const partition_owner& partition, const std::string& id, handler done)
{
  const std::string& holder = partition.seen().row.holder;
  if (partition.owns() || !m_reachable.contains(holder))
  {
    done(partition.written_state(id));
    return;
  }
  const std::uint64_t number = ++m_number;
  m_asked[number] = {holder, std::move(done), m_time.now() + k_answer_time};
  m_send(holder, common::job_state_query{number, id});
}

void state_desk::peer_reachable(const std::string& peer)
{
  m_reachable.insert(peer);
}

void state_desk::peer_unreachable(const std::string& peer)
{
  m_reachable.erase(peer);
  for (auto& [number, each] : m_asked)
  {
    if (each.peer == peer)
      each.overdue = common::time_point{};
  }
}

void state_desk::on_question(const std::string& peer, const common::job_state_query& question)
{
  common::job_state_reply reply;
  reply.number = question.number;
  for (const auto& each : m_partitions)
  {
    const auto state = each->written_state(question.id);
    if (!state)
      continue;
    reply.known = true;
    reply.state = static_cast<std::uint8_t>(*state);
  }
  m_send(peer, reply);
}

void state_desk::on_reply(const std::string& peer, const common::job_state_reply& reply)
{
  const auto found = m_asked.find(reply.number);
  if (found == m_asked.end() || found->second.peer != peer)
    return; // given up before
  const handler done = std::move(found->second.done);
  m_asked.erase(found);
  const bool sound =
      reply.known && reply.state <= static_cast<std::uint8_t>(jobs::job_state::cancelled);
  done(sound ? std::optional(static_cast<jobs::job_state>(reply.state)) : std::nullopt);
}

void state_desk::tick(common::time_point now)
{
  std::vector<handler> overdue;
  for (auto each = m_asked.begin(); each != m_asked.end();)
  {
    if (each->second.overdue > now)
    {
      ++each;
      continue;
    }
    overdue.push_back(std::move(each->second.done));
    each = m_asked.erase(each);
  }
  for (const handler& done : overdue)
    done(std::nullopt);
}
} // namespace yardhill::node
