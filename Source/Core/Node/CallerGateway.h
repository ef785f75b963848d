// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Serves callers' requests: submits a job, returns its state, cancels it, or counts the pending
// jobs of a queue.

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Http/HttpListener.h"
#include "Jobs/QueueTable.h"
#include "Node/ConfigurationWatch.h"
#include "Node/JobStateQueries.h"
#include "Node/JobStore.h"
#include "Node/KnownCapacities.h"
#include "Node/LayoutManager.h"
#include "Node/PartitionOwner.h"
#include "Node/StartupRequests.h"

namespace yardhill::node
{
class caller_gateway
{
public:
  caller_gateway(common::timekeeper& time, job_store& store, job_state_queries& states,
                 const store_path& path, const jobs::queue_table& queues,
                 const configuration_watch& configuration, const known_capacities& capacities,
                 const layout_manager& layout,
                 const std::vector<std::unique_ptr<partition_owner>>& partitions,
                 common::metrics& counts);

  void handle(http::incoming_request request, http::responder respond);
  // Called when the first configuration, or a later one, is in force.
  void configured() { release_startup_requests(); }
  // Called when the cell's partitions are known.
  void layout_known() { release_startup_requests(); }
  // The timeout of every call that arrives from now on ends at `end` at the latest.
  void set_stop_deadline(common::time_point end) { m_stop_deadline = end; }

private:
  // A partition whose owner has not renewed its row for this long gets no new jobs if another
  // partition can run them, and the load that the row reports is ignored.
  static constexpr std::chrono::milliseconds k_owner_row_max_age{2500};

  // A caller's request while it is processed.
  struct caller_call
  {
    // Copied from the configuration in force at dispatch, which the call may outlive; none before.
    std::optional<jobs::queue_route> route;
    // Of the caller, likewise copied; none on a public queue and without a key.
    std::optional<jobs::workspace> workspace;
    std::string id; // of the job; empty if the request is for the queue itself
    std::string body;
    bool reads = false; // asks for a state or a count, and decides nothing about the job
    std::chrono::milliseconds timeout{0}; // how long the caller waits
    common::time_point received{};
    // A version of the store that is no newer than the request's arrival.
    adapter::row_version known_version = 0;
    http::responder respond;
  };

  struct refusal
  {
    unsigned status = 0;
    common::refusal_reason reason = common::refusal_reason::none;
    std::string detail;
    row_evidence evidence = row_evidence::none;
    std::optional<std::chrono::seconds> retry_after = std::nullopt; // none: default_retry_after()
  };

  bool may_serve() const { return m_queues.version != 0 && !m_partitions.empty(); }
  void release_startup_requests();
  // How long a call that has just arrived may take, if its caller waits for `caller_timeout`.
  std::chrono::milliseconds timeout_of(std::chrono::milliseconds caller_timeout) const;
  // Passes the call to the function for the request's verb and path.
  void dispatch(const std::shared_ptr<caller_call>& call, const http::incoming_request& request);
  // Sets the caller's workspace; false if the call was refused for its key.
  bool identify_workspace(const std::shared_ptr<caller_call>& call, http::method verb,
                          const std::string& key);
  // Refuses a call that cannot be answered correctly, as no configuration here is certain to be the
  // one in force.
  void refuse_unconfigured(const caller_call& call, http::method verb, const std::string& reason);
  void submit(const std::shared_ptr<caller_call>& call);
  // Why no task of some step could ever run; none if every step can.
  // What the configuration says of the call's queue and workspace.
  static jobs::acceptance_terms terms_of(const caller_call& call);
  std::optional<std::string> never_runs(const caller_call& call, const jobs::job_spec& spec) const;
  // Refuses the call by `deadline` if the job's owner is overloaded; returns whether it took the
  // call over. If the refusal finds the job stored already, the call is answered as accepted.
  bool refuse_if_overloaded(const std::shared_ptr<caller_call>& call, const jobs::accepted_job& job,
                            common::time_point deadline);
  void on_accepted(const std::shared_ptr<caller_call>& call, const jobs::accepted_job& job,
                   const accept_result& result);
  void reply_with_state(const std::shared_ptr<caller_call>& call);
  // Queries the owners of these partitions, one after the other, until one reports that the job has
  // begun. `so_far`: the state reported by the owners queried before.
  void query_owners(const std::shared_ptr<caller_call>& call, std::vector<std::string> partitions,
                    std::optional<jobs::job_state> so_far);
  // The partition in whose rows the job's state is stored.
  std::string progress_partition(const std::string& job, const std::string& home) const;
  void send_state(const caller_call& call, jobs::job_state state);
  void read_state(const std::shared_ptr<caller_call>& call);
  // For a job whose home is not known here, or of which no state was found there: reads the job's
  // row, then its stored state.
  void read_job_and_state(const std::shared_ptr<caller_call>& call);
  void cancel(const std::shared_ptr<caller_call>& call);
  // Whether the caller may cancel the job, as far as workspaces go.
  static bool may_cancel(const caller_call& call, const jobs::accepted_job& job);
  void on_cancelled(const caller_call& call, const std::string& home, bool stored);
  // Reads the job's row; refuses the call if the store does not answer or there is no such job.
  void with_job(const std::shared_ptr<caller_call>& call,
                std::function<void(const found_job&)> then);
  void reply_with_pending_count(const caller_call& call);
  void refuse(const caller_call& call, const refusal& rejection);

  // The home of a new job: the partition where it should run.
  std::string choose_home(const std::string& job, const jobs::job_spec& spec) const;
  // Whether the partition has a live owner and workers with the labels that the job's steps
  // require.
  bool can_run(const partition_owner& partition, const jobs::job_spec& spec) const;
  partition_owner* partition(const std::string& name) const;
  void remember_home(const std::string& id, const std::string& home);

  common::timekeeper& m_time;
  job_store& m_store;
  job_state_queries& m_states;
  const store_path& m_path;
  const jobs::queue_table& m_queues;
  const configuration_watch& m_configuration;
  const known_capacities& m_capacities;
  const layout_manager& m_layout;
  const std::vector<std::unique_ptr<partition_owner>>& m_partitions;
  common::metrics& m_metrics;
  common::time_point m_started; // of this instance
  startup_requests m_startup_requests;
  std::unordered_map<std::string, std::string> m_homes; // of jobs that were submitted or read here
  // When this process ends, once its stop is planned.
  std::optional<common::time_point> m_stop_deadline;
};
} // namespace yardhill::node
