// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// An entry instance as a process: runs the core on its event loop and executes the core's commands
// through the gateway, the peer mesh, the platform client and the worker client.

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <string>

#include "Common/InstanceSettings.h"
#include "Common/Metrics.h"
#include "Gateway/HttpGateway.h"
#include "Peer/PeerMesh.h"
#include "Platform/PlatformClient.h"
#include "Service/EventLoop.h"
#include "Target/WorkerClient.h"

namespace yardhill::service
{
class instance_service
{
public:
  // `incarnation` is part of the instance id, so that the id differs from those of earlier
  // incarnations of an instance of the same name.
  instance_service(const instance_settings& settings, const std::string& incarnation);

  // Serves requests until a planned stop is complete. Blocks until then.
  void run();
  // Begins a planned stop. May be called from any thread.
  void stop();

private:
  void carry_out(std::vector<instance::command> commands);
  void carry_out_one(const instance::answer_caller& command);
  void carry_out_one(const instance::answer_apply& command);
  void carry_out_one(const instance::send_to_peer& command);
  void carry_out_one(const instance::send_claim& command);
  void carry_out_one(const instance::send_start& command);
  void carry_out_one(const instance::send_stop& command);
  void carry_out_one(const instance::call_store& command);
  void carry_out_one(const instance::log_event& command);
  void carry_out_one(const instance::stop_complete& command);

  gateway::gateway_backend make_backend();
  peer::mesh_events make_mesh_events();
  void poll_instances();
  void dial_listed(const std::vector<platform::listed_instance>& listed);
  std::string status_page();
  std::string configuration();

  instance_settings m_settings;
  instance::instance_identity m_identity;
  metrics m_metrics;
  platform::platform_client m_platform;
  target::http_worker_protocol m_workers;
  event_loop m_loop;
  peer::peer_mesh m_mesh;
  gateway::http_gateway m_gateway;
  std::mutex m_stop_lock;
  std::condition_variable m_stopped_changed;
  bool m_stopped = false;
};
} // namespace yardhill::service
