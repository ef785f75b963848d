// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// What a virtual cell keeps of each instance and worker. Only for its own .cpp files.

#include "Replay/VirtualCell.h"

namespace yardhill::replay
{
inline constexpr duration k_step = std::chrono::milliseconds{1}; // as the event loop rounds timers
inline constexpr const char* k_store = "store";                  // its name in cuts

struct virtual_cell::live_instance
{
  live_instance(const std::string& its_name, std::uint64_t its_life,
                const instance::instance_identity& identity, const cell_options& options,
                metrics& counts, time_point now)
      : name(its_name),
        life(its_life),
        id(identity.id),
        zone(identity.zone),
        core(identity, options.core, *options.policy, counts, now)
  {
  }

  std::string name;
  std::uint64_t life;
  instance_id id;
  zone_id zone;
  instance::instance_core core;
  bool paused = false;
  std::deque<instance::event> waiting;          // while paused
  std::vector<instance::command> about_to_send; // when it was paused
  time_point timer = k_never;
  bool done = false; // its planned stop is complete
};

struct virtual_cell::held_claim
{
  claim_request request;
  std::string from;
  std::uint64_t life;
  time_point sent_at;
  time_point until;
  std::shared_ptr<bool> settled; // the caller has an answer, or stopped waiting for one
};

struct virtual_cell::worker_host
{
  explicit worker_host(const worker_config& config, const ownership_options& options)
      : model(config, options, "boot-0"), name(config.id.value)
  {
  }

  worker_model model;
  std::string name;
  std::vector<held_claim> held;
  bool dead = false;
  std::uint64_t boots = 0;
  time_point planned = k_never;
  std::map<attempt_id, std::size_t> running; // as the checker was told; position in the record
  std::size_t recorded = 0;
};
} // namespace yardhill::replay
