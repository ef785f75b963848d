// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/PeerLinks.h"

#include <utility>

#include <boost/asio/post.hpp>

#include "Common/EventLog.h"
#include "Node/OwnerRow.h"

namespace yardhill::node
{
namespace
{
constexpr std::chrono::milliseconds k_write_timeout{900};
constexpr std::chrono::milliseconds k_retry{500};
} // namespace

peer_links::peer_links(boost::asio::io_context& io, common::timekeeper& time,
                       adapter::store_client& store, const std::string& name,
                       const std::string& zone, const common::endpoint& where, link_events events,
                       common::metrics& counts)
    : m_io(io),
      m_timer(time),
      m_store(store),
      m_name(name),
      m_where(where),
      m_events(std::move(events)),
      m_feed(time, store, k_instances_table, {""},
             {[this](const auto& rows) { on_rows(rows); },
              [this](const auto& rows) { on_rows(rows); },
              {}}),
      m_mesh({peer::k_protocol_version, common::instance_id(name), common::zone_id(zone),
              where.address, where.port},
             // The mesh has a thread of its own.
             {[this](const common::instance_id& id, const common::zone_id& peer_zone) {
                boost::asio::post(m_io, [this, id, peer_zone]
                                  { m_events.linked(id.value, peer_zone.value); });
              },
              [this](const common::instance_id& id)
              { boost::asio::post(m_io, [this, id] { m_events.unlinked(id.value); }); },
              [this](const common::instance_id& id, common::peer_message message)
              {
                boost::asio::post(m_io, [this, id, message = std::move(message)]
                                  { m_events.received(id.value, message); });
              },
              [](const std::string&, const std::string&) {}},
             counts)
{
}

void peer_links::start()
{
  announce();
  m_feed.start();
}

void peer_links::announce()
{
  adapter::transaction change;
  change.puts.push_back({{k_instances_table, "", m_name}, to_row_text(m_where)});
  m_store.transact(change, k_write_timeout,
                   [this](const adapter::transaction_result& result)
                   {
                     if (result.end == adapter::store_outcome::done)
                       return;
                     m_timer.start(k_retry, [this] { announce(); });
                   });
}

void peer_links::on_rows(const std::vector<adapter::row>& rows)
{
  for (const adapter::row& row : rows)
  {
    if (row.removed || row.at.key == m_name)
      continue;
    const auto where = address_from(row.value);
    if (where)
      m_mesh.dial(*where);
    else
      common::log_process("row_damaged", {{"table", k_instances_table},
                                          {"key", row.at.key},
                                          {"error", common::to_text(where.error())}});
  }
}

void peer_links::send(const std::string& peer, const common::peer_message& message)
{
  m_mesh.send(common::instance_id(peer), message);
}
} // namespace yardhill::node
