// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The state that a virtual cell keeps for each instance and worker. Only for VirtualCell*.cpp.

#include "Replay/VirtualCell.h"

namespace yardhill::replay
{
inline constexpr duration k_timer_resolution =
    std::chrono::milliseconds{1}; // the event loop rounds timers to it
inline constexpr const char* k_store =
    "store"; // the name of the table service in `cut` and `heal` actions

struct virtual_cell::live_instance
{
  live_instance(const std::string& its_name, std::uint64_t its_incarnation,
                const instance::instance_identity& identity, const cell_options& options,
                metrics& counts, time_point now)
      : name(its_name),
        incarnation(its_incarnation),
        id(identity.id),
        zone(identity.zone),
        core(identity, options.core, *options.policy, counts, now)
  {
  }

  std::string name;
  std::uint64_t incarnation;
  instance_id id;
  zone_id zone;
  instance::instance_core core;
  bool paused = false;
  std::deque<instance::event> queued_events;      // received while paused
  std::vector<instance::command> unsent_commands; // held back while paused
  time_point timer = k_never;
  bool done = false; // the planned stop is complete
};

struct virtual_cell::held_claim
{
  claim_request request;
  std::string from;
  std::uint64_t incarnation;
  time_point sent_at;
  time_point until;
  std::shared_ptr<bool> settled; // the instance has the reply, or its call timed out
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
  time_point next_wakeup = k_never;
  std::map<attempt_id, std::size_t>
      running; // as reported to the checker; the value is the position in the record
  std::size_t recorded = 0;
};
} // namespace yardhill::replay
