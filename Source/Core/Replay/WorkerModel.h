// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// In-memory model of a worker as the scheduler sees one: claims, tickets, leases, limits. Used by
// the stand-in processes and by replay. The model executes no tasks; a task only takes time.

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Common/CellConfig.h"
#include "Common/Options.h"
#include "Common/WorkerMessages.h"

namespace yardhill::replay
{
using namespace common;

// How a simulated task behaves. Read from the task's payload: JSON with the optional fields run_us,
// bytes, fails and uses.
struct run_plan
{
  duration run{0};
  std::size_t bytes = 64;
  std::string seed;
  bool fails = false;
  double uses = 1.0; // factor on the declared processors and memory
};

// A task whose payload is not a JSON object runs for its declared time.
run_plan plan_of(const task_spec& spec);
// The result of such a run: `bytes` bytes derived from the seed.
std::string result_of(const run_plan& plan);

// One start that a worker accepted. Kept for the checks, also over reboots.
struct run_record
{
  attempt_id id;
  time_point started;
  time_point ended = k_never;
  attempt_result result = attempt_result::failed;
  bool repeatable = true;
};

struct worker_faults
{
  bool fails_everything = false;
  bool leaving = false;
  duration usage_lag = std::chrono::seconds{1}; // usage reports omit younger attempts
};

class worker_model
{
public:
  worker_model(const worker_config& config, const ownership_options& options, std::string boot);

  // Whether an answer to this claim would report a change; if not, the answer may be held back.
  bool has_update_for(const claim_request& request) const;
  // Applies the claim: owner, tickets, acknowledgements, lease renewal.
  void take(const claim_request& request, time_point now);
  claim_answer answer(const claim_request& request, time_point now);
  start_answer start(const start_request& request, time_point now);
  void stop(const stop_request& request, time_point now);
  // Ends the tasks whose run time is over, and all tasks once the lease has expired.
  void advance(time_point now);
  time_point next_event() const;
  // Reboots the worker: all tasks end and all state but the record is lost.
  void reboot(std::string boot, time_point now);

  worker_faults& faults() { return m_faults; }
  const worker_config& config() const { return m_config; }
  const std::vector<run_record>& record() const { return m_record; }
  const resources& granted() const { return m_granted; }
  std::size_t running() const { return m_running.size(); }
  bool runs(const attempt_id& id) const { return m_running.contains(id); }
  // Number of starts accepted beyond the capacity; must stay 0.
  std::uint64_t overcommitted() const { return m_overcommitted; }

private:
  struct running_task
  {
    start_order order;
    task_spec spec;
    run_plan plan;
    time_point ends;
    term_number term = 0;
    time_point started;
    std::size_t record = 0;
  };

  start_refusal check_start(const start_request& request, const start_order& order,
                            time_point now) const;
  void begin(const start_request& request, const start_order& order, time_point now);
  void end(const attempt_id& id, attempt_result result, time_point now);
  resources current_usage(time_point now) const;
  bool is_valid_ticket(std::uint64_t ticket, time_point now) const;

  worker_config m_config;
  ownership_options m_options;
  worker_faults m_faults;
  std::string m_boot;
  term_number m_term = 0;
  instance_id m_owner;
  time_point m_last_claim_at{};
  std::uint64_t m_next_ticket = 1;
  std::deque<std::pair<std::uint64_t, time_point>> m_tickets;
  std::uint64_t m_moment = 1;
  std::uint64_t m_reported_moment = 0; // m_moment in the latest answer
  std::uint64_t m_next_sequence = 1;
  time_point m_lease_until{};
  std::map<attempt_id, running_task> m_running;
  std::vector<ended_attempt> m_ended;
  std::map<attempt_id, term_number> m_ended_terms;
  std::set<attempt_id> m_accepted_attempts;
  resources m_granted;
  std::uint64_t m_overcommitted = 0;
  std::vector<run_record> m_record;
};
} // namespace yardhill::replay
