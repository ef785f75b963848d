// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Replay/VirtualCell.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "Common/ConfigParser.h"
#include "Common/Json.h"
#include "Replay/VirtualCellParts.h"

namespace yardhill::replay
{
namespace
{
constexpr duration k_sample_interval = std::chrono::seconds{1};
} // namespace

virtual_cell::virtual_cell(const trace& recorded, std::string document, const cell_options& options)
    : m_options(options),
      m_trace(recorded),
      m_document(std::move(document)),
      m_network(recorded.header.seed),
      m_table(options.limits)
{
  problem_list problems;
  m_config = parse_cell_config({{"trace", m_document}}, problems).value();
  for (const zone_config& zone : m_config.zones)
  {
    for (const worker_config& worker : zone.workers)
      m_workers[worker.id.value] = std::make_unique<worker_host>(worker, m_options.core.ownership);
    for (std::uint32_t index = 1; index <= recorded.header.instances; ++index)
      m_zones[zone.id.value + "-" + std::to_string(index)] = zone.id;
  }
}

virtual_cell::~virtual_cell() = default;

void virtual_cell::log(const std::string& source, const std::string& message) const
{
  if (m_options.log)
    m_options.log(now(), source, message);
}

void virtual_cell::run()
{
  for (const auto& [name, zone] : m_zones)
    start_instance(name);
  const std::string first = m_zones.begin()->first;
  at(time_point{std::chrono::milliseconds{200}},
     [this, first]
     {
       if (live_instance* instance = find_instance(first))
         deliver(first, instance->incarnation,
                 instance::apply_request{m_next_request++, 0, "first", m_document});
     });
  for (const trace_action& each : m_trace.actions)
    at(each.at,
       [this, each]
       {
         log("trace", to_json_line(each));
         execute_action(each);
       });
  at(time_point{k_sample_interval}, [this] { sample_packing(); });
  m_events.run(time_point{m_trace.header.until}, [this] { return m_checker.failed(); });
}

// --- instances ---

virtual_cell::live_instance* virtual_cell::find_instance(const std::string& name)
{
  const auto found = m_instances.find(name);
  return found == m_instances.end() ? nullptr : found->second.get();
}

virtual_cell::live_instance* virtual_cell::find_instance_by_id(const instance_id& id)
{
  return find_instance(id.value.substr(0, id.value.find('@')));
}

void virtual_cell::start_instance(const std::string& name)
{
  if (find_instance(name) != nullptr)
    return;
  const std::uint64_t incarnation = ++m_incarnations;
  const instance::instance_identity identity{instance_id{name + "@" + std::to_string(incarnation)},
                                             m_zones.at(name)};
  m_instances[name] =
      std::make_unique<live_instance>(name, incarnation, identity, m_options, m_metrics, now());
  step(*m_instances[name], instance::timer_expired{});
  for (const auto& [other, zone] : m_zones)
  {
    if (other == name || find_instance(other) == nullptr)
      continue;
    set_link(name, other, true);
    set_link(other, name, true);
  }
}

void virtual_cell::end_instance(const std::string& name)
{
  if (find_instance(name) == nullptr)
    return;
  const instance_id id = find_instance(name)->id;
  m_checker.instance_died(name);
  m_instances.erase(name);
  for (const auto& [other, entry] : m_instances)
    in(m_options.link_latency, [this, peer = other, incarnation = entry->incarnation, id]
       { deliver(peer, incarnation, instance::peer_unlinked{id}); });
}

void virtual_cell::set_link(const std::string& from, const std::string& to, bool up)
{
  const live_instance* sender = find_instance(from);
  const live_instance* receiver = find_instance(to);
  if (sender == nullptr || receiver == nullptr ||
      (up && (m_network.is_cut(from, to) || m_network.is_cut(to, from))))
    return;
  instance::event link_event = instance::peer_unlinked{receiver->id};
  if (up)
    link_event = instance::peer_linked{receiver->id, receiver->zone};
  in(m_options.link_latency, [this, from, incarnation = sender->incarnation, link_event]
     { deliver(from, incarnation, link_event); });
}

void virtual_cell::deliver(const std::string& name, std::uint64_t incarnation,
                           instance::event incoming)
{
  live_instance* instance = find_instance(name);
  if (instance == nullptr || instance->incarnation != incarnation || instance->done)
    return;
  if (instance->paused)
    instance->queued_events.push_back(std::move(incoming));
  else
    step(*instance, incoming);
}

void virtual_cell::step(live_instance& instance, const instance::event& incoming)
{
  const auto began = std::chrono::steady_clock::now();
  const std::vector<instance::command> commands = instance.core.step(incoming, now());
  const auto took = std::chrono::steady_clock::now() - began;
  m_core_time += took;
  ++m_steps;
  m_metrics.record(timing::decision, std::chrono::duration_cast<duration>(took));
  if (m_options.check)
    m_checker.record_config_version(instance.name, instance.incarnation,
                                    instance.core.config().version());
  schedule_timer(instance);
  // Must be last: executing the commands may destroy the instance.
  if (instance.paused)
    instance.unsent_commands.insert(instance.unsent_commands.end(), commands.begin(),
                                    commands.end());
  else
    execute(instance, commands);
}

void virtual_cell::schedule_timer(live_instance& instance)
{
  const time_point next = std::max(instance.core.next_timer(), now() + k_timer_resolution);
  if (next >= instance.timer && instance.timer > now())
    return;
  instance.timer = next;
  at(next,
     [this, name = instance.name, incarnation = instance.incarnation, next]
     {
       live_instance* current = find_instance(name);
       if (current == nullptr || current->incarnation != incarnation || current->timer != next ||
           current->paused)
         return;
       current->timer = k_never;
       deliver(name, incarnation, instance::timer_expired{});
     });
}

void virtual_cell::resume(live_instance& instance)
{
  const std::string name = instance.name;
  const std::uint64_t incarnation = instance.incarnation;
  instance.paused = false;
  const auto queued_events = std::exchange(instance.queued_events, {});
  const auto commands = std::exchange(instance.unsent_commands, {});
  execute(instance, commands);
  for (const instance::event& each : queued_events)
    deliver(name, incarnation, each);
  if (live_instance* still = find_instance(name))
  {
    still->timer = k_never;
    schedule_timer(*still);
  }
}

void virtual_cell::execute(live_instance& instance, const std::vector<instance::command>& commands)
{
  for (const instance::command& each : commands)
    std::visit([this, &instance](const auto& command) { send(instance, command); }, each);
  if (instance.done)
    end_instance(std::string(instance.name));
}

// --- workers ---

void virtual_cell::handle_claim(worker_host& worker, held_claim claim)
{
  if (worker.dead)
    return;
  worker.model.advance(now());
  worker.model.take(claim.request, now());
  claim.until = now() + claim.request.wait;
  worker.held.push_back(std::move(claim));
  handle_worker_change(worker);
}

void virtual_cell::answer_held_claims(worker_host& worker)
{
  std::erase_if(worker.held,
                [&](const held_claim& held)
                {
                  if (now() < held.until && !worker.model.has_update_for(held.request))
                    return false;
                  const claim_answer answer = worker.model.answer(held.request, now());
                  if (m_network.is_cut(worker.name, held.from))
                    return true;
                  in(m_network.next_delay(m_options.link_latency),
                     [this, held, answer, id = worker.model.config().id]
                     {
                       if (!std::exchange(*held.settled, true))
                         deliver(held.from, held.incarnation,
                                 instance::claim_returned{id, held.request, answer, held.sent_at});
                     });
                  return true;
                });
}

void virtual_cell::handle_worker_change(worker_host& worker)
{
  report_starts(worker);
  answer_held_claims(worker);
  schedule_worker(worker);
}

void virtual_cell::report_ended(worker_host& worker)
{
  std::erase_if(worker.running,
                [&](const auto& entry)
                {
                  const auto& [id, position] = entry;
                  if (worker.model.runs(id))
                    return false;
                  m_checker.ended(worker.model.config().id, id,
                                  worker.model.record()[position].result);
                  return true;
                });
}

void virtual_cell::report_starts(worker_host& worker)
{
  report_ended(worker);
  const std::vector<run_record>& record = worker.model.record();
  for (; worker.recorded < record.size(); ++worker.recorded)
  {
    const run_record& run = record[worker.recorded];
    // Leases on other workers expire without an event, so those workers are advanced here.
    for (const auto& [name, other] : m_workers)
    {
      if (!m_options.check || other.get() == &worker || other->running.empty())
        continue;
      other->model.advance(now());
      report_ended(*other);
    }
    log(worker.name, "starts " + to_text(run.id));
    m_checker.started(worker.model.config().id, run.id, run.repeatable, now());
    worker.running.emplace(run.id, worker.recorded);
  }
  report_ended(worker);
  if (worker.model.overcommitted() > 0)
    m_checker.overcommitted(worker.model.config().id);
}

void virtual_cell::schedule_worker(worker_host& worker)
{
  time_point next = worker.model.next_event();
  for (const held_claim& held : worker.held)
    next = std::min(next, held.until);
  if (next == k_never || (worker.next_wakeup > now() && worker.next_wakeup <= next))
    return;
  worker.next_wakeup = next;
  at(next,
     [this, &worker, next]
     {
       if (worker.next_wakeup == next)
         worker.next_wakeup = k_never;
       if (worker.dead)
         return;
       worker.model.advance(now());
       handle_worker_change(worker);
     });
}

// --- measurements and final checks ---

void virtual_cell::sample_packing()
{
  resources granted;
  resources capacity;
  for (const auto& [name, worker] : m_workers)
  {
    granted += worker->model.granted();
    capacity += worker->model.config().capacity;
  }
  std::size_t queued = 0;
  for (const auto& [name, entry] : m_instances)
  {
    for (const auto& [partition, home] : entry->core.homes())
      queued += home.owns() ? home.scheduler().queued() : 0;
  }
  m_packing.add_sample(granted, capacity, queued);
  in(k_sample_interval, [this] { sample_packing(); });
}

void virtual_cell::log_homes() const
{
  for (const auto& [name, entry] : m_instances)
  {
    for (const auto& [partition, home] : entry->core.homes())
    {
      if (!home.owns())
        continue;
      std::string line = to_text(partition) + " queued " +
                         std::to_string(home.scheduler().queued()) + " active " +
                         std::to_string(home.scheduler().active()) + " rooms";
      const decision::worker_pool& pool = home.scheduler().pool();
      for (std::size_t position = 0; position < pool.size(); ++position)
        line += " " + pool.at(position).id().value + ":" +
                std::to_string(pool.at(position).room().cpu_millis) + "/" +
                std::to_string(pool.at(position).granted().cpu_millis);
      log(name, line);
    }
  }
}

void virtual_cell::check_end()
{
  if (m_checker.failed())
    return;
  m_checker.check_end();
  log_homes();
  std::uint64_t newest = 0;
  for (const auto& [name, entry] : m_instances)
    newest = std::max(newest, entry->core.config().version());
  for (const auto& [name, entry] : m_instances)
  {
    if (entry->core.config().version() != newest)
      m_checker.fail(name + " has configuration " + std::to_string(entry->core.config().version()) +
                     " while " + std::to_string(newest) + " is in force");
    if (!entry->core.ready(now()))
      m_checker.fail(name + " is not ready");
    for (const workload_config& workload : entry->core.config().cell().workloads)
    {
      const std::size_t running = m_checker.running_members(workload.id);
      if (workload.kind == task_kind::service && running != workload.replicas)
        m_checker.fail(std::to_string(running) + " replicas of " + workload.id.value +
                       " run instead of " + std::to_string(workload.replicas));
    }
  }
}
} // namespace yardhill::replay
