// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Reads what a partition's new owner has to know: the last commit, every job and how far it is.

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Common/Ids.h"
#include "Common/Timekeeper.h"
#include "Jobs/JobProgress.h"
#include "Jobs/JobSpec.h"
#include "Node/StoreClock.h"
#include "Scheduling/SchedulerMessages.h"
#include "platform/StoreClient.h"

namespace yardhill::node
{
struct loaded_partition
{
  struct stored_job
  {
    jobs::accepted_job job;
    adapter::row_version version = 0;
  };
  std::vector<stored_job> jobs; // of this partition, ended ones left out
  // Their rows can go after a while. Marks of refusals stay: a job may take their place.
  std::vector<std::string> ended;
  std::map<std::string, jobs::job_progress> progress;
  std::vector<std::string> cancelled;
  std::map<common::worker_id, scheduling::worker_claim> claims;
  adapter::row_version commit_version = 0; // 0: nothing was ever committed
  std::uint64_t commit_number = 0;
  adapter::row_version read_version = 0; // changes of the jobs' table behind this are not in here
  common::time_point read_began{};       // when the reading began; what was kept before is in here
};

class partition_loader : public std::enable_shared_from_this<partition_loader>
{
public:
  using loaded_handler = std::function<void(loaded_partition)>;

  // `clock` is known by the takeover's answer, as a rule.
  partition_loader(common::timekeeper& time, adapter::store_client& store, const store_clock& clock,
                   std::string partition, loaded_handler done);

  // Reads on through failures until everything is there or abandon() is called. All ranges but the
  // first are read at once: a slow store takes a quarter of a second for each.
  void start();
  void abandon();

private:
  // One range, page by page.
  struct reading
  {
    reading(common::timekeeper& time, adapter::row_range what);

    adapter::row_range range;
    common::one_shot_timer retry;
    std::chrono::milliseconds delay; // before the next retry
  };

  void add(adapter::row_range range);
  void read(reading& which);
  void on_page(reading& which, const adapter::rows_result& result);
  void on_range_read();
  void take(const adapter::row& row);
  // What was read, without the jobs that have ended.
  loaded_partition loaded();

  common::timekeeper& m_time;
  adapter::store_client& m_store;
  const store_clock& m_clock;
  std::string m_partition;
  loaded_handler m_done;
  loaded_partition m_loaded;
  std::vector<std::unique_ptr<reading>> m_readings; // the first one is read before the others
  std::size_t m_open = 0;                           // readings that are not through
  bool m_abandoned = false;
};
} // namespace yardhill::node
