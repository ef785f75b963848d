// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/NodeService.h"

#include <csignal>
#include <utility>

#include "Common/EventLog.h"
#include "Common/ProcessClock.h"
#include "platform/Ingress.h"
#include "platform/WireNames.h"

namespace yardhill::node
{
namespace
{
// One hold that waits for its reply, and a few start and stop requests at a time. Each new
// connection to a worker is priced.
constexpr std::size_t k_worker_connections = 3;
// Three feeds, each with a waiting request, commits, and reads and writes for callers.
constexpr std::size_t k_store_connections = 24;
// Limits for the requests that wait for a connection and for the size of a reply.
constexpr std::size_t k_max_waiting_calls = 2000;
constexpr std::size_t k_max_answer_bytes = 16U << 20U;
// After a stop begins, the platform sends new callers here until it has made two more readiness
// checks, which are 1 s apart.
constexpr std::chrono::milliseconds k_min_stop_time{2300};
// Margin before the platform kills the process at the end of the stop grace.
constexpr std::chrono::milliseconds k_stop_reserve{700};
} // namespace

node_service::node_service(const node_settings& settings, const std::string& incarnation,
                           std::function<std::optional<node_settings>()> reread_settings)
    : m_settings(settings),
      m_reread_settings(std::move(reread_settings)),
      m_io(1),
      m_time(m_io),
      m_worker_http(m_io, {k_worker_connections, k_max_waiting_calls, k_max_answer_bytes}),
      m_store_http(m_io, {k_store_connections, k_max_waiting_calls, k_max_answer_bytes}),
      m_core(settings, incarnation,
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
  m_callers.emplace(m_io, m_settings.callers, adapter::caller_header_names(),
                    [this](http::incoming_request request, http::responder respond)
                    { m_core.handle(std::move(request), std::move(respond)); });
  m_ready.emplace(m_io, m_settings.ready, std::vector<std::string>{},
                  [this](const http::incoming_request& request, const http::responder& respond)
                  {
                    const bool known = request.target == adapter::wire::k_ready_path;
                    respond({known ? (m_core.ready() ? 200U : 503U) : 404U, "", "text/plain", {}});
                  });
  m_metrics_page.emplace(m_io, m_settings.metrics, std::vector<std::string>{},
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
  const auto settings = m_reread_settings();
  if (!settings)
  {
    common::log_process("reload_failed", {{"kept", "the earlier settings"}});
    return;
  }
  const bool needs_restart = !(settings->callers == m_settings.callers) ||
                             !(settings->store == m_settings.store) ||
                             settings->zone != m_settings.zone;
  m_settings.stop_grace = settings->stop_grace;
  m_settings.status_retention = settings->status_retention;
  common::log_process("reloaded", {{"needs_restart", needs_restart}});
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
  const common::duration elapsed = now - *m_stopping_since;
  if (elapsed >= m_settings.stop_grace - k_stop_reserve)
    return true;
  return m_core.handed_over() && elapsed >= k_min_stop_time && m_callers->requests_in_flight() == 0;
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
