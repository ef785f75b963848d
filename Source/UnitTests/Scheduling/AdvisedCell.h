// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// A scheduler in virtual time with workers that run what they are sent, and an advice service whose
// replies take as long as the queue's policy says.

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "Scheduling/SchedulerHarness.h"

namespace yardhill::scheduling
{
class advised_cell : public scheduler_harness
{
public:
  static constexpr const char* k_long_calls = "long calls";   // a queue whose calls take 560 ms
  static constexpr const char* k_short_calls = "short calls"; // a queue whose calls take 10 ms
  static constexpr const char* k_no_advice = "no advice";     // a queue that needs no advice
  static constexpr const char* k_service = "service";
  static constexpr std::chrono::milliseconds k_tick{20};

  struct advice_call
  {
    step_ref step;
    std::vector<worker_id> workers;
    time_point sent;
  };

  advised_cell();

  // Adds workers whose ids are in alphabetical order, each with its id as its only label.
  void add_workers(int count, std::int64_t cpu_millis = 16000);
  void add_queue(const std::string& name, const jobs::queue_policy& policy);
  // Jobs of these queues may take an hour and are in time.
  static jobs::queue_policy policy_with(std::optional<jobs::queue_policy::advice_policy> advice);
  static jobs::queue_policy::advice_policy long_calls();
  static jobs::queue_policy::advice_policy short_calls();
  static jobs::step_spec long_running_step(std::uint32_t count = 1, std::int64_t cpu_millis = 1000);

  void submit(const std::string& id, const std::string& queue, const jobs::step_spec& step);
  // The same for a job that was accepted so long ago that its objective has passed.
  void submit_late(const std::string& id, const std::string& queue, const jobs::step_spec& step);

  // Plays the given time, or until the condition holds. Returns whether it does.
  bool play_until(const std::function<bool()>& condition, std::chrono::milliseconds limit);
  void play(std::chrono::milliseconds time);

  // The worker begins to drain.
  void drain(const worker_id& worker);
  // The worker reports the end of the run; the scheduler's next pass is that of play().
  void end_run(const start_command& run, run_outcome outcome);

  std::vector<start_command> runs_of(const std::string& job) const;
  std::vector<advice_call> calls_for(const std::string& job) const;

  // The policy of the queues, which permits all workers unless a test sets another one.
  std::function<bool(const std::string& job, const worker_id&)> permits;
  // Whether the replies of the advice service are lost.
  bool replies_lost = false;
  // Called when an advice call is sent, before its reply.
  std::function<void(const advice_call&)> on_call;
  std::vector<advice_call> calls; // all that were sent

private:
  struct pending_call
  {
    advice_command call;
    time_point due;
  };

  void submit_accepted(const std::string& id, const std::string& queue, const jobs::step_spec& step,
                       time_point accepted);
  void advance();
  void carry_out_starts_and_stops();
  void reply_to_due_calls();
  void report_runs(const worker_id& worker, std::vector<listed_end> ends = {});

  std::map<std::string, jobs::queue_policy> m_queues;
  std::map<worker_id, worker_info> m_workers;
  std::map<worker_id, std::vector<start_command>> m_runs;
  std::map<worker_id, end_number> m_ends;
  std::vector<pending_call> m_pending;
};
} // namespace yardhill::scheduling
