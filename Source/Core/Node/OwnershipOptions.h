// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Times and bounds of owning a partition, each with where its figure comes from.

#include <chrono>
#include <cstddef>

#include "Common/Time.h"

namespace yardhill::node
{
struct ownership_options
{
  // The owner's row is renewed this often; pending counts in it may be 2 s old (the platform's
  // bound), and watchers notice a dead owner by it. Renewals ride on commits; what they cost is a
  // feed's answer to each instance.
  common::duration renew_period = std::chrono::milliseconds{500};
  // An owner that has not renewed its row for this long is replaced: the store may be slow.
  common::duration silence = std::chrono::milliseconds{3000};
  // The same once it is silent, or the link to it broken, as well: one renewal missed. Longer than
  // the scheduler's max_renewal_age.
  common::duration silence_unlinked = std::chrono::milliseconds{800};
  // How long an owner goes on giving orders after it asked the store for its latest success. With
  // the leases (7.5 s) it covers an outage of 7 s; a new owner waits for both together where it
  // cannot ask a worker.
  common::duration authority = std::chrono::milliseconds{4500};
  // Commits are at least this far apart, so that ends share them: 25 a second and partition.
  common::duration commit_spacing = std::chrono::milliseconds{40};
  // An owner's cost grows with its workers: 350 of them take 0.36 of a core at the grown sites'
  // load, where most instances have 0.12. An instance leaves a partition to one that may use this
  // many times its processor: for this long when it has no owner, and it gives its own back once
  // such a peer has been there for as long as below. A takeover costs half a second, so a peer that
  // comes and goes is not worth it.
  double much_stronger = 1.5;
  common::duration leave_to_stronger = std::chrono::milliseconds{1500};
  common::duration stronger_steady = std::chrono::milliseconds{1500};
  common::duration retry_pause = std::chrono::milliseconds{200};
  // An owner that reaches the store only through a peer for this long gives its partition back:
  // another instance hears of new jobs at once.
  common::duration relayed_most = std::chrono::milliseconds{700};
  // The rows of an ended job stay this long: twice what callers may ask for it (the platform's
  // status_s), so that a submission repeated late still meets its row.
  common::duration keep_ended = std::chrono::seconds{240};
  // Rows of one commit; the platform takes 100 entries.
  std::size_t most_commit_rows = 90;

  // When an owner whose renewal was seen at `renewed` has surely given its last order: a commit
  // that extends its authority comes less than a renewal period after its latest renewal.
  common::time_point orders_end(common::time_point renewed) const
  {
    return renewed + renew_period + authority;
  }
};
} // namespace yardhill::node
