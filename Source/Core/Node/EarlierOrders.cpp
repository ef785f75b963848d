// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/EarlierOrders.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "Common/EventLog.h"

namespace yardhill::node
{
namespace
{
constexpr std::chrono::milliseconds k_ask_period{250};
} // namespace

earlier_orders::earlier_orders(const common::timekeeper& time, std::string partition,
                               sender send_to_peer)
    : m_time(time), m_partition(std::move(partition)), m_send_to_peer(std::move(send_to_peer))
{
}

void earlier_orders::begin(const owner_watch& watch, std::uint64_t epoch)
{
  m_before.emplace(watch);
  m_instance = watch.seen().version == 0 ? std::string() : watch.instance();
  m_epoch = epoch;
  m_told = watch.seen().row.earlier_orders_end.has_value();
  m_last_asked = {};
  count_again();
}

void earlier_orders::count_again()
{
  const bool any = m_before && m_before->seen().version != 0;
  m_end = any ? m_before->orders_end() : common::time_point{};
  m_end_of_others = any ? m_before->predecessors_end() : common::time_point{};
}

void earlier_orders::tick()
{
  const common::time_point now = m_time.now();
  if (m_instance.empty() || now >= m_end || now - m_last_asked < k_ask_period)
    return;
  m_last_asked = now;
  m_send_to_peer(m_instance, common::previous_requests_query{m_partition, m_epoch});
}

bool earlier_orders::on_reply(const std::string& peer, const common::previous_requests_reply& reply)
{
  if (peer != m_instance || reply.partition != m_partition || reply.epoch != m_epoch)
    return false;
  m_instance.clear();
  // The reply was sent before now, so its latest order is at least that old.
  const common::time_point quiet_since = m_time.now() - std::chrono::milliseconds(reply.quiet_ms);
  const common::time_point end = std::max(quiet_since, m_end_of_others);
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
