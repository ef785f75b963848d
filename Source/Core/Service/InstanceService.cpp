// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Service/InstanceService.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "Common/Hash.h"
#include "Common/JsonLog.h"

namespace yardhill::service
{
namespace
{
constexpr std::chrono::seconds k_list_period{5};
constexpr duration k_mesh_close_timeout = std::chrono::seconds{1};
// Number of instances in each other zone to which this instance keeps a connection.
constexpr std::size_t k_peers_per_other_zone = 2;

instance::instance_identity make_identity(const instance_settings& settings,
                                          const std::string& incarnation)
{
  return {instance_id{settings.name + "@" + incarnation}, settings.zone};
}

peer::hello make_hello(const instance_settings& settings, const instance_id& id)
{
  return {peer::k_protocol_version, id, settings.zone, settings.peer.address, settings.peer.port};
}
} // namespace

instance_service::instance_service(const instance_settings& settings,
                                   const std::string& incarnation)
    : m_settings(settings),
      m_identity(make_identity(settings, incarnation)),
      m_platform(settings.platform, settings.name, settings.core.ownership.store_timeout,
                 m_metrics),
      m_workers(settings.core.ownership.claim_timeout, m_metrics),
      m_loop(m_identity, settings.core, m_metrics,
             [this](std::vector<instance::command> commands) { carry_out(std::move(commands)); }),
      m_mesh(make_hello(settings, m_identity.id), make_mesh_events(), m_metrics),
      m_gateway(m_settings, make_backend(), m_metrics)
{
}

gateway::gateway_backend instance_service::make_backend()
{
  return {[this](instance::event event) { m_loop.deliver(std::move(event)); },
          [this]
          { return m_loop.look([](const auto& core) { return core.ready(event_loop::now()); }); },
          [this] { return status_page(); }, [this] { return configuration(); }};
}

peer::mesh_events instance_service::make_mesh_events()
{
  return {[this](const instance_id& id, const zone_id& zone) {
            m_loop.deliver(instance::peer_linked{id, zone});
          },
          [this](const instance_id& id) { m_loop.deliver(instance::peer_unlinked{id}); },
          [this](const instance_id& id, peer_message message) {
            m_loop.deliver(instance::peer_received{id, std::move(message)});
          },
          [](const std::string& peer, const std::string& why) {
            log_warning({"link", peer, {}, 0, why});
          }};
}

void instance_service::run()
{
  m_loop.start();
  std::vector<platform::listed_instance> configured;
  for (const peer_setting& peer : m_settings.peers)
    configured.push_back({peer.name, peer.zone, peer.where, false});
  dial_listed(configured);
  m_gateway.open();
  log_info({"serve", to_text(m_settings.http), {}, 0, "instance " + m_identity.id.value});
  poll_instances();
  // Answers that are queued for peers are sent before the connections close.
  m_mesh.close(k_mesh_close_timeout);
  m_gateway.close();
  log_info({"stop", {}, {}, 0, "planned stop complete"});
}

void instance_service::stop()
{
  m_loop.deliver(instance::stop_requested{});
}

void instance_service::poll_instances()
{
  std::unique_lock lock(m_stop_lock);
  while (!m_stopped)
  {
    m_platform.list_instances([this](const std::vector<platform::listed_instance>& listed)
                              { dial_listed(listed); });
    m_stopped_changed.wait_for(lock, k_list_period, [this] { return m_stopped; });
  }
}

// The list lags behind the actual state and therefore is only a hint. Dials every listed instance
// of the own zone and a few of each other zone.
void instance_service::dial_listed(const std::vector<platform::listed_instance>& listed)
{
  std::map<zone_id, std::map<std::uint64_t, endpoint>> other_zones;
  for (const platform::listed_instance& entry : listed)
  {
    if (entry.peer.port == 0 || entry.leaving)
      continue;
    if (entry.zone == m_settings.zone)
      m_mesh.dial(entry.peer);
    else
      other_zones[entry.zone].emplace(stable_hash(m_settings.name + to_text(entry.peer)),
                                      entry.peer);
  }
  for (const auto& [zone, candidates] : other_zones)
  {
    std::size_t dialled = 0;
    for (const auto& [score, where] : candidates)
    {
      if (dialled++ < k_peers_per_other_zone)
        m_mesh.dial(where);
    }
  }
}

void instance_service::carry_out(std::vector<instance::command> commands)
{
  for (const instance::command& each : commands)
    std::visit([this](const auto& command) { carry_out_one(command); }, each);
}

void instance_service::carry_out_one(const instance::answer_caller& command)
{
  m_gateway.reply_to_caller(command);
}

void instance_service::carry_out_one(const instance::answer_apply& command)
{
  m_gateway.reply_to_operator(command);
}

void instance_service::carry_out_one(const instance::send_to_peer& command)
{
  m_mesh.send(command.peer, command.message);
}

void instance_service::carry_out_one(const instance::send_claim& command)
{
  const time_point sent_at = event_loop::now();
  m_workers.claim(command.address, command.request,
                  [this, command, sent_at](std::optional<claim_answer> answer)
                  {
                    m_loop.deliver(instance::claim_returned{command.worker, command.request,
                                                            std::move(answer), sent_at});
                  });
}

void instance_service::carry_out_one(const instance::send_start& command)
{
  instance::start_returned returned;
  returned.worker = command.worker;
  for (const start_order& order : command.request.orders)
    returned.attempts.push_back(order.id);
  // The process may have been paused since the core decided, so that the start request is too late.
  if (event_loop::now() > command.not_after)
  {
    returned.result = instance::send_result::unsent;
    m_loop.deliver(std::move(returned));
    return;
  }
  m_workers.start(command.address, command.request,
                  [this, returned](target::start_end end, start_answer answer) mutable
                  {
                    constexpr instance::send_result results[] = {instance::send_result::answered,
                                                                 instance::send_result::unsent,
                                                                 instance::send_result::unclear};
                    returned.result = results[static_cast<std::size_t>(end)];
                    returned.answer = std::move(answer);
                    m_loop.deliver(std::move(returned));
                  });
}

void instance_service::carry_out_one(const instance::send_stop& command)
{
  m_workers.stop(command.address, command.request);
}

void instance_service::carry_out_one(const instance::call_store& command)
{
  const std::uint64_t number = command.call;
  const auto read_done = [this, number](store_read_result result) {
    m_loop.deliver(instance::store_returned{number, std::move(result)});
  };
  if (const auto* read = std::get_if<store_read>(&command.request))
  {
    m_platform.read(*read, read_done);
    return;
  }
  if (const auto* get = std::get_if<object_get>(&command.request))
  {
    m_platform.get(*get, read_done);
    return;
  }
  const auto write_done = [this, number](const store_write_result& result) {
    m_loop.deliver(instance::store_returned{number, result});
  };
  if (const auto* put = std::get_if<object_put>(&command.request))
    m_platform.put(*put, write_done);
  else
    m_platform.write(std::get<store_transaction>(command.request), write_done);
}

void instance_service::carry_out_one(const instance::log_event& command)
{
  const log_line line{command.step, command.peer, command.task, command.term, command.detail};
  if (command.level == instance::log_level::warning)
    log_warning(line);
  else
    log_info(line);
}

void instance_service::carry_out_one(const instance::stop_complete& /*command*/)
{
  {
    const std::lock_guard lock(m_stop_lock);
    m_stopped = true;
  }
  m_stopped_changed.notify_one();
}

std::string instance_service::status_page()
{
  return m_loop.look(
      [this](const auto& core)
      {
        nlohmann::ordered_json page;
        page["instance"] = m_identity.id.value;
        page["zone"] = m_identity.zone.value;
        page["config_version"] = core.config().version();
        page["stopping"] = core.stopping();
        page["partitions"] = nlohmann::ordered_json::array();
        for (const auto& [partition, home] : core.homes())
        {
          page["partitions"].push_back({{"partition", to_text(partition)},
                                        {"phase", ownership::to_text(home.standing().phase())},
                                        {"term", home.standing().known_term()},
                                        {"owner", home.known_owner().value},
                                        {"workers_claimed", home.standing().claimed_workers()},
                                        {"queued", home.scheduler().queued()},
                                        {"active", home.scheduler().active()}});
        }
        page["peers"] = nlohmann::ordered_json::array();
        const time_point now = event_loop::now();
        for (const auto& [id, peer] : core.peers().all())
        {
          page["peers"].push_back({{"instance", id.value},
                                   {"zone", peer.zone.value},
                                   {"alive", core.peers().alive(id, now)},
                                   {"leaving", peer.latest.leaving},
                                   {"config_version", peer.latest.config_version}});
        }
        return page.dump(2) + "\n";
      });
}

std::string instance_service::configuration()
{
  return m_loop.look(
      [](const auto& core)
      {
        const nlohmann::json page{{"version", core.config().version()},
                                  {"document", core.config().document()}};
        return page.dump() + "\n";
      });
}
} // namespace yardhill::service
