// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// One partition at this instance: connects its ownership, its stored records and its scheduler.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Common/CellConfig.h"
#include "Decision/PartitionScheduler.h"
#include "Instance/InstanceCommands.h"
#include "Instance/InstanceEvents.h"
#include "Ownership/PartitionOwnership.h"
#include "Ownership/PartitionStore.h"

namespace yardhill::instance
{
struct home_output
{
  std::vector<command> commands; // claims, start and stop requests, log events
  std::vector<decision::caller_reply> replies;
  std::optional<ownership::store_call> store_call;
  bool ownership_gained = false; // this instance has just become the partition's owner
};

class partition_home
{
public:
  partition_home(const partition_id& partition, const instance_id& self,
                 const core_options& options, const decision::placement_policy& policy,
                 metrics& counts, time_point now);

  void configure(const cell_config& cell, time_point now);

  void owner_heard(const instance_id& owner, term_number term, time_point now);
  void peer_unlinked(const instance_id& peer, time_point now)
  {
    m_ownership.peer_unlinked(peer, now);
  }
  void handed_over(term_number term, time_point now);
  void set_rank(std::size_t rank) { m_ownership.set_rank(rank); }

  void submit(const task_spec& spec, bool fresh, const decision::reply_address& from,
              time_point now);
  void cancel(const task_id& id, const decision::reply_address& from, time_point now);
  void status(const task_id& id, const decision::reply_address& from);

  void handle_claim_result(const claim_returned& returned, time_point now);
  void handle_start_result(const start_returned& returned, time_point now);
  void read_answered(const store_read_result& result, time_point now);
  void write_answered(const store_write_result& result, time_point now);

  // Begins a planned stop: the scheduler places no further tasks. The partition is
  // ready_to_hand_over() once no start request is in flight and the store is idle or down.
  void begin_stop();
  bool ready_to_hand_over() const;
  void release_ownership(time_point now);

  void advance(time_point now);
  time_point next_timer() const;
  home_output take_output();

  bool owns() const { return m_ownership.owns(); }
  const partition_id& partition() const { return m_partition; }
  term_number term() const { return m_ownership.term(); }
  const instance_id& known_owner() const { return m_ownership.known_owner(); }
  const ownership::partition_ownership& standing() const { return m_ownership; }
  decision::partition_scheduler& scheduler() { return m_scheduler; }
  const decision::partition_scheduler& scheduler() const { return m_scheduler; }

private:
  bool advance_ownership(time_point now);
  bool advance_store(time_point now);
  bool advance_scheduler(time_point now);
  void begin_ownership(time_point now);
  void end_ownership();
  void send_starts(const std::vector<decision::worker_start>& starts, time_point now);
  void send_stops(const std::vector<decision::worker_stop>& stops);
  void log(log_level level, std::string step, std::string peer, const task_id& task,
           std::string detail);

  partition_id m_partition;
  instance_id m_self;
  ownership_options m_options;
  ownership::partition_ownership m_ownership;
  ownership::partition_store m_store;
  decision::partition_scheduler m_scheduler;
  std::map<worker_id, std::string> m_addresses;
  std::size_t m_starts_in_flight = 0;
  bool m_stopping = false;
  home_output m_output;
};
} // namespace yardhill::instance
