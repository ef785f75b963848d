// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// What the jobs of each workspace use of a partition, and whether more of their tasks may start.
//
// Everything that may be running counts: runs whose start or stop has no answer yet, runs on silent
// workers until their leases end, and tasks that an earlier owner may have started on workers not
// heard yet.

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "Common/Time.h"
#include "Jobs/JobSpec.h"
#include "Jobs/Workspaces.h"

namespace yardhill::scheduling
{
using common::resources;

// A workspace's account in one partition.
struct workspace_account
{
  std::string name;
  resources limit;    // this partition's part of the workspace's limit; 0 in a dimension: no limit
  double share = 0.0; // this partition's part of the jobs a second; 0: none is stated
  resources running;  // of all runs that the owner has a record of
  resources unaccounted; // of what may be running without such a record, after a takeover

  bool configured = false; // by the configuration in force
  // Set by any configuration that this owner has seen; until then by the job accepted latest.
  bool ever_configured = false;
  jobs::wall_time limit_of_job_at{}; // when that job was accepted
  // The workspace's limit and weight in all partitions together.
  resources whole_limit;
  double whole_weight = 0.0;

  std::map<std::chrono::seconds, std::uint32_t> jobs_by_second; // of the latest seconds
  // Whether tasks larger than the limit may start here one at a time. The limit may have been
  // lowered below their demand after they were accepted. In one partition only, since several would
  // exceed the limit by several tasks.
  bool single_tasks = false;

  // Counts a job that was accepted at that time. Returns whether the workspace has used up its
  // share of jobs in that second, so that the job has to wait behind those of workspaces that have
  // not.
  bool count_job(common::time_point accepted);
  bool idle() const { return running == resources{} && unaccounted == resources{}; }
  // Whether tasks of this total demand, or a single one, may start.
  bool admits(const resources& demand, bool single_task) const;
  // How many of `most` tasks with this demand may start.
  std::uint32_t admitted(const resources& demand, std::uint32_t most) const;
};

class workspace_usage
{
public:
  // `share`: the partition's part of every limit.
  explicit workspace_usage(const jobs::task_share& share) : m_share(share) {}

  // The account of a workspace. The reference stays valid.
  workspace_account& account(const std::string& name);
  // The account of the job's workspace. If this owner has seen no configuration of the workspace,
  // the limit is the one that was stored with the job.
  workspace_account& account_of(const jobs::accepted_job& job);
  // Sets the limits and weights of the configuration in force. A workspace that the configuration
  // no longer has keeps its last ones for its accepted jobs.
  void configure(const std::map<std::string, jobs::workspace>& workspaces);
  void clear_unaccounted();
  const std::map<std::string, workspace_account>& accounts() const { return m_accounts; }

private:
  void set_limit(workspace_account& account, const resources& limit, double weight) const;
  resources part_of(const resources& limit) const;

  jobs::task_share m_share;
  std::map<std::string, workspace_account> m_accounts;
};
} // namespace yardhill::scheduling
