// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// What a trace's actions do to the virtual cell.

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
constexpr duration k_relink = std::chrono::milliseconds{150};
constexpr std::size_t k_result_bytes = 48;
} // namespace

void virtual_cell::carry_out_action(const trace_action& what)
{
  using handler = void (virtual_cell::*)(const trace_action&);
  // In the order of action_kind.
  static constexpr std::array<handler, static_cast<std::size_t>(action_kind::count)> s_handlers{
      &virtual_cell::submit,      &virtual_cell::cancel,        &virtual_cell::apply,
      &virtual_cell::kill,        &virtual_cell::start,         &virtual_cell::stop,
      &virtual_cell::pause,       &virtual_cell::resume_paused, &virtual_cell::cut,
      &virtual_cell::heal,        &virtual_cell::store_outage,  &virtual_cell::store_slow,
      &virtual_cell::store_lose,  &virtual_cell::worker_kill,   &virtual_cell::worker_reboot,
      &virtual_cell::worker_fail, &virtual_cell::worker_leave,  &virtual_cell::slow_messages};
  (this->*s_handlers.at(static_cast<std::size_t>(what.kind)))(what);
}

// --- instances ---

void virtual_cell::submit(const trace_action& what)
{
  live_instance* instance = living(what.who);
  if (instance == nullptr)
    return;
  const workload_config* workload = m_config.find_workload(workload_id{what.workload});
  if (workload == nullptr)
    return;
  instance::caller_request request;
  request.number = m_next_request++;
  request.workload = workload->id;
  request.key = what.key;
  const std::string seed = what.key.empty() ? std::to_string(request.number) : what.key;
  request.payload = json{{"run_us", what.number}, {"bytes", k_result_bytes}, {"id", seed}}.dump();
  // Whoever sends batch work without a key comes back for it later.
  request.waits = workload->kind != task_kind::batch || !what.key.empty();
  run_checker::request_record record;
  if (!what.key.empty())
    record.task = make_task_id(workload->id, what.key);
  record.kind = workload->kind;
  record.keyed = !what.key.empty();
  record.repeatable = workload->repeatable;
  record.payload = request.payload;
  record.bytes = k_result_bytes;
  record.members = workload->members;
  record.sent = now();
  record.via = what.who;
  m_checker.sent(request.number, std::move(record));
  deliver(what.who, instance->life, std::move(request));
}

void virtual_cell::cancel(const trace_action& what)
{
  live_instance* instance = living(what.who);
  if (instance == nullptr)
    return;
  instance::caller_request request;
  request.number = m_next_request++; // nobody checks the answer
  request.purpose = request_purpose::cancel;
  request.workload = workload_id{what.workload};
  request.key = what.key;
  deliver(what.who, instance->life, std::move(request));
}

void virtual_cell::apply(const trace_action& what)
{
  live_instance* instance = living(what.who);
  if (instance == nullptr)
    return;
  deliver(what.who, instance->life,
          instance::apply_request{m_next_request++, instance->core.config().version(),
                                  "apply-" + std::to_string(m_events.planned()),
                                  built_in_document(m_trace.header, what.number)});
}

void virtual_cell::kill(const trace_action& what)
{
  end_instance(what.who);
}

void virtual_cell::start(const trace_action& what)
{
  start_instance(what.who);
}

void virtual_cell::stop(const trace_action& what)
{
  if (live_instance* instance = living(what.who))
    deliver(what.who, instance->life, instance::stop_requested{});
}

void virtual_cell::pause(const trace_action& what)
{
  live_instance* instance = living(what.who);
  if (instance == nullptr || instance->paused)
    return;
  instance->paused = true;
  step(*instance, instance::timer_expired{}); // what it decided last is not sent yet
}

void virtual_cell::resume_paused(const trace_action& what)
{
  live_instance* instance = living(what.who);
  if (instance != nullptr && instance->paused)
    resume(*instance);
}

// --- messages and the table ---

void virtual_cell::cut(const trace_action& what)
{
  m_network.cut(what.who, what.other);
  set_link(what.who, what.other, false);
  set_link(what.other, what.who, false);
}

void virtual_cell::heal(const trace_action& what)
{
  m_network.heal(what.who, what.other);
  in(k_relink,
     [this, what]
     {
       set_link(what.who, what.other, true);
       set_link(what.other, what.who, true);
     });
}

void virtual_cell::slow_messages(const trace_action& what)
{
  m_network.set_late_every(what.number);
}

void virtual_cell::store_outage(const trace_action& what)
{
  m_store_down = what.number != 0;
}

void virtual_cell::store_slow(const trace_action& what)
{
  m_store_slow = duration{what.number};
}

void virtual_cell::store_lose(const trace_action& what)
{
  m_store_lose = what.number;
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
  m_checker.worker_forgot_all(worker.model.config().id);
  worker.model.reboot(boot, now());
}

void virtual_cell::worker_kill(const trace_action& what)
{
  if (worker_host* worker = find_worker(what.who))
    restart_worker(*worker, true, "dead");
}

void virtual_cell::worker_reboot(const trace_action& what)
{
  if (worker_host* worker = find_worker(what.who))
    restart_worker(*worker, false, "boot-" + std::to_string(++worker->boots));
}

void virtual_cell::worker_fail(const trace_action& what)
{
  if (worker_host* worker = find_worker(what.who))
    worker->model.faults().fails_everything = what.number != 0;
}

void virtual_cell::worker_leave(const trace_action& what)
{
  if (worker_host* worker = find_worker(what.who))
    worker->model.faults().leaving = what.number != 0;
}
} // namespace yardhill::replay
