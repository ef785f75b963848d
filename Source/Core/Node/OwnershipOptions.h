// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Times and limits of partition ownership, each with the reason for its value.

#include <chrono>
#include <cstddef>

#include "Common/Time.h"
#include "Jobs/ProgressRows.h"

namespace yardhill::node
{
struct ownership_options
{
  // How often the owner's row is renewed. Pending counts in it may be 2 s old (the platform's
  // limit), and watchers detect a dead owner by missing renewals. Renewals are written with
  // commits; their cost is one reply of the feed to each instance.
  common::duration renew_period = std::chrono::milliseconds{500};
  // An owner that has not renewed its row for this long is replaced. The time is that long because
  // the store may be slow.
  common::duration silence = std::chrono::milliseconds{3000};
  // The same if the owner is also silent towards this instance, or the link to it is broken: one
  // renewal was missed. Longer than the scheduler's max_renewal_age.
  common::duration silence_timeout_unlinked = std::chrono::milliseconds{800};
  // How long an owner goes on sending requests to workers, from when it sent its latest successful
  // commit to the store. Together with the leases (7.5 s) this covers a store outage of 7 s; a new
  // owner waits for both together where it cannot ask a worker.
  common::duration authority = std::chrono::milliseconds{4500};
  // Commits are at least this far apart, so that several ends of runs share one: 25 per second and
  // partition.
  common::duration commit_spacing = std::chrono::milliseconds{40};
  // The cost of an owner grows with its workers: 350 of them take 0.36 of a core at the grown
  // sites' load, where most instances have 0.12. An instance gives way to a peer that may use
  // `stronger_peer_factor` times its own processor share: it delays its takeover by
  // `stronger_peer_takeover_delay`, and releases its own partition once such a peer has been
  // present for `stronger_peer_release_delay`. A takeover costs half a second, so giving way to a
  // peer that comes and goes is not worth it.
  double stronger_peer_factor = 1.5;
  common::duration stronger_peer_takeover_delay = std::chrono::milliseconds{1500};
  common::duration stronger_peer_release_delay = std::chrono::milliseconds{1500};
  common::duration retry_pause = std::chrono::milliseconds{200};
  // An owner that reaches the store only through a peer for this long releases its partition:
  // another instance learns of new jobs at once.
  common::duration relayed_release_delay = std::chrono::milliseconds{700};
  // How long the rows of an ended job are retained: twice as long as callers may query it (the
  // platform's status_s), so that a late repetition of its submission still finds the row.
  common::duration ended_job_retention = std::chrono::seconds{240};
  // Maximum number of rows in one commit; the platform accepts 100 entries.
  std::size_t max_commit_rows = 90;
  // Limits of the rows that hold a job's progress.
  jobs::row_limits rows;

  // When an owner whose renewal was observed at `renewed` has certainly sent its last request to a
  // worker: a commit that extends its authority comes less than a renewal period after its latest
  // renewal.
  common::time_point requests_end(common::time_point renewed) const
  {
    return renewed + renew_period + authority;
  }
};
} // namespace yardhill::node
