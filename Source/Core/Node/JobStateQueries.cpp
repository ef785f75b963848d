// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/JobStateQueries.h"

#include <utility>

namespace yardhill::node
{
namespace
{
// Peers reply within a few milliseconds. After this time without a reply the store is read, which
// takes 4 ms.
constexpr std::chrono::milliseconds k_reply_timeout{150};
} // namespace

job_state_queries::job_state_queries(
    common::timekeeper& time, common::call_numbers& numbers, sender send,
    const std::vector<std::unique_ptr<partition_owner>>& partitions)
    : m_time(time), m_numbers(numbers), m_send(std::move(send)), m_partitions(partitions)
{
}

void job_state_queries::ask(const partition_owner& partition, const std::string& id, handler done)
{
  const std::string& holder = partition.seen().row.holder;
  if (partition.owns() || !m_reachable.contains(holder))
  {
    done(partition.written_state(id));
    return;
  }
  const std::uint64_t number = m_numbers.next();
  m_pending[number] = {holder, std::move(done), m_time.now() + k_reply_timeout};
  m_send(holder, common::job_state_query{number, id});
}

void job_state_queries::peer_reachable(const std::string& peer)
{
  m_reachable.insert(peer);
}

void job_state_queries::peer_unreachable(const std::string& peer)
{
  m_reachable.erase(peer);
  for (auto& [number, each] : m_pending)
  {
    if (each.peer == peer)
      each.deadline = common::time_point{};
  }
}

void job_state_queries::on_query(const std::string& peer, const common::job_state_query& query)
{
  common::job_state_reply reply;
  reply.number = query.number;
  for (const auto& each : m_partitions)
  {
    const auto state = each->written_state(query.id);
    if (!state)
      continue;
    reply.known = true;
    reply.state = static_cast<std::uint8_t>(*state);
  }
  m_send(peer, reply);
}

void job_state_queries::on_reply(const std::string& peer, const common::job_state_reply& reply)
{
  const auto found = m_pending.find(reply.number);
  if (found == m_pending.end() || found->second.peer != peer)
    return; // the query timed out before its reply came, or an earlier process made it
  const handler done = std::move(found->second.done);
  m_pending.erase(found);
  const bool valid =
      reply.known && reply.state <= static_cast<std::uint8_t>(jobs::job_state::cancelled);
  done(valid ? std::optional(static_cast<jobs::job_state>(reply.state)) : std::nullopt);
}

void job_state_queries::tick(common::time_point now)
{
  std::vector<handler> overdue;
  for (auto each = m_pending.begin(); each != m_pending.end();)
  {
    if (each->second.deadline > now)
    {
      ++each;
      continue;
    }
    overdue.push_back(std::move(each->second.done));
    each = m_pending.erase(each);
  }
  for (const handler& done : overdue)
    done(std::nullopt);
}
} // namespace yardhill::node
