// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// What callers ask of an instance: hand a job in, ask for its state, cancel it, count a queue.

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
#include "Node/EarlyCalls.h"
#include "Node/JobStore.h"
#include "Node/LayoutKeeper.h"
#include "Node/PartitionOwner.h"
#include "Node/SeenCapacities.h"
#include "Node/StateDesk.h"

namespace yardhill::node
{
class caller_gateway
{
public:
  caller_gateway(common::timekeeper& time, job_store& store, state_desk& states,
                 const store_path& path, const jobs::queue_table& queues,
                 const configuration_watch& configuration, const seen_capacities& capacities,
                 const layout_keeper& layout,
                 const std::vector<std::unique_ptr<partition_owner>>& partitions,
                 common::metrics& counts);

  void handle(http::incoming_request request, http::responder respond);
  // The first configuration, or a later one, is in force.
  void configured() { release_early(); }
  // The cell's partitions are known.
  void divided() { release_early(); }
  // No call that comes from now on is under way for longer.
  void end_by(common::time_point end) { m_end = end; }

private:
  // A partition whose owner has not renewed its row for this long gets no new jobs if another does,
  // and what the row says of its load is not believed.
  static constexpr std::chrono::milliseconds k_owner_fresh{2500};

  // A request whose queue is known.
  struct call
  {
    // As the configuration had it when the request came, which the call may outlive.
    std::optional<jobs::queue_route> route;
    std::string id; // of the job; empty for the queue itself
    std::string body;
    std::chrono::milliseconds patience{0}; // of the caller
    common::time_point received{};
    adapter::row_version known = 0; // of the store, when the request came
    http::responder respond;
  };

  struct refusal
  {
    unsigned status = 0;
    common::refusal_reason why = common::refusal_reason::none;
    std::string detail;
    row_evidence evidence = row_evidence::none;
    std::optional<std::chrono::seconds> retry_after_delay = std::nullopt; // none: the usual time
  };

  bool may_serve() const { return m_queues.version != 0 && !m_partitions.empty(); }
  void release_early();
  // How long a call that has just come may be under way.
  std::chrono::milliseconds patience_of(const http::incoming_request& request) const;
  // To what the request's verb and path say.
  void dispatch(const std::shared_ptr<call>& what, const http::incoming_request& request);
  // Without a configuration that is certain to be in force nothing true can be said.
  void refuse_unconfigured(const call& what, http::method verb, const std::string& why);
  void submit(const std::shared_ptr<call>& what);
  // Whether the call is refused since the job's owner is overloaded; an answer comes by `deadline`.
  bool shed(const std::shared_ptr<call>& what, const jobs::accepted_job& job,
            common::time_point deadline);
  void on_accepted(const std::shared_ptr<call>& what, const jobs::accepted_job& job,
                   const accept_result& result);
  void show(const std::shared_ptr<call>& what);
  // Asks these owners, one after the other, until one says that the job has begun.
  void show_from_owners(const std::shared_ptr<call>& what, std::vector<std::string> partitions,
                        std::optional<jobs::job_state> so_far);
  // The partition where the job's state is written.
  std::string progress_home(const std::string& job, const std::string& home) const;
  void show_state(const call& what, jobs::job_state state);
  void show_from_store(const std::shared_ptr<call>& what);
  // Of a job that nobody here knows: its row, then what is written of it.
  void show_kept(const std::shared_ptr<call>& what);
  void cancel(const std::shared_ptr<call>& what);
  void on_cancelled(const call& what, const std::string& home, bool kept);
  // Reads the job's row; refuses the call if the store does not answer or there is no such job.
  void with_job(const std::shared_ptr<call>& what, std::function<void(const found_job&)> then);
  void count(const call& what);
  void refuse(const call& what, const refusal& how);

  // Where a new job should run.
  std::string home_for(const std::string& job, const jobs::job_spec& spec) const;
  // Whether the partition has an owner that lives and workers on which all steps fit.
  bool can_run(const partition_owner& partition, const jobs::job_spec& spec) const;
  partition_owner* partition(const std::string& name) const;
  void remember_home(const std::string& id, const std::string& home);

  common::timekeeper& m_time;
  job_store& m_store;
  state_desk& m_states;
  const store_path& m_path;
  const jobs::queue_table& m_queues;
  const configuration_watch& m_configuration;
  const seen_capacities& m_capacities;
  const layout_keeper& m_layout;
  const std::vector<std::unique_ptr<partition_owner>>& m_partitions;
  common::metrics& m_metrics;
  common::time_point m_started; // of this instance
  early_calls m_early;
  std::unordered_map<std::string, std::string> m_homes; // of jobs seen here
  std::optional<common::time_point> m_end;              // of this process, once it is planned
};
} // namespace yardhill::node
