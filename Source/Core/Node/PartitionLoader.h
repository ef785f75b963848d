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
#include "Scheduling/SchedulerMessages.h"
#include "platform/StoreClient.h"

namespace yardhill::node
{
struct loaded_partition
{
  struct kept_job
  {
    jobs::accepted_job job;
    adapter::row_version version = 0;
  };
  std::vector<kept_job> jobs; // of this partition, ended ones left out
  std::map<std::string, jobs::job_progress> progress;
  std::vector<std::string> cancelled;
  std::map<common::worker_id, scheduling::worker_claim> claims;
  adapter::row_version commit_version = 0; // 0: nothing was ever committed
  std::uint64_t commit_number = 0;
  adapter::row_version read_at = 0; // changes of the jobs' table behind this are not in here
};

class partition_loader : public std::enable_shared_from_this<partition_loader>
{
public:
  using loaded_handler = std::function<void(loaded_partition)>;

  partition_loader(common::timekeeper& time, adapter::store_client& store, std::string partition,
                   loaded_handler done);

  // Reads on through failures until everything is there or abandon() is called.
  void start();
  void abandon();

private:
  void read();
  void on_page(const adapter::rows_result& result);
  void take(const adapter::row& row);
  adapter::row_range range() const;

  common::one_shot_timer m_timer;
  adapter::store_client& m_store;
  std::string m_partition;
  loaded_handler m_done;
  loaded_partition m_loaded;
  std::vector<adapter::row_range> m_ranges; // in the order in which they are read
  std::size_t m_at = 0;
  std::string m_first_key;
  bool m_abandoned = false;
};
} // namespace yardhill::node
