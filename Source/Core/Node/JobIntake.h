// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Passes a partition's jobs and their cancellations to the scheduler of the partition's owner. They
// come from three sources: the rows stored at the takeover, the feed of the jobs table, and, sooner
// than by the feed, notices of the instances that stored them. One object exists per ownership.

#include <deque>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Common/PeerMessages.h"
#include "Node/PartitionLoader.h"
#include "Node/TableFeed.h"
#include "Scheduling/JobScheduler.h"

namespace yardhill::node
{
class job_intake
{
public:
  // `token`: the fencing token of the ownership. `changed` is called whenever the scheduler has new
  // work.
  job_intake(common::timekeeper& time, adapter::store_client& feed_store, const store_clock& clock,
             std::string partition, scheduling::fencing_token token, std::function<void()> changed);
  ~job_intake();
  job_intake(const job_intake&) = delete;
  job_intake& operator=(const job_intake&) = delete;

  // Starts passing jobs to `scheduler`. Before this call, cancellations are remembered and new jobs
  // are ignored: the feed brings them later.
  void begin(scheduling::job_scheduler& scheduler, const loaded_partition& loaded);
  // Follows the jobs table from the version up to which begin() was given the rows.
  void follow_feed();

  // Called when the store answers again after an outage.
  void ask_again();

  void job_stored(const jobs::accepted_job& job, adapter::row_version version);
  void job_cancelled(const std::string& id);
  void on_notice(const common::job_notice& notice);
  // All jobs that were stored by this time are known here or have ended.
  common::time_point known_until() const;
  // Whether the feed has delivered the changes made while the rows were read, and still works.
  bool caught_up() const { return m_feed && m_feed->healthy_since(); }

private:
  void add_loaded(const loaded_partition& loaded);
  // Cancels the job if its cancellation came before the job itself.
  void apply_early_cancellation(const std::string& id);
  void on_rows(const std::vector<adapter::row>& rows);
  void reload();

  common::timekeeper& m_time;
  adapter::store_client& m_feed_store;
  const store_clock& m_clock;
  std::string m_partition;
  scheduling::fencing_token m_token;
  std::function<void()> m_on_change;
  scheduling::job_scheduler* m_scheduler = nullptr; // null before begin()
  adapter::row_version m_read_version = 0; // all jobs up to this version are known or have ended
  // known_until() as far as full reads alone establish it, without the feed.
  common::time_point m_complete_until{};
  std::unique_ptr<table_feed> m_feed;
  std::shared_ptr<partition_loader> m_loader;
  std::set<std::string> m_cancelled_early;         // ids of cancelled jobs that are not known here
  std::deque<std::string> m_cancelled_early_order; // the same ids, oldest first
};
} // namespace yardhill::node
