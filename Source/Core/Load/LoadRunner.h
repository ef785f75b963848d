// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Plays planned jobs against running instances as their callers do: hands in, tries elsewhere after
// a refusal or without an answer, asks for the state until the end, cancels what lasts.

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Common/Timekeeper.h"
#include "Load/LoadPlan.h"
#include "platform/CallerClient.h"

namespace yardhill::load
{
// What became of a job, times from the begin of the load.
struct played_job
{
  const planned_job* planned = nullptr;
  unsigned tries = 0; // of handing it in
  unsigned refusals = 0;
  unsigned unanswered = 0;
  unsigned unreached = 0; // tries that met no instance; not counted among them
  std::optional<common::duration> accepted;
  std::optional<common::duration> begun; // first shown as begun or ended
  std::optional<common::duration> ended;
  std::optional<jobs::job_state> state; // shown last
  std::string detail;                   // of the latest refusal or silence
  bool over = false;
};

struct caller_options
{
  // As the sites' callers: they wait this long, and try this often after the first time.
  common::duration patience = std::chrono::seconds{3};
  unsigned retries = 4;
  // In front of the instances, the platform hands a caller on whom one does not take.
  unsigned most_unreached = 20;
  common::duration retry_pause = std::chrono::seconds{1};
  // How often a caller asks for a state: what the measured times are good for.
  common::duration ask_period = std::chrono::milliseconds{100};
  // Jobs that have not ended so long after the last was handed in are left.
  common::duration settle = std::chrono::seconds{60};
};

class load_runner
{
public:
  load_runner(common::timekeeper& time, adapter::caller_client& caller, const load_profile& of,
              std::vector<common::endpoint> instances, const caller_options& options);

  // `done` is called once every job is over, or has been left.
  void play(const std::vector<planned_job>& plan, std::function<void()> done);
  const std::vector<played_job>& jobs() const { return m_jobs; }

private:
  void hand_in(played_job& job);
  void on_handed_in(played_job& job, const adapter::caller_answer& answer);
  void ask(played_job& job);
  void on_state(played_job& job, const adapter::caller_answer& answer);
  void ask_later(played_job& job);
  // Jobs that last are cancelled once nothing more is handed in.
  void cancel(played_job& job);
  void end(played_job& job);
  void leave_rest();
  const adapter::queue_address& queue_of(const played_job& job) const;
  const common::endpoint& next_instance();
  common::duration since_begin() const { return m_time.now() - m_begin; }

  common::timekeeper& m_time;
  adapter::caller_client& m_caller;
  const load_profile& m_yard;
  std::vector<common::endpoint> m_instances;
  caller_options m_options;
  std::vector<played_job> m_jobs;
  std::function<void()> m_done;
  common::time_point m_begin{};
  common::duration m_last{}; // when the last job is handed in
  std::size_t m_open = 0;
  std::size_t m_turn = 0;
};
} // namespace yardhill::load
