// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Model/ExploredCell.h"

#include <array>

#include <nlohmann/json.hpp>

#include "Common/Hash.h"
#include "Node/JobStore.h"
#include "Node/OwnerRow.h"
#include "platform/TaskName.h"
#include "platform/WireNames.h"

namespace yardhill::model
{
namespace
{
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
namespace wire = adapter::wire;

constexpr std::size_t k_instances = 4;
// In thousandths of a core: partitions move to the instances that have more.
constexpr std::array<std::uint32_t, k_instances> k_processor_millis{120, 500, 120, 500};
constexpr std::size_t k_workers = 9; // per partition
// An instance counts as just started for this long.
constexpr milliseconds k_recently_started{300};
constexpr milliseconds k_reset_delay{1};
// Bounds of the time from a crash that a run caused until the worker's next incarnation.
constexpr milliseconds k_min_crash_downtime{1500};
constexpr milliseconds k_max_crash_downtime{5000};
const common::endpoint k_store_address{"10.200.0.1", 80};
const common::endpoint k_advice_address{"10.200.0.2", 80};

// The advice of the additional queue of cells with scarce advice: calls that are as long as they
// are at the sites, and tickets that expire soon for few of the workers.
constexpr advice_settings k_scarce_advice{milliseconds{560}, milliseconds{8}, milliseconds{2000},
                                          0.3};
// Far more workers than a call for a few tasks names, so that many workers remain of which an owner
// does not know whether they are permitted.
constexpr std::size_t k_scarce_advice_workers = 60;

json configuration(std::uint64_t version, std::size_t unused_queues, bool public_queues,
                   bool scarce_advice)
{
  const auto route =
      [public_queues](const std::string& name, const std::string& prefix, int priority)
  {
    json added{{wire::k_name, name},         {wire::k_host, k_host},
               {wire::k_prefix, prefix},     {wire::k_service, "service"},
               {wire::k_priority, priority}, {wire::k_max_attempts, k_max_attempts},
               {wire::k_stretch, 1.5},       {wire::k_latency_target_ms, 250}};
    if (public_queues)
      added[wire::k_public] = true;
    return added;
  };
  json urgent = route("urgent", k_urgent_prefix, 0);
  urgent[wire::k_advice] = {
      {wire::k_decide_ms, 19.0}, {wire::k_each_ms, 0.28}, {wire::k_valid_ms, 2500}};
  json routes{urgent, route("plain", k_plain_prefix, 1)};
  if (scarce_advice)
  {
    json scarce = route("scarce", k_scarce_prefix, 1);
    scarce[wire::k_advice] = {{wire::k_decide_ms, k_scarce_advice.per_call.count()},
                              {wire::k_each_ms, k_scarce_advice.per_worker.count() / 1000},
                              {wire::k_valid_ms, k_scarce_advice.valid.count()}};
    routes.push_back(std::move(scarce));
  }
  for (std::size_t i = 0; i < unused_queues; ++i)
    routes.push_back(route("unused-" + std::to_string(i), "/unused-" + std::to_string(i) + "/", 1));
  return json{{wire::k_version, version}, {wire::k_routes, std::move(routes)}};
}

http::outgoing_reply broken_connection()
{
  http::outgoing_reply answer;
  answer.status = 0;
  return answer;
}
} // namespace

explored_cell::explored_cell(std::uint64_t seed, std::size_t partitions,
                             std::optional<processor_costs> costs)
    : m_random(seed),
      m_network(m_time, seed + 1),
      m_advice(m_time, seed, {}),
      m_store(m_time),
      m_judge([this](const std::string& job) { return is_stored(job); }),
      m_callers(m_time, seed + 2, m_judge,
                [this](http::incoming_request request, http::responder respond)
                { return deliver_request(std::move(request), std::move(respond)); }),
      m_seed(seed),
      m_fleet(
          m_time, m_store, m_advice, m_judge,
          [this](const task_ref& task, run_number run, const std::string& worker)
          { return course_of(task, run, worker); },
          m_callers.specs()),
      m_costs(costs),
      m_begin(m_time.now())
{
  m_network.serve(
      k_store_address, "store",
      [this](const std::string& from, const http::request& call, http::reply_handler done)
      {
        if (m_network.troubles.turned_away.contains(from))
          done({m_network.troubles.turned_away_status, {}, {}, false});
        else
          m_store.handle(call, std::move(done));
      });
  m_network.serve(
      k_advice_address, "advice",
      [this](const std::string& from, const http::request& call, http::reply_handler done)
      { m_advice.handle(from, call, std::move(done)); });
  m_fleet.set_crash_handler([this](fleet_worker& which) { worker_crashed(which); });
  m_store.put(node::layout_key(), node::to_row_text(node::layout_row{partitions}));
  configure(1);
  add_workers(k_workers * partitions);
  m_instances.resize(k_instances);
  for (std::size_t i = 0; i < k_instances; ++i)
  {
    m_instances[i].name = "instance-" + std::to_string(i);
    m_instances[i].zone = "zone-" + std::to_string(i % k_zones);
    start_instance(m_instances[i]);
  }
}

void explored_cell::configure(std::uint64_t version, std::size_t unused_queues)
{
  json written = configuration(version, unused_queues, !m_keys_configured, m_scarce_advice);
  if (m_workspaces)
  {
    json list = m_workspaces->configuration();
    for (json& each : list)
    {
      if (!m_limits_configured)
        each.erase(wire::k_max_running);
    }
    written[wire::k_workspaces] = std::move(list);
    m_workspaces->configured();
  }
  m_store.put({wire::k_operator_table, "", wire::k_config_key}, written.dump());
  m_configurations[m_time.now()] = version;
}

void explored_cell::add_workspaces(std::uint64_t seed, bool instances_see_limits,
                                   bool instances_see_keys)
{
  m_limits_configured = instances_see_limits;
  m_keys_configured = instances_see_keys;
  m_workspaces.emplace(m_time, seed);
  m_callers.set_workspaces(*m_workspaces, seed + 1);
  // An owner that is cut off may start tasks under an older configuration for as long as it may
  // send commands at all.
  m_judge.set_workspace_limits(
      [this](const std::string& workspace, common::time_point at)
      {
        constexpr seconds k_configuration_limit{3};
        constexpr milliseconds k_authority{4500};
        return m_workspaces->highest_limit(workspace, at - k_configuration_limit - k_authority, at);
      });
  reconfigure();
}

void explored_cell::make_advice_scarce(bool usable_tickets)
{
  m_scarce_advice = true;
  m_advice.set_job_settings(
      [this](const std::string& job) {
        return m_callers.needs_scarce_advice(job) ? std::optional(k_scarce_advice) : std::nullopt;
      });
  if (!usable_tickets)
    m_advice.withhold_tickets([this](const std::string& step, const std::string& incarnation)
                              { return below_step_limit(step, incarnation); });
  m_judge.set_permissions(
      [this](const task_ref& task, const std::string& worker)
      {
        return !m_callers.needs_scarce_advice(task.job) ||
               m_advice.permits(adapter::to_wire(scheduling::step_ref{task.job, task.place.cycle,
                                                                      task.place.step}),
                                worker);
      });
  add_workers(k_scarce_advice_workers - m_fleet.workers().size());
  reconfigure();
}

bool explored_cell::below_step_limit(const std::string& step, const std::string& worker) const
{
  const std::optional<task_ref> first = adapter::task_from_wire(step + ".0");
  const std::uint32_t limit =
      m_callers.specs().at(first->job).steps[first->place.step].max_tasks_per_worker;
  const auto tasks = m_judge.tasks_by_worker(first->job, first->place.cycle, first->place.step);
  const auto there = tasks.find(worker);
  return limit > 0 && !tasks.empty() && (there == tasks.end() || there->second < limit);
}

void explored_cell::reconfigure()
{
  configure(m_configurations.rbegin()->second + 1);
}

std::uint64_t explored_cell::version_written_by(time_point when) const
{
  const auto later = m_configurations.upper_bound(when);
  return later == m_configurations.begin() ? 0 : std::prev(later)->second;
}

void explored_cell::add_workers(std::size_t count)
{
  const std::size_t first = m_fleet.workers().size();
  for (std::size_t i = first; i < first + count; ++i)
  {
    worker_settings settings;
    settings.address = {"10.1.0." + std::to_string(i + 1), 80};
    settings.zone = "zone-" + std::to_string(i % k_zones);
    settings.rack = "rack-" + std::to_string(i % k_zones);
    settings.capacity.cpu_millis = 4000 * static_cast<std::int64_t>(1 + i % 3);
    settings.capacity.memory_mib = 16000;
    settings.clock_ahead = milliseconds(static_cast<std::int64_t>(draw(100000)));
    settings.clock_rate = 1.0 - 0.002 * static_cast<double>(draw(11));
    fleet_worker& added = m_fleet.add(settings.address.address, settings);
    m_network.serve(
        settings.address, added.machine,
        [&added](const std::string&, const http::request& call, http::reply_handler done)
        { worker_fleet::handle(added, call, std::move(done)); });
    update_entry(added);
  }
}

run_course explored_cell::course_of(const task_ref& task, run_number run,
                                    const std::string& worker) const
{
  const std::string key = task.job + std::to_string(task.place.step) +
                          std::to_string(task.place.index) + std::to_string(run) + worker;
  const std::uint64_t random_bits = common::stable_hash(key, m_seed);
  run_course course;
  course.takes = milliseconds(static_cast<std::int64_t>(200 + random_bits % 1500));
  course.fails = random_bits / 2000 % 25 == 0;
  if (m_callers.specs().at(task.job).steps[task.place.step].long_running)
    course.takes = seconds(1 + static_cast<std::int64_t>(random_bits % 20));
  // These rarely end, so that single tasks wait while all others of their step run.
  if (m_callers.specs().at(task.job).long_running() && m_callers.needs_scarce_advice(task.job))
    course.takes = seconds(10 + static_cast<std::int64_t>(random_bits % 50));
  course.crashes_after = m_callers.crashes_after(task);
  // No run of a task that crashes its worker ends before the crash.
  if (course.crashes_after)
    course = {*course.crashes_after + seconds(1), false, course.crashes_after};
  return course;
}

// Restarts the worker after some seconds. By then its entry has expired, or the next incarnation's
// entry replaces it.
void explored_cell::worker_crashed(fleet_worker& which)
{
  const duration back = draw_time(k_min_crash_downtime, k_max_crash_downtime);
  m_time.schedule(back,
                  [this, &which]
                  {
                    if (!which.model)
                      start_worker(which);
                  });
}

void explored_cell::start_worker(fleet_worker& which)
{
  m_fleet.begin_life(which);
  update_entry(which);
}

void explored_cell::update_entry(fleet_worker& which)
{
  if (which.model && !m_network.cut(which.machine, "store"))
    m_fleet.write_entry(which);
  else
    m_fleet.remove_entry(which);
}

void explored_cell::read_suspended_clocks()
{
  m_suspended_clocks = true;
  for (explored_instance& each : m_instances)
    each.time->read_suspended_clock();
}

void explored_cell::end_instance(explored_instance& which)
{
  which.core.reset();
  which.sender.reset();
  which.time.reset();
  for (const auto& each : std::exchange(which.connections, {}))
  {
    if (*each)
      m_time.schedule(k_reset_delay,
                      [respond = std::exchange(*each, nullptr)] { respond(broken_connection()); });
  }
  for (explored_instance& other : m_instances)
  {
    if (other.up())
      link(other, which, false);
  }
}

duration explored_cell::draw_time(milliseconds least, milliseconds most)
{
  return least + milliseconds(static_cast<std::int64_t>(
                     draw(static_cast<std::uint64_t>((most - least).count()))));
}

void explored_cell::start_instance(explored_instance& which)
{
  which.started = m_time.now();
  if (m_costs)
    which.processor = std::make_shared<processor_model>(m_time, *m_costs);
  which.time = std::make_unique<process_time>(m_time, which.processor);
  if (m_suspended_clocks)
    which.time->read_suspended_clock();
  which.sender = std::make_unique<network_sender>(m_network, *which.time, which.name);
  which.metrics = std::make_unique<common::metrics>();
  node::node_settings settings;
  settings.name = which.name;
  settings.zone = which.zone;
  settings.store = k_store_address;
  settings.advice = k_advice_address;
  settings.processor_millis =
      k_processor_millis[static_cast<std::size_t>(&which - m_instances.data())];
  const auto send = [this, &which](const std::string& peer, const common::peer_message& message)
  {
    which.time->sends();
    for (explored_instance& other : m_instances)
    {
      if (other.name != peer)
        continue;
      m_network.message(which.name, peer,
                        [&other, from = which.name, message]
                        {
                          if (other.up())
                            other.time->schedule(duration{0}, [&other, from, message]
                                                 { other.core->peer_received(from, message); });
                        });
    }
  };
  const node::node_environment world{
      *which.time,   *which.sender, *which.sender, send, [](const http::listener_limits&) {},
      *which.metrics};
  which.core = std::make_unique<node::node_core>(settings,
                                                 "life-" + std::to_string(++m_incarnations), world);
  which.core->start();
  tick(which);
  for (explored_instance& other : m_instances)
  {
    if (&other != &which && other.up())
      link(which, other, true);
  }
}

void explored_cell::link(explored_instance& one, explored_instance& other, bool up)
{
  for (const auto& [here, there] : {std::pair(&one, &other), std::pair(&other, &one)})
  {
    if (!here->up())
      continue;
    here->time->schedule(milliseconds(20),
                         [here = here, name = there->name, zone = there->zone, up]
                         {
                           if (up)
                             here->core->peer_linked(name, zone);
                           else
                             here->core->peer_unlinked(name);
                         });
  }
}

void explored_cell::tick(explored_instance& which)
{
  which.core->tick();
  which.time->schedule(node::node_core::k_tick_period, [this, &which] { tick(which); });
}

explored_instance* explored_cell::any_up()
{
  std::vector<explored_instance*> up;
  for (explored_instance& each : m_instances)
  {
    if (each.up())
      up.push_back(&each);
  }
  return up.empty() ? nullptr : up[draw(up.size())];
}

bool explored_cell::deliver_request(http::incoming_request request, http::responder respond)
{
  explored_instance* const where = choose_contacted_instance();
  if (where == nullptr)
    return false;
  const auto connection = std::make_shared<http::responder>(std::move(respond));
  std::erase_if(where->connections, [](const auto& each) { return !*each; });
  where->connections.push_back(connection);
  const auto answer = [connection](const http::outgoing_reply& answer_to_send)
  {
    if (*connection)
      std::exchange(*connection, nullptr)(answer_to_send);
  };
  where->time->schedule(duration{0}, [where, request = std::move(request), answer]
                        { where->core->handle(request, answer); });
  return true;
}

explored_instance* explored_cell::choose_contacted_instance()
{
  for (explored_instance& each : m_instances)
  {
    if (each.up() && m_time.now() - each.started < k_recently_started && draw(2) == 0)
      return &each;
  }
  return any_up();
}

bool explored_cell::is_stored(const std::string& job) const
{
  const adapter::row_key at = node::job_key(job);
  const auto value = m_store.value(at);
  if (!value)
    return false;
  const auto row = node::job_row_from({at, *value});
  return row && std::holds_alternative<jobs::accepted_job>(row->content);
}
} // namespace yardhill::model
