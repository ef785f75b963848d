// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Brings a partition's jobs and their cancellations to its owner's scheduler: as they were kept at
// the takeover, as the feed of the jobs' table shows them, or sooner, as the instances that kept
// them say. Lives as long as an ownership.

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
  // `token`: of the ownership. `changed` is called when the scheduler has something new to do.
  job_intake(common::timekeeper& time, adapter::store_client& feed_store, const store_clock& clock,
             std::string partition, scheduling::fencing_token token, std::function<void()> changed);
  ~job_intake();
  job_intake(const job_intake&) = delete;
  job_intake& operator=(const job_intake&) = delete;

  // Until the scheduler is there, cancellations are remembered, and jobs left to the feed.
  void begin(scheduling::job_scheduler& scheduler, const loaded_partition& loaded);
  // From the version that begin() was given on.
  void follow_feed();

  // The store is back after a silence.
  void ask_again();

  void job_stored(const jobs::accepted_job& job, adapter::row_version version);
  void job_cancelled(const std::string& id);
  void on_notice(const common::job_notice& notice);
  // All jobs that were kept by then are known, or have ended.
  common::time_point known_until() const;
  // Whether the feed has shown what came while the rows were read, and is still heard.
  bool caught_up() const { return m_feed && m_feed->healthy_since(); }

private:
  void add_loaded(const loaded_partition& loaded);
  // A cancellation that came before its job holds once the job is here.
  void apply_early_cancellation(const std::string& id);
  void on_rows(const std::vector<adapter::row>& rows);
  void read_again();

  common::timekeeper& m_time;
  adapter::store_client& m_feed_store;
  const store_clock& m_clock;
  std::string m_partition;
  scheduling::fencing_token m_token;
  std::function<void()> m_changed;
  scheduling::job_scheduler* m_scheduler = nullptr; // none before begin()
  adapter::row_version m_read_at = 0;               // all jobs up to here are known, or have ended
  common::time_point m_read_until{};                // by readings alone
  std::unique_ptr<table_feed> m_feed;
  std::shared_ptr<partition_loader> m_loader;
  std::set<std::string> m_early; // cancelled jobs that are not known here
  std::deque<std::string> m_early_in_order;
};
} // namespace yardhill::node
