// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/NodeService.h"

#include <algorithm>
#include <csignal>
#include <set>
#include <utility>

#include "Common/EventLog.h"
#include "platform/OperatorRows.h"
#include "platform/WireNames.h"

namespace yardhill::node
{
namespace
{
// Up to some sixty workers are one partition: a queue's policy may permit a step on as few as a
// third of the workers, and of a zone's sixteen that is now and then none.
constexpr const char* k_whole_cell = "cell";
// The steps that no event causes: leases to extend, orders to repeat, silences to notice.
constexpr std::chrono::milliseconds k_tick{25};
// One held call and a few orders at a time; each new connection to a worker is priced.
constexpr std::size_t k_worker_connections = 3;
// Three feeds that wait, commits, and reads and writes for callers.
constexpr std::size_t k_store_connections = 24;
// The platform hands new callers on for two more checks of a second each after a stop begins.
constexpr std::chrono::milliseconds k_least_stop{2300};
// Before the platform kills the process.
constexpr std::chrono::milliseconds k_stop_reserve{700};
} // namespace

node_service::node_service(const node_settings& settings, const std::string& life,
                           std::function<std::optional<node_settings>()> reread)
    : m_settings(settings),
      m_reread(std::move(reread)),
      m_io(1),
      m_worker_http(m_io, {k_worker_connections, 2000, 16U << 20U}),
      m_store_http(m_io, {k_store_connections, 2000, 16U << 20U}),
      m_store_path(m_io, m_store_http, settings.store, adapter::store_probe(),
                   [this](const std::string& peer, const common::peer_message& message)
                   { m_peers->send(peer, message); }),
      m_direct_path(m_store_path),
      m_store(m_store_path, m_metrics),
      m_feed_store(m_direct_path, m_metrics),
      m_workers(m_worker_http, m_metrics),
      m_advice_client(m_worker_http, settings.advice.value_or(common::endpoint{})),
      m_advice_desk(m_advice_client),
      m_advice(m_advice_desk, [this](const std::string& peer, const common::peer_message& message)
               { m_peers->send(peer, message); }),
      m_jobs(m_io, m_store),
      m_gateway(m_jobs, m_queues, m_partitions, m_metrics),
      m_signals(m_io, SIGTERM, SIGINT, SIGHUP),
      m_timer(m_io)
{
  const auto send_to_peer = [this](const std::string& peer, const common::peer_message& message)
  { m_peers->send(peer, message); };
  const node_parts parts{m_io,     m_store,   m_feed_store, m_store_path,     m_workers,
                         m_advice, m_metrics, send_to_peer, m_worker_entries, m_queues};
  m_partitions.push_back(std::make_unique<partition_owner>(
      parts, instance_identity{settings.name, life}, k_whole_cell, ownership_options{}));
}

node_service::~node_service() = default;

void node_service::run()
{
  m_callers.emplace(m_io, m_settings.callers, adapter::wire::k_deadline,
                    [this](http::incoming_request request, http::responder respond)
                    { m_gateway.handle(std::move(request), std::move(respond)); });
  m_ready.emplace(m_io, m_settings.ready, adapter::wire::k_deadline,
                  [this](const http::incoming_request& request, const http::responder& respond)
                  {
                    const bool known = request.target == adapter::wire::k_ready_path;
                    respond({known ? (ready() ? 200U : 503U) : 404U, "", "text/plain", {}});
                  });
  m_metrics_page.emplace(m_io, m_settings.metrics, adapter::wire::k_deadline,
                         [this](const http::incoming_request&, const http::responder& respond) {
                           respond({200, m_metrics.exposition(), "text/plain", {}});
                         });
  common::log_process("started",
                      {{"zone", m_settings.zone}, {"store", common::to_text(m_settings.store)}});
  m_peers.emplace(m_io, m_feed_store, m_settings.name, m_settings.zone, m_settings.peers,
                  on_links(), m_metrics);
  m_peers->start();
  start_feeds();
  wait_for_signal();
  tick();
  m_io.run();
  common::log_process("stopped", {});
}

link_events node_service::on_links()
{
  link_events events;
  events.linked = [this](const std::string& peer)
  {
    common::log_process("peer_linked", {{"peer", peer}});
    m_advice.peer_linked(peer);
    m_store_path.peer_linked(peer);
    for (const auto& each : m_partitions)
      each->peer_link(peer, true);
  };
  events.unlinked = [this](const std::string& peer)
  {
    common::log_process("peer_unlinked", {{"peer", peer}});
    m_advice.peer_unlinked(peer);
    m_store_path.peer_unlinked(peer);
    for (const auto& each : m_partitions)
      each->peer_link(peer, false);
  };
  events.received = [this](const std::string& peer, const common::peer_message& message)
  {
    if (const auto* request = std::get_if<common::advice_request>(&message))
      m_advice.on_request(peer, *request);
    else if (const auto* reply = std::get_if<common::advice_reply>(&message))
      m_advice.on_reply(peer, *reply);
    else if (const auto* call = std::get_if<common::relay_request>(&message))
      m_store_path.on_request(peer, *call);
    else if (const auto* answer = std::get_if<common::relay_reply>(&message))
      m_store_path.on_reply(peer, *answer);
    else if (const auto* notice = std::get_if<common::job_notice>(&message))
    {
      for (const auto& each : m_partitions)
        each->on_notice(*notice);
    }
  };
  return events;
}

void node_service::start_feeds()
{
  const auto rows = [this](const std::vector<adapter::row>& changed) { on_operator_rows(changed); };
  m_operator_feed.emplace(m_io, m_feed_store, adapter::wire::k_operator_table,
                          std::vector<std::string>{""}, feed_handlers{rows, rows, {}});
  m_worker_feed.emplace(
      m_io, m_feed_store, adapter::wire::k_workers_table, std::vector<std::string>{""},
      feed_handlers{[this](const std::vector<adapter::row>& all) { on_worker_rows(all, true); },
                    [this](const std::vector<adapter::row>& some) { on_worker_rows(some, false); },
                    {}});
  const auto owners = [this](const std::vector<adapter::row>& changed) { on_owner_rows(changed); };
  m_owner_feed.emplace(m_io, m_feed_store, k_owners_table, std::vector<std::string>{k_whole_cell},
                       feed_handlers{owners, owners, {}});
  m_operator_feed->start();
  m_worker_feed->start();
  m_owner_feed->start();
}

void node_service::on_operator_rows(const std::vector<adapter::row>& rows)
{
  for (const adapter::row& row : rows)
  {
    if (row.at.key != adapter::wire::k_config_key || row.removed)
      continue;
    auto table = adapter::queue_table_from(row.value);
    if (!table)
    {
      common::log_process("row_damaged", {{"table", row.at.table},
                                          {"key", row.at.key},
                                          {"error", common::to_text(table.error())}});
      continue;
    }
    // A late answer must not bring an older version back.
    if (table->version <= m_queues.version)
      continue;
    m_queues = *std::move(table);
    m_callers->set_limits(m_queues.limits);
    m_metrics.add(common::counter::config_changes);
    m_metrics.set(common::gauge::config_version, m_queues.version);
    common::log_process("configuration_in_force", {{"version", m_queues.version},
                                                   {"queues", m_queues.routes.size()},
                                                   {"row_version", row.version}});
    for (const auto& each : m_partitions)
      each->queues_changed();
  }
}

void node_service::on_worker_rows(const std::vector<adapter::row>& rows, bool all)
{
  std::set<std::string> present;
  for (const adapter::row& row : rows)
  {
    if (row.removed)
    {
      remove_worker(row.at.key);
      continue;
    }
    const auto info = adapter::worker_from(row.at.key, row.value);
    if (!info)
    {
      common::log_process(
          "row_damaged",
          {{"table", row.at.table}, {"key", row.at.key}, {"error", common::to_text(info.error())}});
      continue;
    }
    present.insert(row.at.key);
    m_worker_entries[row.at.key] = *info;
    for (const auto& each : m_partitions)
      each->worker_entry(*info);
  }
  if (!all)
    return;
  std::vector<std::string> gone;
  for (const auto& [id, info] : m_worker_entries)
  {
    if (!present.contains(id))
      gone.push_back(id);
  }
  for (const std::string& id : gone)
    remove_worker(id);
}

void node_service::remove_worker(const std::string& id)
{
  const auto found = m_worker_entries.find(id);
  if (found == m_worker_entries.end())
    return;
  m_worker_http.forget(found->second.address);
  m_worker_entries.erase(found);
  for (const auto& each : m_partitions)
    each->worker_entry_gone(common::worker_id(id));
}

void node_service::on_owner_rows(const std::vector<adapter::row>& rows)
{
  for (const adapter::row& row : rows)
  {
    for (const auto& each : m_partitions)
    {
      if (each->partition() == row.at.part && !row.removed)
        each->owner_row_changed(row);
    }
  }
}

bool node_service::ready() const
{
  if (m_stopping_since || m_queues.version == 0)
    return false;
  const auto healthy = m_operator_feed->healthy_since();
  return healthy.has_value();
}

void node_service::wait_for_signal()
{
  m_signals.async_wait(
      [this](const boost::system::error_code& failed, int signal)
      {
        if (failed)
          return;
        if (signal == SIGHUP)
          reload();
        else
          stop();
        wait_for_signal();
      });
}

void node_service::reload()
{
  const auto settings = m_reread();
  if (!settings)
  {
    common::log_process("reload_failed", {{"kept", "the earlier settings"}});
    return;
  }
  const bool moved = !(settings->callers == m_settings.callers) ||
                     !(settings->store == m_settings.store) || settings->zone != m_settings.zone;
  m_settings.stop_grace = settings->stop_grace;
  m_settings.keep_status = settings->keep_status;
  common::log_process("reloaded", {{"needs_restart", moved}});
}

void node_service::stop()
{
  if (m_stopping_since)
    return;
  m_stopping_since = steady_now();
  common::log_process("stopping", {{"in_flight", m_callers->requests_in_flight()}});
  m_callers->close_after_answers();
  for (const auto& each : m_partitions)
    each->hand_over();
}

bool node_service::stopped(common::time_point now) const
{
  if (!m_stopping_since)
    return false;
  const common::duration since = now - *m_stopping_since;
  if (since >= m_settings.stop_grace - k_stop_reserve)
    return true;
  const bool handed_over = std::all_of(m_partitions.begin(), m_partitions.end(),
                                       [](const auto& each) { return each->handed_over(); });
  return handed_over && since >= k_least_stop && m_callers->requests_in_flight() == 0;
}

void node_service::tick()
{
  const common::time_point now = steady_now();
  if (stopped(now))
  {
    m_io.stop();
    return;
  }
  for (const auto& each : m_partitions)
    each->tick(now, m_owner_feed->loaded() ? m_owner_feed->healthy_since() : std::nullopt);
  m_advice.tick(now);
  m_store_path.tick(now);
  common::flush_event_log();
  m_timer.expires_after(k_tick);
  m_timer.async_wait(
      [this](const boost::system::error_code& ended)
      {
        if (!ended)
          tick();
      });
}
} // namespace yardhill::node
