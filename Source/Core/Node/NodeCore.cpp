// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/NodeCore.h"

#include <algorithm>
#include <set>
#include <utility>

#include "Common/EventLog.h"
#include "platform/OperatorRows.h"
#include "platform/WireNames.h"

namespace yardhill::node
{
namespace
{
// Changes of worker entries within this time are fetched together: workers renew their entries
// periodically, 32 times a second with 48 workers, and each request to the store is priced. A new,
// leaving or vanished worker is noticed this much later.
constexpr std::chrono::milliseconds k_worker_gather_time{400};
// Changes of owner rows within this time are fetched together, which saves one of three requests
// for renewals. Callers are given the counts of an owner's row while the counts are under 1.8 s
// old; with this time and the period of the renewals, they are at most 1.25 s old.
constexpr std::chrono::milliseconds k_owner_gather_time{750};
// Period of the requests for a configuration through a peer, and the timeout of each request.
constexpr std::chrono::milliseconds k_fetch_period{1500};
// Texts from the store are truncated to this many bytes in the log.
constexpr std::size_t k_max_logged_length = 200;

// A row's value may be limited as it is sent, in base64, which is longer by a third.
jobs::row_limits row_limits_for(std::size_t store_row_bytes)
{
  jobs::row_limits limits;
  limits.bytes = std::min(limits.bytes, store_row_bytes / 4 * 3);
  return limits;
}
} // namespace

node_core::node_core(const node_settings& settings, const std::string& incarnation,
                     const node_environment& environment)
    : m_environment(environment),
      m_self{settings.name, incarnation},
      m_call_numbers(incarnation),
      m_status_retention(settings.status_retention),
      m_processor_millis(settings.processor_millis),
      m_peers(environment.time, {settings.name, settings.zone, settings.processor_millis},
              environment.send_to_peer,
              {[this](const std::string& peer) { peer_reachable(peer); },
               [this](const std::string& peer) { peer_unreachable(peer); }}),
      m_store_path(environment.time, m_call_numbers, environment.store, settings.store,
                   adapter::store_probe(), m_peers, environment.send_to_peer),
      m_direct_path(m_store_path),
      m_store_clock(environment.time),
      m_store(m_store_path, environment.metrics, &m_store_clock),
      m_feed_store(m_direct_path, environment.metrics, &m_store_clock),
      m_workers(environment.time, environment.workers, environment.metrics),
      m_advice_client(environment.workers, settings.advice.value_or(common::endpoint{})),
      m_advice_queue(environment.time, m_advice_client),
      m_advice(environment.time, m_call_numbers, m_advice_queue, environment.send_to_peer),
      m_operator_feed(environment.time, m_feed_store, adapter::wire::k_operator_table, {""},
                      {[this](const auto& rows) { on_operator_rows(rows); },
                       [this](const auto& rows) { on_operator_rows(rows); },
                       {},
                       common::duration{0},
                       true}),
      m_configuration(environment.time, m_operator_feed, m_store_path, m_queues,
                      settings.configuration_limit),
      m_layout(environment.time, m_store, settings.partitions),
      m_jobs(environment.time, m_store, m_feed_store, environment.metrics,
             row_limits_for(settings.store_row_bytes)),
      m_states(environment.time, m_call_numbers, environment.send_to_peer, m_partitions),
      m_gateway(environment.time, m_jobs, m_states, m_store_path, m_queues, m_configuration,
                m_capacities, m_layout, m_partitions, environment.metrics),
      m_worker_feed(environment.time, m_feed_store, adapter::wire::k_workers_table, {""},
                    {[this](const auto& rows) { on_worker_rows(rows, true); },
                     [this](const auto& rows) { on_worker_rows(rows, false); },
                     {},
                     k_worker_gather_time,
                     true}),
      m_owner_feed(environment.time, m_feed_store, k_owners_table, {k_whole_cell},
                   {[this](const auto& rows)
                    {
                      on_owner_rows(rows);
                      m_layout.rows_read();
                    },
                    [this](const auto& rows) { on_owner_rows(rows); },
                    {},
                    common::duration{0},
                    true})
{
  m_reported_strength = m_processor_millis;
  m_store_path.set_events(
      {[this] { m_jobs.store_lost(); }, [this] { m_jobs.store_restored(m_peers.count() + 1); }});
}

node_core::~node_core() = default;

void node_core::start()
{
  m_operator_feed.start();
  m_owner_feed.start();
}

void node_core::tick()
{
  const common::time_point now = m_environment.time.now();
  m_loop.record_tick(m_next_tick_due.value_or(now), now);
  m_next_tick_due = now + k_tick_period;
  if (m_store_path.direct_restored_at() > m_feeds_restarted_at)
    restart_feed_requests();
  const auto healthy = m_owner_feed.loaded() ? m_owner_feed.healthy_since() : std::nullopt;
  decide_layout();
  reread_owners();
  for (const auto& each : m_partitions)
    each->tick(now, healthy);
  follow_workers();
  if (shared_millis(owned()) != m_reported_strength)
    report_strength();
  pace_owner_feed();
  fetch_configuration();
  m_environment.metrics.set(common::gauge::partitions_owned, owns_any() ? 1 : 0);
  m_advice.tick(now);
  m_store_path.set_callers_waiting(m_jobs.submissions_waiting());
  m_store_path.tick(now);
  m_states.tick(now);
  m_peers.tick(now, owns_any(), m_store_path.in_doubt());
}

void node_core::follow_workers()
{
  const bool wanted = m_layout.needs_worker_count() ||
                      std::any_of(m_partitions.begin(), m_partitions.end(),
                                  [](const auto& each) { return each->needs_worker_entries(); });
  if (wanted == m_follows_workers)
    return;
  m_follows_workers = wanted;
  if (wanted)
  {
    m_worker_feed.start();
    return;
  }
  m_worker_feed.pause();
  m_worker_entries.clear();
  m_invalid_workers.clear();
}

void node_core::pace_owner_feed()
{
  const ownership_options options;
  const bool stronger_peer_exists =
      m_peers.strongest() > options.stronger_peer_factor * static_cast<double>(m_processor_millis);
  m_owner_feed.set_batch_window(stronger_peer_exists ? k_owner_gather_time : common::duration{0});
}

void node_core::restart_feed_requests()
{
  m_feeds_restarted_at = m_store_path.direct_restored_at();
  m_operator_feed.ask_again();
  m_worker_feed.ask_again();
  m_owner_feed.ask_again();
  for (const auto& each : m_partitions)
    each->on_store_reachable();
}

void node_core::handle(http::incoming_request request, http::responder respond)
{
  m_gateway.handle(std::move(request), std::move(respond));
}

bool node_core::ready() const
{
  if (m_stopping || m_queues.version == 0 || m_partitions.empty() || m_store_path.isolated() ||
      m_configuration.may_be_outdated())
    return false;
  // While no instance reaches the store, other instances serve callers no better.
  return m_operator_feed.healthy_since().has_value() || !m_peers.relay_peer();
}

void node_core::peer_linked(const std::string& peer, const std::string& zone)
{
  common::log_process("peer_linked", {{"peer", peer}, {"zone", zone}});
  m_peers.linked(peer, zone);
  m_linked.insert(peer);
  m_environment.send_to_peer(peer, common::processor_capacity_report{shared_millis(owned())});
}

void node_core::peer_unlinked(const std::string& peer)
{
  common::log_process("peer_unlinked", {{"peer", peer}});
  m_linked.erase(peer);
  m_peers.unlinked(peer);
}

void node_core::peer_reachable(const std::string& peer)
{
  m_advice.peer_linked(peer);
  m_states.peer_reachable(peer);
  for (const auto& each : m_partitions)
    each->peer_link_changed(peer, true);
}

void node_core::peer_unreachable(const std::string& peer)
{
  m_advice.peer_unlinked(peer);
  m_store_path.peer_unreachable(peer);
  m_states.peer_unreachable(peer);
  for (const auto& each : m_partitions)
    each->peer_link_changed(peer, false);
}

void node_core::peer_received(const std::string& peer, const common::peer_message& message)
{
  m_peers.heard(peer);
  if (const auto* query = std::get_if<common::store_reachability_query>(&message))
    m_peers.on_query(peer, *query, {!m_store_path.in_doubt(), m_configuration.newest()});
  else if (const auto* report = std::get_if<common::store_reachability_report>(&message))
    on_way_report(peer, *report);
  else if (const auto* strength = std::get_if<common::processor_capacity_report>(&message))
    m_peers.on_strength(peer, *strength);
  else if (const auto* request = std::get_if<common::advice_request>(&message))
    m_advice.on_request(peer, *request);
  else if (const auto* reply = std::get_if<common::advice_reply>(&message))
    m_advice.on_reply(peer, *reply);
  else if (const auto* call = std::get_if<common::relay_request>(&message))
    m_store_path.on_request(peer, *call);
  else if (const auto* answer = std::get_if<common::relay_reply>(&message))
    m_store_path.on_reply(peer, *answer);
  else if (const auto* state = std::get_if<common::job_state_query>(&message))
    m_states.on_query(peer, *state);
  else if (const auto* known = std::get_if<common::job_state_reply>(&message))
    m_states.on_reply(peer, *known);
  else if (const auto* orders_query = std::get_if<common::previous_requests_query>(&message))
  {
    for (const auto& each : m_partitions)
      each->on_orders_query(peer, *orders_query);
  }
  else if (const auto* orders_ended = std::get_if<common::previous_requests_reply>(&message))
  {
    for (const auto& each : m_partitions)
      each->on_orders_reply(peer, *orders_ended);
  }
  else if (const auto* notice = std::get_if<common::job_notice>(&message))
  {
    for (const auto& each : m_partitions)
      each->on_notice(*notice);
  }
}

void node_core::on_way_report(const std::string& peer,
                              const common::store_reachability_report& report)
{
  m_peers.on_report(peer, report);
  m_configuration.on_peer_report(report);
}

void node_core::begin_stop(std::optional<common::duration> time_left)
{
  m_stopping = true;
  if (time_left)
    m_gateway.set_stop_deadline(m_environment.time.now() + *time_left);
  for (const auto& each : m_partitions)
    each->hand_over();
}

bool node_core::handed_over() const
{
  return std::all_of(m_partitions.begin(), m_partitions.end(),
                     [](const auto& each) { return each->handed_over(); });
}

bool node_core::owns_any() const
{
  return std::any_of(m_partitions.begin(), m_partitions.end(),
                     [](const auto& each) { return each->owns(); });
}

void node_core::on_operator_rows(const std::vector<adapter::row>& rows)
{
  for (const adapter::row& row : rows)
  {
    if (row.at.key == adapter::wire::k_config_key && !row.removed)
      apply_configuration(row);
  }
}

void node_core::fetch_configuration()
{
  const common::time_point now = m_environment.time.now();
  if (!m_configuration.peer_has_newer() || m_operator_feed.healthy_since() ||
      now - m_configuration_fetched_at < k_fetch_period)
    return;
  m_configuration_fetched_at = now;
  m_store.read({adapter::wire::k_operator_table, "", adapter::wire::k_config_key, {}, 1},
               k_fetch_period,
               [this](const adapter::rows_result& result) { on_operator_rows(result.rows); });
}

void node_core::apply_configuration(const adapter::row& row)
{
  auto table = adapter::queue_table_from(row.value);
  if (!table)
  {
    common::log_process(
        "row_damaged",
        {{"table", row.at.table}, {"key", row.at.key}, {"error", common::to_text(table.error())}});
    return;
  }
  // A reply that arrives late must not restore an older version.
  if (table->version <= m_queues.version)
    return;
  m_queues = *std::move(table);
  m_gateway.configured();
  m_environment.limits_changed(m_queues.limits);
  m_environment.metrics.add(common::counter::config_changes);
  m_environment.metrics.set(common::gauge::config_version, m_queues.version);
  common::log_process("configuration_in_force", {{"version", m_queues.version},
                                                 {"queues", m_queues.routes.size()},
                                                 {"row_version", row.version}});
  for (const auto& each : m_partitions)
    each->queues_changed();
}

void node_core::on_worker_row(const adapter::row& row)
{
  const std::string& id = row.at.key;
  auto info = adapter::worker_from(id, row.value);
  if (!info)
  {
    invalidate_worker_entry(id, info.error());
    return;
  }
  if (m_invalid_workers.erase(id) > 0)
    common::log_process("worker_entry_valid", {{"worker", id}});
  m_capacities.add(*info);
  m_worker_entries[id] = *info;
  for (const auto& each : m_partitions)
    each->worker_entry(*info);
}

// Logged once per worker, since an invalid entry may be renewed again and again.
void node_core::invalidate_worker_entry(const std::string& id, const common::step_error& error)
{
  m_worker_entries.erase(id);
  if (!m_invalid_workers.insert(id).second)
    return;
  m_environment.metrics.add(common::counter::entries_invalid);
  common::log_process("worker_entry_invalid",
                      {{"table", adapter::wire::k_workers_table},
                       {"key", id.substr(0, k_max_logged_length)},
                       {"error", common::to_text(error).substr(0, k_max_logged_length)}});
  for (const auto& each : m_partitions)
    each->worker_entry_invalid(common::worker_id(id));
}

void node_core::on_worker_rows(const std::vector<adapter::row>& rows, bool all)
{
  std::set<std::string> present;
  for (const adapter::row& row : rows)
  {
    if (row.removed)
    {
      remove_worker(row.at.key);
      continue;
    }
    present.insert(row.at.key);
    on_worker_row(row);
  }
  if (!all)
    return;
  std::vector<std::string> gone;
  for (const auto& [id, info] : m_worker_entries)
  {
    if (!present.contains(id))
      gone.push_back(id);
  }
  std::set_difference(m_invalid_workers.begin(), m_invalid_workers.end(), present.begin(),
                      present.end(), std::back_inserter(gone));
  for (const std::string& id : gone)
    remove_worker(id);
  for (const auto& each : m_partitions)
    each->worker_entries_read();
}

void node_core::remove_worker(const std::string& id)
{
  const bool known = m_worker_entries.erase(id) + m_invalid_workers.erase(id) > 0;
  if (!known)
    return;
  for (const auto& each : m_partitions)
    each->worker_entry_gone(common::worker_id(id));
}

void node_core::on_owner_rows(const std::vector<adapter::row>& rows)
{
  for (const adapter::row& row : rows)
  {
    m_layout.take_in(row);
    if (m_partitions.empty() && m_layout.layout())
      create_partitions();
    for (const auto& each : m_partitions)
    {
      if (each->partition() == row.at.part && row.at.key == k_owner_key && !row.removed)
        each->owner_row_changed(row);
    }
  }
}
} // namespace yardhill::node
