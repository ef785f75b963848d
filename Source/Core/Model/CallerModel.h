// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Model of the cell's callers: they submit random jobs, retry, cancel, and query the state of all
// jobs at the end.

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>

#include "Http/HttpListener.h"
#include "Model/RunJudge.h"
#include "Model/VirtualTime.h"
#include "Model/WorkspaceModel.h"

namespace yardhill::model
{
// The queues of the cell's configuration, by the prefix of their paths.
inline constexpr const char* k_urgent_prefix = "/u/"; // its tasks need advice
inline constexpr const char* k_plain_prefix = "/p/";
// Its tasks need advice that takes long. Only cells with scarce advice have this queue.
inline constexpr const char* k_scarce_prefix = "/s/";
inline constexpr const char* k_host = "jobs.example";
inline constexpr std::uint32_t k_max_attempts = 3;

class caller_model
{
public:
  // Delivers a request to some instance that is up; returns false if none is. An answer with status
  // 0 means that the connection broke.
  using deliver_function = std::function<bool(http::incoming_request, http::responder)>;

  caller_model(virtual_time& time, std::uint64_t seed, run_judge& judge,
               deliver_function deliver_request);

  // From now on each job belongs to one of the workspaces, and calls bear its keys.
  void set_workspaces(workspace_model& workspaces, std::uint64_t seed);
  // Submits random jobs from now until `end`.
  void submit_jobs_until(time_point end);
  // Submits that number of additional jobs, at random moments within `time`.
  void burst(std::uint64_t jobs, std::chrono::milliseconds time);
  // Number of the queue's jobs that were accepted by that time, have not started and whose
  // cancellation was not requested.
  std::uint64_t waiting(const std::string& prefix, time_point accepted_by) const;
  // Submits one job with that specification to the queue whose tasks may run on any worker. Returns
  // the job's id.
  std::string hand_in(const jobs::job_spec& spec);
  // Submits that number of random jobs, each with one task that crashes the workers it runs on.
  void submit_crashing(std::uint64_t jobs);
  // Submits a job whose first step's first task crashes its worker when `after` has passed since
  // its start. Returns the job's id.
  std::string submit_crashing(const jobs::job_spec& spec, duration after);
  // Time from the task's start until it crashes its worker; none if it does not.
  std::optional<duration> crashes_after(const task_ref& task) const;
  // Submits a job whose long-running tasks should run until the simulation ends.
  void submit_long_running();
  // Submits jobs to the queue with scarce advice: some whose long-running tasks should run until
  // the simulation ends, with a limit per worker, and random other ones from now until `end`.
  void submit_scarce(std::uint64_t seed, time_point end);
  // Whether the job belongs to that queue.
  bool needs_scarce_advice(const std::string& job) const;
  // Queries the state of every job; the answers are passed to the judge.
  void query_all();
  const std::map<std::string, jobs::job_spec>& specs() const { return m_specs; }
  const std::map<std::string, jobs::job_state>& states() const { return m_states; }

private:
  std::string hand_in();
  std::string hand_in(const jobs::job_spec& spec, const char* prefix);
  void submit_limited_long_running(std::uint32_t tasks, std::uint32_t max_tasks_per_worker);
  void submit_scarce_until(time_point end);
  jobs::job_spec random_scarce_spec();
  void set_crash(const std::string& id, std::uint32_t step, std::uint32_t index, duration after);
  jobs::job_spec random_spec();
  void choose_workspace(const std::string& id);
  // The headers of a call for the job.
  std::vector<std::string> headers_of(const std::string& id);
  void submit(const std::string& id, const std::string& body, unsigned tries);
  void on_submitted(const std::string& id, const std::string& body, unsigned tries,
                    unsigned status);
  void submit_again(const std::string& id, const std::string& body, unsigned tries);
  void submit_late(const std::string& id, const std::string& body);
  void cancel(const std::string& id, unsigned tries);
  void on_state(const std::string& id, const http::outgoing_reply& answer);
  std::uint64_t draw(std::uint64_t below) { return m_random() % below; }
  duration draw_time(std::chrono::milliseconds least, std::chrono::milliseconds most);

  virtual_time& m_time;
  std::mt19937_64 m_random;
  run_judge& m_judge;
  deliver_function m_deliver;
  std::map<std::string, jobs::job_spec> m_specs;
  std::map<std::string, std::string> m_prefixes; // by job
  std::map<task_ref, duration> m_crashes;        // time until the task crashes its worker
  // By job: when its caller first received an acceptance.
  std::map<std::string, time_point> m_accepted_at;
  std::map<std::string, jobs::job_state> m_states;
  std::uint64_t m_jobs = 0;
  workspace_model* m_workspaces = nullptr; // null: calls bear no keys
  std::mt19937_64 m_workspace_random;
  std::map<std::string, std::string> m_workspace_of; // by job
  std::mt19937_64 m_scarce_random;
};
} // namespace yardhill::model
