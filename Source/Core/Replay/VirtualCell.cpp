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
constexpr duration k_sample = std::chrono::seconds{1};
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

void virtual_cell::log(const std::string& who, const std::string& what) const
{
  if (m_options.log)
    m_options.log(now(), who, what);
}

void virtual_cell::run()
{
  for (const auto& [name, zone] : m_zones)
    start_instance(name);
  const std::string first = m_zones.begin()->first;
  at(time_point{std::chrono::milliseconds{200}},
     [this, first]
     {
       if (live_instance* instance = living(first))
         deliver(first, instance->life,
                 instance::apply_request{m_next_request++, 0, "first", m_document});
     });
  for (const trace_action& each : m_trace.actions)
    at(each.at,
       [this, each]
       {
         log("trace", to_json_line(each));
         carry_out_action(each);
       });
  at(time_point{k_sample}, [this] { sample_packing(); });
  m_events.run(time_point{m_trace.header.until}, [this] { return m_checker.failed(); });
}

// --- instances ---

virtual_cell::live_instance* virtual_cell::living(const std::string& name)
{
  const auto found = m_instances.find(name);
  return found == m_instances.end() ? nullptr : found->second.get();
}

virtual_cell::live_instance* virtual_cell::by_id(const instance_id& id)
{
  return living(id.value.substr(0, id.value.find('@')));
}

void virtual_cell::start_instance(const std::string& name)
{
  if (living(name) != nullptr)
    return;
  const std::uint64_t life = ++m_lives;
  const instance::instance_identity identity{instance_id{name + "@" + std::to_string(life)},
                                             m_zones.at(name)};
  m_instances[name] =
      std::make_unique<live_instance>(name, life, identity, m_options, m_metrics, now());
  step(*m_instances[name], instance::timer_expired{});
  for (const auto& [other, zone] : m_zones)
  {
    if (other == name || living(other) == nullptr)
      continue;
    set_link(name, other, true);
    set_link(other, name, true);
  }
}

void virtual_cell::end_instance(const std::string& name)
{
  if (living(name) == nullptr)
    return;
  const instance_id id = living(name)->id;
  m_checker.instance_died(name);
  m_instances.erase(name);
  for (const auto& [other, entry] : m_instances)
    in(m_options.link_latency, [this, peer = other, life = entry->life, id]
       { deliver(peer, life, instance::peer_unlinked{id}); });
}

void virtual_cell::set_link(const std::string& from, const std::string& to, bool up)
{
  const live_instance* sender = living(from);
  const live_instance* receiver = living(to);
  if (sender == nullptr || receiver == nullptr ||
      (up && (m_network.is_cut(from, to) || m_network.is_cut(to, from))))
    return;
  instance::event what = instance::peer_unlinked{receiver->id};
  if (up)
    what = instance::peer_linked{receiver->id, receiver->zone};
  in(m_options.link_latency,
     [this, from, life = sender->life, what] { deliver(from, life, what); });
}

void virtual_cell::deliver(const std::string& name, std::uint64_t life, instance::event what)
{
  live_instance* instance = living(name);
  if (instance == nullptr || instance->life != life || instance->done)
    return;
  if (instance->paused)
    instance->waiting.push_back(std::move(what));
  else
    step(*instance, what);
}

void virtual_cell::step(live_instance& instance, const instance::event& what)
{
  const auto began = std::chrono::steady_clock::now();
  const std::vector<instance::command> commands = instance.core.step(what, now());
  const auto took = std::chrono::steady_clock::now() - began;
  m_core_time += took;
  ++m_steps;
  m_metrics.record(timing::decision, std::chrono::duration_cast<duration>(took));
  if (m_options.check)
    m_checker.config_seen(instance.name, instance.life, instance.core.config().version());
  plan_timer(instance);
  // Last: it may end the instance.
  if (instance.paused)
    instance.about_to_send.insert(instance.about_to_send.end(), commands.begin(), commands.end());
  else
    carry_out(instance, commands);
}

void virtual_cell::plan_timer(live_instance& instance)
{
  const time_point next = std::max(instance.core.next_timer(), now() + k_step);
  if (next >= instance.timer && instance.timer > now())
    return;
  instance.timer = next;
  at(next,
     [this, name = instance.name, life = instance.life, next]
     {
       live_instance* now_there = living(name);
       if (now_there == nullptr || now_there->life != life || now_there->timer != next ||
           now_there->paused)
         return;
       now_there->timer = k_never;
       deliver(name, life, instance::timer_expired{});
     });
}

void virtual_cell::resume(live_instance& instance)
{
  const std::string name = instance.name;
  const std::uint64_t life = instance.life;
  instance.paused = false;
  const auto waiting = std::exchange(instance.waiting, {});
  const auto commands = std::exchange(instance.about_to_send, {});
  carry_out(instance, commands);
  for (const instance::event& each : waiting)
    deliver(name, life, each);
  if (live_instance* still = living(name))
  {
    still->timer = k_never;
    plan_timer(*still);
  }
}

void virtual_cell::carry_out(live_instance& instance,
                             const std::vector<instance::command>& commands)
{
  for (const instance::command& each : commands)
    std::visit([this, &instance](const auto& what) { send(instance, what); }, each);
  if (instance.done)
    end_instance(std::string(instance.name));
}

// --- workers ---

void virtual_cell::claim_arrived(worker_host& worker, held_claim claim)
{
  if (worker.dead)
    return;
  worker.model.advance(now());
  worker.model.take(claim.request, now());
  claim.until = now() + claim.request.wait;
  worker.held.push_back(std::move(claim));
  worker_changed(worker);
}

void virtual_cell::answer_held(worker_host& worker)
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
                         deliver(held.from, held.life,
                                 instance::claim_returned{id, held.request, answer, held.sent_at});
                     });
                  return true;
                });
}

void virtual_cell::worker_changed(worker_host& worker)
{
  tell_checker(worker);
  answer_held(worker);
  plan_worker(worker);
}

void virtual_cell::tell_ended(worker_host& worker)
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

void virtual_cell::tell_checker(worker_host& worker)
{
  tell_ended(worker);
  const std::vector<run_record>& record = worker.model.record();
  for (; worker.recorded < record.size(); ++worker.recorded)
  {
    const run_record& run = record[worker.recorded];
    // Leases elsewhere run out by themselves, without an event of their own.
    for (const auto& [name, other] : m_workers)
    {
      if (!m_options.check || other.get() == &worker || other->running.empty())
        continue;
      other->model.advance(now());
      tell_ended(*other);
    }
    log(worker.name, "starts " + to_text(run.id));
    m_checker.started(worker.model.config().id, run.id, run.repeatable, now());
    worker.running.emplace(run.id, worker.recorded);
  }
  tell_ended(worker);
  if (worker.model.overcommitted() > 0)
    m_checker.overcommitted(worker.model.config().id);
}

void virtual_cell::plan_worker(worker_host& worker)
{
  time_point next = worker.model.next_event();
  for (const held_claim& held : worker.held)
    next = std::min(next, held.until);
  if (next == k_never || (worker.planned > now() && worker.planned <= next))
    return;
  worker.planned = next;
  at(next,
     [this, &worker, next]
     {
       if (worker.planned == next)
         worker.planned = k_never;
       if (worker.dead)
         return;
       worker.model.advance(now());
       worker_changed(worker);
     });
}

// --- measures and the end ---

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
  in(k_sample, [this] { sample_packing(); });
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
