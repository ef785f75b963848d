// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Sends planned jobs to running instances as real callers do: submits each job, retries at another
// instance after a refusal or without an answer, queries the state until the job has ended, and
// cancels long-running jobs.

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Common/Timekeeper.h"
#include "Load/LoadPlan.h"
#include "platform/CallerClient.h"

namespace yardhill::load
{
// The result of one planned job. All times count from the start of the load.
struct played_job
{
  const planned_job* planned = nullptr;
  unsigned tries = 0; // submissions, without those counted in `unreached`
  unsigned refusals = 0;
  unsigned unanswered = 0;
  // Submissions for which no connection could be made; not counted in `tries`.
  unsigned unreached = 0;
  std::optional<common::duration> accepted;
  // When the state was first reported as something other than queued.
  std::optional<common::duration> started;
  std::optional<common::duration> ended;
  std::optional<jobs::job_state> state; // latest reported state
  std::string detail;                   // of the latest refusal or missing answer
  bool finished = false;
};

struct caller_options
{
  // Timeout of a call and number of retries after the first try, as the callers of the sites use
  // them.
  common::duration call_timeout = std::chrono::seconds{3};
  unsigned retries = 4;
  // How often a job may be submitted again at once, without a pause, after a failed connection.
  // This imitates the platform, which passes a caller on to another instance if one does not accept
  // it.
  unsigned max_unreached = 20;
  common::duration retry_pause = std::chrono::seconds{1};
  // Interval between the state queries for a job. It limits the resolution of the measured times.
  common::duration state_query_period = std::chrono::milliseconds{100};
  // Jobs that have not ended this long after the last planned submission are abandoned.
  common::duration settle_timeout = std::chrono::seconds{60};
};

class load_runner
{
public:
  load_runner(common::timekeeper& time, adapter::caller_client& caller, const load_profile& profile,
              std::vector<common::endpoint> instances, const caller_options& options);

  // Starts the load. `done` is called once every job is finished or abandoned. `plan` must outlive
  // the runner.
  void play(const std::vector<planned_job>& plan, std::function<void()> done);
  const std::vector<played_job>& jobs() const { return m_jobs; }

private:
  void submit(played_job& job);
  void handle_submit_reply(played_job& job, const adapter::caller_answer& answer);
  void query_state(played_job& job);
  void handle_state_reply(played_job& job, const adapter::caller_answer& answer);
  void schedule_state_query(played_job& job);
  // Cancels a long-running job; called once the last job of the plan is due.
  void cancel(played_job& job);
  void finish_job(played_job& job);
  void abandon_unfinished_jobs();
  const adapter::queue_address& queue_of(const played_job& job) const;
  const common::endpoint& next_instance();
  common::duration since_start() const { return m_time.now() - m_start; }

  common::timekeeper& m_time;
  adapter::caller_client& m_caller;
  const load_profile& m_profile;
  std::vector<common::endpoint> m_instances;
  caller_options m_options;
  std::vector<played_job> m_jobs;
  std::function<void()> m_done;
  common::time_point m_start{};
  common::duration m_last_submission{}; // planned time of the last job
  std::size_t m_unfinished_jobs = 0;
  std::size_t m_next_instance = 0;
};
} // namespace yardhill::load
