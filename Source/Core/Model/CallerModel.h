// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Callers of the explored cell: hand in random jobs, try again, cancel, ask in the end.

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>

#include "Http/HttpListener.h"
#include "Model/RunJudge.h"
#include "Model/VirtualTime.h"

namespace yardhill::model
{
// The queues of the cell's configuration, by the prefix of their paths.
inline constexpr const char* k_urgent_prefix = "/u/"; // with advice
inline constexpr const char* k_plain_prefix = "/p/";
inline constexpr const char* k_host = "jobs.example";
inline constexpr std::uint32_t k_max_attempts = 3;

class caller_model
{
public:
  // Brings a request to some instance that is up; false if none is. An answer with status 0 says
  // that the connection broke.
  using carrier = std::function<bool(http::incoming_request, http::responder)>;

  caller_model(virtual_time& time, std::uint64_t seed, run_judge& judge, carrier carry);

  // Jobs come from now on until `end`.
  void submit_jobs_until(time_point end);
  // So many jobs more, spread over that time.
  void burst(std::uint64_t jobs, std::chrono::milliseconds time);
  // Jobs of that queue which were accepted by then and have not begun; nobody has cancelled them.
  std::uint64_t waiting(const std::string& prefix, time_point accepted_by) const;
  // One job of that kind, for a queue whose tasks may run anywhere. Returns its id.
  std::string hand_in(const jobs::job_spec& spec);
  // So many jobs of any kind, one task of each of which crashes its workers.
  void submit_crashing(std::uint64_t jobs);
  // The same of a job of that kind: its first step's first task, so long after its start. Returns
  // its id.
  std::string submit_crashing(const jobs::job_spec& spec, duration after);
  // How long after its start the task crashes its worker, if it does.
  std::optional<duration> crashes_after(const task_ref& task) const;
  // One whose tasks last until the play ends.
  void submit_long_running();
  // Asks for every job; the answers go to the judge.
  void ask_all();
  const std::map<std::string, jobs::job_spec>& specs() const { return m_specs; }
  const std::map<std::string, jobs::job_state>& states() const { return m_states; }

private:
  std::string hand_in();
  void crash_at(const std::string& id, std::uint32_t step, std::uint32_t index, duration after);
  jobs::job_spec random_spec();
  void submit(const std::string& id, const std::string& body, unsigned tries);
  void on_submitted(const std::string& id, const std::string& body, unsigned tries,
                    unsigned status);
  void submit_again(const std::string& id, const std::string& body, unsigned tries);
  void submit_late(const std::string& id, const std::string& body);
  void cancel(const std::string& id, unsigned tries);
  void on_state(const std::string& id, const http::outgoing_answer& answer);
  std::uint64_t draw(std::uint64_t below) { return m_random() % below; }
  duration draw_time(std::chrono::milliseconds least, std::chrono::milliseconds most);

  virtual_time& m_time;
  std::mt19937_64 m_random;
  run_judge& m_judge;
  carrier m_carry;
  std::map<std::string, jobs::job_spec> m_specs;
  std::map<std::string, std::string> m_prefixes;   // by job
  std::map<task_ref, duration> m_crashes;          // tasks that crash their workers
  std::map<std::string, time_point> m_accepted_at; // by job: when it was first told
  std::map<std::string, jobs::job_state> m_states;
  std::uint64_t m_jobs = 0;
};
} // namespace yardhill::model
