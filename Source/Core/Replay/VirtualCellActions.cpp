// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Applies the actions of a trace to the virtual cell.

#include <array>
#include <utility>

#include "Common/Json.h"
#include "Replay/BuiltInCell.h"
#include "Replay/VirtualCell.h"
#include "Replay/VirtualCellParts.h"

namespace yardhill::replay
{
namespace
{
constexpr duration k_relink_delay = std::chrono::milliseconds{150};
constexpr std::size_t k_result_bytes = 48;
} // namespace

void virtual_cell::execute_action(const trace_action& trace_entry)
{
  using handler = void (virtual_cell::*)(const trace_action&);
  // In the order of the values of action_kind.
  static constexpr std::array<handler, static_cast<std::size_t>(action_kind::count)> s_handlers{
      &virtual_cell::submit,      &virtual_cell::cancel,        &virtual_cell::apply,
      &virtual_cell::kill,        &virtual_cell::start,         &virtual_cell::stop,
      &virtual_cell::pause,       &virtual_cell::resume_paused, &virtual_cell::cut,
      &virtual_cell::heal,        &virtual_cell::store_outage,  &virtual_cell::store_slow,
      &virtual_cell::store_lose,  &virtual_cell::worker_kill,   &virtual_cell::worker_reboot,
      &virtual_cell::worker_fail, &virtual_cell::worker_leave,  &virtual_cell::slow_messages};
  (this->*s_handlers.at(static_cast<std::size_t>(trace_entry.kind)))(trace_entry);
}

// --- instances ---

void virtual_cell::submit(const trace_action& trace_entry)
{
  live_instance* instance = find_instance(trace_entry.who);
  if (instance == nullptr)
    return;
  const workload_config* workload = m_config.find_workload(workload_id{trace_entry.workload});
  if (workload == nullptr)
    return;
  instance::caller_request request;
  request.number = m_next_request++;
  request.workload = workload->id;
  request.key = trace_entry.key;
  const std::string seed =
      trace_entry.key.empty() ? std::to_string(request.number) : trace_entry.key;
  request.payload =
      json{{"run_us", trace_entry.number}, {"bytes", k_result_bytes}, {"id", seed}}.dump();
  // Models a caller that does not wait for batch work without a key but queries the result later.
  request.waits = workload->kind != task_kind::batch || !trace_entry.key.empty();
  run_checker::request_record record;
  if (!trace_entry.key.empty())
    record.task = make_task_id(workload->id, trace_entry.key);
  record.kind = workload->kind;
  record.keyed = !trace_entry.key.empty();
  record.repeatable = workload->repeatable;
  record.payload = request.payload;
  record.bytes = k_result_bytes;
  record.members = workload->members;
  record.sent = now();
  record.via = trace_entry.who;
  m_checker.sent(request.number, std::move(record));
  deliver(trace_entry.who, instance->incarnation, std::move(request));
}

void virtual_cell::cancel(const trace_action& trace_entry)
{
  live_instance* instance = find_instance(trace_entry.who);
  if (instance == nullptr)
    return;
  instance::caller_request request;
  request.number =
      m_next_request++; // not registered with the checker, so the answer is not checked
  request.purpose = request_purpose::cancel;
  request.workload = workload_id{trace_entry.workload};
  request.key = trace_entry.key;
  deliver(trace_entry.who, instance->incarnation, std::move(request));
}

void virtual_cell::apply(const trace_action& trace_entry)
{
  live_instance* instance = find_instance(trace_entry.who);
  if (instance == nullptr)
    return;
  deliver(trace_entry.who, instance->incarnation,
          instance::apply_request{m_next_request++, instance->core.config().version(),
                                  "apply-" + std::to_string(m_events.scheduled_count()),
                                  built_in_document(m_trace.header, trace_entry.number)});
}

void virtual_cell::kill(const trace_action& trace_entry)
{
  end_instance(trace_entry.who);
}

void virtual_cell::start(const trace_action& trace_entry)
{
  start_instance(trace_entry.who);
}

void virtual_cell::stop(const trace_action& trace_entry)
{
  if (live_instance* instance = find_instance(trace_entry.who))
    deliver(trace_entry.who, instance->incarnation, instance::stop_requested{});
}

void virtual_cell::pause(const trace_action& trace_entry)
{
  live_instance* instance = find_instance(trace_entry.who);
  if (instance == nullptr || instance->paused)
    return;
  instance->paused = true;
  step(*instance, instance::timer_expired{}); // the commands of this step are held back until the
                                              // instance resumes
}

void virtual_cell::resume_paused(const trace_action& trace_entry)
{
  live_instance* instance = find_instance(trace_entry.who);
  if (instance != nullptr && instance->paused)
    resume(*instance);
}

// --- messages and the table ---

void virtual_cell::cut(const trace_action& trace_entry)
{
  m_network.cut(trace_entry.who, trace_entry.other);
  set_link(trace_entry.who, trace_entry.other, false);
  set_link(trace_entry.other, trace_entry.who, false);
}

void virtual_cell::heal(const trace_action& trace_entry)
{
  m_network.heal(trace_entry.who, trace_entry.other);
  in(k_relink_delay,
     [this, trace_entry]
     {
       set_link(trace_entry.who, trace_entry.other, true);
       set_link(trace_entry.other, trace_entry.who, true);
     });
}

void virtual_cell::slow_messages(const trace_action& trace_entry)
{
  m_network.set_late_message_interval(trace_entry.number);
}

void virtual_cell::store_outage(const trace_action& trace_entry)
{
  m_store_down = trace_entry.number != 0;
}

void virtual_cell::store_slow(const trace_action& trace_entry)
{
  m_store_extra_latency = duration{trace_entry.number};
}

void virtual_cell::store_lose(const trace_action& trace_entry)
{
  m_store_replies_to_lose = trace_entry.number;
}

// --- workers ---

virtual_cell::worker_host* virtual_cell::find_worker(const std::string& name)
{
  const auto found = m_workers.find(name);
  return found == m_workers.end() ? nullptr : found->second.get();
}

void virtual_cell::restart_worker(worker_host& worker, bool dead, const std::string& boot)
{
  worker.dead = dead;
  worker.held.clear();
  worker.running.clear();
  m_checker.worker_restarted(worker.model.config().id);
  worker.model.reboot(boot, now());
}

void virtual_cell::worker_kill(const trace_action& trace_entry)
{
  if (worker_host* worker = find_worker(trace_entry.who))
    restart_worker(*worker, true, "dead");
}

void virtual_cell::worker_reboot(const trace_action& trace_entry)
{
  if (worker_host* worker = find_worker(trace_entry.who))
    restart_worker(*worker, false, "boot-" + std::to_string(++worker->boots));
}

void virtual_cell::worker_fail(const trace_action& trace_entry)
{
  if (worker_host* worker = find_worker(trace_entry.who))
    worker->model.faults().fails_everything = trace_entry.number != 0;
}

void virtual_cell::worker_leave(const trace_action& trace_entry)
{
  if (worker_host* worker = find_worker(trace_entry.who))
    worker->model.faults().leaving = trace_entry.number != 0;
}
} // namespace yardhill::replay
