// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/NodeService.h"

#include <csignal>
#include <utility>

#include "Common/EventLog.h"
#include "Common/ProcessClock.h"
#include "platform/WireNames.h"

namespace yardhill::node
{
namespace
{
// One held call and a few orders at a time; each new connection to a worker is priced.
constexpr std::size_t k_worker_connections = 3;
// Three feeds that wait, commits, and reads and writes for callers.
constexpr std::size_t k_store_connections = 24;
// Calls that may wait for a connection, and bytes of an answer.
constexpr std::size_t k_most_waiting = 2000;
constexpr std::size_t k_most_answer = 16U << 20U;
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
      m_time(m_io),
      m_worker_http(m_io, {k_worker_connections, k_most_waiting, k_most_answer}),
      m_store_http(m_io, {k_store_connections, k_most_waiting, k_most_answer}),
      m_core(settings, life,
             {m_time, m_worker_http, m_store_http,
              [this](const std::string& peer, const common::peer_message& message)
              { m_peers->send(peer, message); },
              [this](const http::listener_limits& limits) { m_callers->set_limits(limits); },
              m_metrics}),
      m_report(m_time, m_metrics, m_core.loop(), common::process_cpu_time,
               settings.processor_millis),
      m_signals(m_io, SIGTERM, SIGINT, SIGHUP),
      m_timer(m_time)
{
}

node_service::~node_service() = default;

void node_service::run()
{
  m_callers.emplace(m_io, m_settings.callers, adapter::wire::k_deadline,
                    [this](http::incoming_request request, http::responder respond)
                    { m_core.handle(std::move(request), std::move(respond)); });
  m_ready.emplace(m_io, m_settings.ready, adapter::wire::k_deadline,
                  [this](const http::incoming_request& request, const http::responder& respond)
                  {
                    const bool known = request.target == adapter::wire::k_ready_path;
                    respond({known ? (m_core.ready() ? 200U : 503U) : 404U, "", "text/plain", {}});
                  });
  m_metrics_page.emplace(m_io, m_settings.metrics, adapter::wire::k_deadline,
                         [this](const http::incoming_request&, const http::responder& respond) {
                           respond({200, m_metrics.exposition(), "text/plain", {}});
                         });
  common::log_process("started",
                      {{"zone", m_settings.zone}, {"store", common::to_text(m_settings.store)}});
  m_peers.emplace(m_io, m_time, m_core.feed_store(), m_settings.name, m_settings.zone,
                  m_settings.peers,
                  link_events{[this](const std::string& peer, const std::string& zone)
                              { m_core.peer_linked(peer, zone); },
                              [this](const std::string& peer) { m_core.peer_unlinked(peer); },
                              [this](const std::string& peer, const common::peer_message& message)
                              { m_core.peer_received(peer, message); }},
                  m_metrics);
  m_peers->start();
  m_core.start();
  wait_for_signal();
  tick();
  m_io.run();
  common::log_process("stopped", {});
  common::flush_event_log();
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
  m_stopping_since = m_time.now();
  common::log_process("stopping", {{"in_flight", m_callers->requests_in_flight()}});
  m_callers->close_after_replies();
  m_core.begin_stop(m_settings.stop_grace - k_stop_reserve);
}

bool node_service::stopped(common::time_point now) const
{
  if (!m_stopping_since)
    return false;
  const common::duration since = now - *m_stopping_since;
  if (since >= m_settings.stop_grace - k_stop_reserve)
    return true;
  return m_core.handed_over() && since >= k_least_stop && m_callers->requests_in_flight() == 0;
}

void node_service::tick()
{
  if (stopped(m_time.now()))
  {
    m_io.stop();
    return;
  }
  m_core.tick();
  m_report.tick();
  common::flush_event_log();
  m_timer.start(node_core::k_tick_period, [this] { tick(); });
}
} // namespace yardhill::node
