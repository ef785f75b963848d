// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// A worker as the scheduler sees it, in memory: claims, tickets, leases, limits. Used by the
// stand-in processes and by replay; it runs nothing, it only lets time pass.

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

// What a task of ours does when it runs, from its payload: JSON with these fields, all optional.
struct run_plan
{
  duration run{0};
  std::size_t bytes = 64;
  std::string seed;
  bool fails = false;
  double uses = 1.0; // of the declared processors and memory
};

// A payload that is not such JSON runs for the declared time.
run_plan plan_of(const task_spec& spec);
// The result that such a run gives: `bytes` bytes that depend on the seed.
std::string result_of(const run_plan& plan);

// One start that a worker took; kept for checking, never forgotten.
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
  duration usage_lag = std::chrono::seconds{1}; // an attempt younger than this is not in the report
};

class worker_model
{
public:
  worker_model(const worker_config& config, const ownership_options& options, std::string boot);

  // Whether an answer to this claim would tell something new; else it may be held back.
  bool has_update_for(const claim_request& request) const;
  // Takes the claim's effect: owner, tickets, acknowledgements, renewal.
  void take(const claim_request& request, time_point now);
  claim_answer answer(const claim_request& request, time_point now);
  start_answer start(const start_request& request, time_point now);
  void stop(const stop_request& request, time_point now);
  // Ends what has run its time and what has outlived its lease.
  void advance(time_point now);
  time_point next_event() const;
  // A reboot: nothing runs, nothing is remembered but the record.
  void reboot(std::string boot, time_point now);

  worker_faults& faults() { return m_faults; }
  const worker_config& config() const { return m_config; }
  const std::vector<run_record>& record() const { return m_record; }
  const resources& granted() const { return m_granted; }
  std::size_t running() const { return m_running.size(); }
  bool runs(const attempt_id& id) const { return m_running.contains(id); }
  // Starts that were taken although they did not fit: must stay 0.
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

  start_refusal judge(const start_request& request, const start_order& order, time_point now) const;
  void begin(const start_request& request, const start_order& order, time_point now);
  void end(const attempt_id& id, attempt_result result, time_point now);
  resources measured(time_point now) const;
  bool ticket_is_good(std::uint64_t ticket, time_point now) const;

  worker_config m_config;
  ownership_options m_options;
  worker_faults m_faults;
  std::string m_boot;
  term_number m_term = 0;
  instance_id m_owner;
  time_point m_owner_seen{};
  std::uint64_t m_next_ticket = 1;
  std::deque<std::pair<std::uint64_t, time_point>> m_tickets;
  std::uint64_t m_moment = 1;
  std::uint64_t m_told_moment = 0; // as of the latest answer
  std::uint64_t m_next_sequence = 1;
  time_point m_lease_until{};
  std::map<attempt_id, running_task> m_running;
  std::vector<ended_attempt> m_ended;
  std::map<attempt_id, term_number> m_ended_terms;
  std::set<attempt_id> m_taken;
  resources m_granted;
  std::uint64_t m_overcommitted = 0;
  std::vector<run_record> m_record;
};
} // namespace yardhill::replay
