// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Every time span and bound that the deterministic core works with. Settings files override the
// defaults; docs/SETTINGS.md explains each.

#include <cstddef>
#include <cstdint>

#include "Common/Time.h"

namespace yardhill::common
{
struct ownership_options
{
  duration heartbeat_period = std::chrono::milliseconds{500};
  // A peer that was silent for this long counts as cut.
  duration peer_silence = std::chrono::milliseconds{1800};
  // Workers that the owner claimed this recently speak for a living owner.
  duration owner_silence = std::chrono::milliseconds{2500};
  duration claim_wait = std::chrono::milliseconds{1000};
  duration claim_timeout = std::chrono::milliseconds{2000};
  duration claim_retry = std::chrono::milliseconds{250};
  // Without a majority's confirmation this recent an owner places nothing that others may know.
  duration confirm_window = std::chrono::milliseconds{3000};
  // How long a worker takes starts and renewals on one ticket; a worker's setting, told here.
  duration ticket_life = std::chrono::milliseconds{3000};
  duration task_lease = std::chrono::milliseconds{6000};
  // Clocks of two machines may drift apart by this part over such spans.
  double clock_drift = 0.02;
  duration store_timeout = std::chrono::milliseconds{1000};
  duration store_retry_first = std::chrono::milliseconds{200};
  duration store_retry_most = std::chrono::milliseconds{5000};
  // Writes that come within these times share a transaction. Somebody waits for an acceptance or
  // an intent; nobody does for an end, which the worker remembers until it is written.
  duration urgent_commit_delay = std::chrono::milliseconds{5};
  duration deferred_commit_delay = std::chrono::milliseconds{500};
  // How long the table keeps the record of an ended task.
  duration ended_retention = std::chrono::hours{24};
  // Records that may share a transaction; 1 writes each by itself.
  std::size_t max_records_per_transaction = 100;
  duration probe_duration = std::chrono::milliseconds{400};
  duration config_poll = std::chrono::milliseconds{2000};

  // Until when a worker that cannot be reached may still run what an earlier owner started.
  duration longest_foreign_run() const
  {
    const duration sum = confirm_window + ticket_life + task_lease;
    return sum + std::chrono::duration_cast<duration>(sum * clock_drift);
  }
  // Until when a worker may still run what this owner started, from its last answer on.
  duration longest_own_run() const
  {
    const duration sum = ticket_life + task_lease;
    return sum + std::chrono::duration_cast<duration>(sum * clock_drift);
  }
};

struct scheduling_options
{
  std::size_t max_queued = 20000;            // per partition, all kinds
  std::size_t max_queued_interactive = 2000; // per partition
  std::size_t max_scanned = 64;              // waiting tasks looked at past a blocked one, per pass
  std::size_t max_retained = 20000;          // ended tasks remembered in memory
  std::size_t max_retained_bytes = 4U << 20U;
  duration retention = std::chrono::minutes{10};
  duration retry_first = std::chrono::milliseconds{100};
  duration retry_most = std::chrono::seconds{30};
  double retry_budget = 0.1; // retries per first try, in the long run
  std::uint32_t circuit_failures = 3;
  duration circuit_open = std::chrono::seconds{10};
  duration circuit_open_most = std::chrono::minutes{5};
  duration gang_timeout = std::chrono::seconds{20};
  duration ageing_step = std::chrono::minutes{5}; // each such wait is worth one priority level
  bool learn = true;                              // learned run times in place of the declared ones
  bool preempt = true; // checkpoint batch work for interactive work that finds no room
  bool keep_headroom = true;
};

struct routing_options
{
  std::uint32_t max_hops = 3;
  std::uint32_t max_tries = 4;
  duration no_owner_timeout = std::chrono::milliseconds{4000}; // no owner is known
  duration wait_limit = std::chrono::minutes{10};              // of a waiting caller
  std::size_t max_pending_requests = 20000;
  duration retry_after_delay = std::chrono::seconds{2}; // retry_after where nothing better is known
};

struct core_options
{
  ownership_options ownership;
  scheduling_options scheduling;
  routing_options routing;
};
} // namespace yardhill::common
