// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Observes a run from outside the instances and records the first violation of an invariant.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Common/Ids.h"
#include "Common/Task.h"
#include "Common/Time.h"

namespace yardhill::replay
{
using namespace common;

class run_checker
{
public:
  struct request_record
  {
    task_id task; // known from the key, or from the answer
    task_kind kind = task_kind::batch;
    bool keyed = false;
    bool repeatable = true;
    std::string payload;
    std::size_t bytes = 0;
    std::uint32_t members = 1;
    time_point sent{};
    std::string via;
    std::optional<answer> reply;
    time_point answered{};
    bool instance_lost = false;    // the instance died before it answered
    std::size_t starts_before = 0; // starts of this task before the request was sent
  };

  void sent(std::uint64_t number, request_record request);
  void answered(std::uint64_t number, const answer& reply, time_point now);
  void instance_died(const std::string& name);
  void started(const worker_id& worker, const attempt_id& id, bool repeatable, time_point now);
  void ended(const worker_id& worker, const attempt_id& id, attempt_result result);
  void worker_restarted(const worker_id& worker);
  void overcommitted(const worker_id& worker);
  void record_config_version(const std::string& instance, std::uint64_t incarnation,
                             std::uint64_t version);
  void fail(std::string message);

  bool failed() const { return m_failure.has_value(); }
  const std::string& failure() const { return *m_failure; }
  const std::map<std::uint64_t, request_record>& requests() const { return m_requests; }
  std::size_t starts_of(const task_id& task) const;
  // When a worker first started the task; k_never if none did.
  time_point first_start_of(const task_id& task) const;
  std::size_t running_members(const workload_id& workload) const;
  // Checks that every request was answered and no stored task was lost. Call after all faults were
  // repaired and the cell had time to recover.
  void check_end();
  const std::map<std::pair<std::string, std::uint64_t>, std::uint64_t>& config_versions() const
  {
    return m_config_versions;
  }

private:
  struct run_state
  {
    std::size_t starts = 0;
    time_point first_start = k_never;
    std::size_t done = 0;
    std::map<std::uint32_t, worker_id> running; // by member
    std::size_t open_requests = 0;
    bool only_refused = true; // every answer so far was a refusal
    bool requested = false;   // a request for the task was sent or answered
  };

  void check_result(const request_record& request, const answer& reply);

  std::map<std::uint64_t, request_record> m_requests;
  std::map<task_id, run_state> m_runs;
  std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> m_config_versions;
  std::optional<std::string> m_failure;
};
} // namespace yardhill::replay
