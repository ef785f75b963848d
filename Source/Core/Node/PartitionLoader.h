// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Reads what a partition's new owner needs to know: the last commit, the claims on workers, and
// every job with its progress.

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
  std::vector<stored_job> jobs; // of this partition, without ended jobs
  // Of the ended ones, those of which tasks may still be running, as they are only stopped at the
  // job's end.
  std::vector<jobs::accepted_job> still_stopping;
  // Ended jobs, whose rows can be removed after a while. Refusal marks are not included and stay: a
  // job may replace them.
  std::vector<std::string> ended;
  std::map<std::string, jobs::job_progress> progress;
  // Keys of continuation rows that no job needs any more.
  std::vector<std::string> unneeded_progress;
  std::vector<std::string> cancelled;
  std::map<common::worker_id, scheduling::worker_claim> claims;
  adapter::row_version commit_version = 0; // 0: nothing was ever committed
  std::uint64_t commit_number = 0;
  // Store version of the first read; later changes of the jobs' table may not be included.
  adapter::row_version read_version = 0;
  common::time_point read_began{}; // when reading began; whatever was stored before is included
};

class partition_loader : public std::enable_shared_from_this<partition_loader>
{
public:
  using loaded_handler = std::function<void(loaded_partition)>;

  // `clock` is usually set by the takeover's reply.
  partition_loader(common::timekeeper& time, adapter::store_client& store, const store_clock& clock,
                   std::string partition, loaded_handler done);

  // Repeats failed reads until everything is read or abandon() is called. All ranges but the first
  // are read in parallel, since a slow store takes a quarter of a second for each.
  void start();
  void abandon();

private:
  // Reads one range, page by page.
  struct range_reader
  {
    range_reader(common::timekeeper& time, adapter::row_range to_read);

    adapter::row_range range;
    common::one_shot_timer retry;
    std::chrono::milliseconds delay; // before the next retry
  };

  void add_range(adapter::row_range range);
  void read(range_reader& reader);
  void on_page(range_reader& reader, const adapter::rows_result& result);
  void on_range_read();
  void add_row(const adapter::row& row);
  // What was read, without the jobs that have ended.
  void join_continuations();
  loaded_partition take_result();

  common::timekeeper& m_time;
  adapter::store_client& m_store;
  const store_clock& m_clock;
  std::string m_partition;
  loaded_handler m_done;
  loaded_partition m_loaded;
  std::map<std::string, std::vector<jobs::job_progress>> m_continuations; // by job, in order
  std::vector<std::unique_ptr<range_reader>> m_readers; // the first is read before the others
  std::size_t m_unfinished = 0;                         // ranges that are not completely read
  bool m_abandoned = false;
};
} // namespace yardhill::node
