// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The store rows that give each partition a single owner: who the owner is and the number of its
// last commit; also the cell's layout and the owner's claims on workers.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Common/Error.h"
#include "Common/InstanceSettings.h"
#include "Common/Time.h"
#include "Node/StoreClock.h"
#include "Scheduling/SchedulerMessages.h"
#include "platform/StoreClient.h"

namespace yardhill::node
{
// Tables that only yardhill's instances use. The rows of a partition are in the part that has the
// partition's name.
inline constexpr const char* k_owners_table = "owners";
inline constexpr const char* k_owner_key = "owner";
// Name of the partition of a cell that has only one.
inline constexpr const char* k_whole_cell = "cell";
// Key of the row that says into how many partitions the cell is divided. It is in the same part as
// the owner of the whole cell, so that one read returns both.
inline constexpr const char* k_layout_key = "layout";
inline constexpr const char* k_commits_table = "commits";
inline constexpr const char* k_commit_key = "last";
inline constexpr const char* k_progress_table = "progress";
// One row per worker on which runs may have been started.
inline constexpr const char* k_claims_table = "claims";

struct owner_row
{
  std::string holder;      // an instance's name; empty: the partition was released
  std::string life;        // incarnation of the holder's process
  std::uint64_t epoch = 0; // number of the ownership, counted over all owners of the partition
  std::uint64_t renewal = 0;
  // What other instances may know of the partition: the accepted jobs that have not begun, by
  // queue, and below the processor share that is waited for and that is free, in thousandths of a
  // core.
  std::map<std::string, std::uint64_t> pending;
  // Up to when the jobs counted in `pending` were known; none: of unknown age. An owner that passes
  // on the counts of a previous owner passes this time on with them.
  std::optional<adapter::store_time> counted_at;
  std::int64_t waiting_cpu = 0;
  std::int64_t free_cpu = 0;
  // The largest workers that the owner has seen, by service: instances that own no partition do not
  // follow the workers.
  std::map<std::string, std::vector<common::resources>> largest;
  // The labels of the partition's own workers, so that no job is assigned to a partition where it
  // cannot run.
  std::set<std::string> labels;
  // How long a new job would wait for its first start, by priority; empty unless the owner is
  // overloaded.
  std::map<std::uint32_t, std::chrono::milliseconds> start_waits = {};
  // When the requests of all previous owners to workers have ended; none: unknown.
  std::optional<adapter::store_time> previous_requests_end = std::nullopt;
};

struct layout_row
{
  std::size_t partitions = 1;
};

struct commit_row
{
  std::string life;
  std::uint64_t number = 0;
};

std::string to_row_text(const owner_row& row);
common::result<owner_row> owner_row_from(const std::string& text);
adapter::row_key layout_key();
std::string to_row_text(const layout_row& row);
common::result<layout_row> layout_row_from(const std::string& text);
std::string to_row_text(const commit_row& row);
// The row gives the claim's end on the store's clock; the end is left out while that clock is not
// known.
std::string to_row_text(const scheduling::worker_claim& claim, const store_clock& clock);
common::result<scheduling::worker_claim> worker_claim_from(const std::string& text,
                                                           const store_clock& clock);
std::string to_row_text(const common::endpoint& address);
common::result<common::endpoint> address_from(const std::string& text);
common::result<commit_row> commit_row_from(const std::string& text);

// An owner row as it was last observed.
struct observed_owner
{
  owner_row row;
  adapter::row_version version = 0; // 0: there is no row
  common::time_point changed_at{};  // on this process's clock
};
} // namespace yardhill::node
