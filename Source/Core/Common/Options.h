// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The time spans and limits of the deterministic core. Settings files override the defaults;
// docs/SETTINGS.md explains each.

#include <cstddef>
#include <cstdint>

#include "Common/Time.h"

namespace yardhill::common
{
struct ownership_options
{
  duration heartbeat_period = std::chrono::milliseconds{500};
  // A peer that has sent nothing for this long counts as disconnected.
  duration peer_silence = std::chrono::milliseconds{1800};
  // Another instance asks the workers whether the owner is alive once it has heard nothing from the
  // owner for this long.
  duration owner_silence = std::chrono::milliseconds{2500};
  duration claim_wait = std::chrono::milliseconds{1000};
  duration claim_timeout = std::chrono::milliseconds{2000};
  duration claim_retry = std::chrono::milliseconds{250};
  // Without the confirmation of a majority of its workers within this time, an owner starts only
  // tasks that no other owner can know of.
  duration confirm_window = std::chrono::milliseconds{3000};
  // How long a worker accepts starts and lease renewals that quote a ticket. The worker enforces
  // it; the value here must be the worker's.
  duration ticket_life = std::chrono::milliseconds{3000};
  duration task_lease = std::chrono::milliseconds{6000};
  // The clocks of two machines may drift apart by at most this fraction of the times above.
  double clock_drift = 0.02;
  duration store_timeout = std::chrono::milliseconds{1000};
  duration store_retry_first = std::chrono::milliseconds{200};
  duration store_retry_most = std::chrono::milliseconds{5000};
  // Writes that arrive within these times share a transaction. The short time is for acceptances
  // and intents, which somebody waits for. The long one is for ends: nobody waits for those, and
  // the worker remembers an end until it is written.
  duration urgent_commit_delay = std::chrono::milliseconds{5};
  duration deferred_commit_delay = std::chrono::milliseconds{500};
  // How long the table service keeps the record of an ended task.
  duration ended_retention = std::chrono::hours{24};
  // How many records may share a transaction; 1 writes each in a transaction of its own.
  std::size_t max_records_per_transaction = 100;
  duration probe_duration = std::chrono::milliseconds{400};
  duration config_poll = std::chrono::milliseconds{2000};

  // How long an unreachable worker may still run tasks that an earlier owner has started.
  duration longest_foreign_run() const
  {
    const duration sum = confirm_window + ticket_life + task_lease;
    return sum + std::chrono::duration_cast<duration>(sum * clock_drift);
  }
  // How long after its last answer a worker may still run tasks that this owner has started.
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
  std::size_t max_scanned = 64;              // tasks examined behind a blocked one, per pass
  std::size_t max_retained = 20000;          // ended tasks kept in memory
  std::size_t max_retained_bytes = 4U << 20U;
  duration retention = std::chrono::minutes{10};
  duration retry_first = std::chrono::milliseconds{100};
  duration retry_most = std::chrono::seconds{30};
  double retry_budget = 0.1; // retries per first attempt, in the long run
  std::uint32_t circuit_failures = 3;
  duration circuit_open = std::chrono::seconds{10};
  duration circuit_open_most = std::chrono::minutes{5};
  duration gang_timeout = std::chrono::seconds{20};
  // A waiting task gains one priority level each time it has waited this long.
  duration ageing_step = std::chrono::minutes{5};
  bool learn = true; // use measured run times in place of the declared ones
  // Checkpoint batch tasks when an interactive task finds no free capacity.
  bool preempt = true;
  bool keep_headroom = true;
};

struct routing_options
{
  std::uint32_t max_hops = 3;
  std::uint32_t max_tries = 4;
  // How long a request waits for its partition to get an owner.
  duration no_owner_timeout = std::chrono::milliseconds{4000};
  duration wait_limit = std::chrono::minutes{10}; // how long a caller may wait for a result
  std::size_t max_pending_requests = 20000;
  // The retry_after of a reply if no better estimate is known.
  duration retry_after_delay = std::chrono::seconds{2};
};

struct core_options
{
  ownership_options ownership;
  scheduling_options scheduling;
  routing_options routing;
};
} // namespace yardhill::common
