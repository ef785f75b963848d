// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/PreviousOwnerRequests.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "Common/EventLog.h"

namespace yardhill::node
{
namespace
{
constexpr std::chrono::milliseconds k_query_period{250};
} // namespace

previous_owner_requests::previous_owner_requests(const common::timekeeper& time,
                                                 std::string partition, sender send_to_peer)
    : m_time(time), m_partition(std::move(partition)), m_send_to_peer(std::move(send_to_peer))
{
}

void previous_owner_requests::begin(const owner_watch& watch, std::uint64_t epoch)
{
  m_watch.emplace(watch);
  m_instance = watch.observed().version == 0 ? std::string() : watch.instance();
  m_epoch = epoch;
  m_previous_end_reported = watch.observed().row.previous_requests_end.has_value();
  m_last_query = {};
  recompute_end();
}

void previous_owner_requests::recompute_end()
{
  const bool any = m_watch && m_watch->observed().version != 0;
  m_end = any ? m_watch->requests_end() : common::time_point{};
  m_earlier_owners_end = any ? m_watch->predecessors_requests_end() : common::time_point{};
}

void previous_owner_requests::tick()
{
  const common::time_point now = m_time.now();
  if (m_instance.empty() || now >= m_end || now - m_last_query < k_query_period)
    return;
  m_last_query = now;
  m_send_to_peer(m_instance, common::previous_requests_query{m_partition, m_epoch});
}

bool previous_owner_requests::on_reply(const std::string& peer,
                                       const common::previous_requests_reply& reply)
{
  if (peer != m_instance || reply.partition != m_partition || reply.epoch != m_epoch)
    return false;
  m_instance.clear();
  // The reply was sent before now, so the peer's latest request to a worker is at least `quiet_ms`
  // old.
  const common::time_point last_request = m_time.now() - std::chrono::milliseconds(reply.quiet_ms);
  const common::time_point end = std::max(last_request, m_earlier_owners_end);
  if (end >= m_end)
    return false;
  common::log_process("earlier_orders_over", {{"partition", m_partition},
                                              {"peer", peer},
                                              {"quiet_ms", reply.quiet_ms},
                                              {"earlier_by_ms", m_end - end}});
  m_end = end;
  return true;
}
} // namespace yardhill::node
