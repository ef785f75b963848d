// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Model/WorkerModel.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <nlohmann/json.hpp>

#include "Model/VirtualNetwork.h"
#include "Scheduling/WorkerRecord.h"
#include "platform/TaskName.h"
#include "platform/WireNames.h"

namespace yardhill::model
{
namespace
{
using nlohmann::json;
namespace wire = adapter::wire;

constexpr std::int64_t k_longest_lease_ms = 10000; // the platform's limit
constexpr std::size_t k_most_ends_listed = 500;
// An earlier capacity is permitted for 3 s and one entry period of 1.5 s after the entry shows the
// change; an isolated owner may not learn of the change and continues for its authority (4.5 s).
constexpr std::chrono::milliseconds k_earlier_capacity_valid{3000 + 1500 + 4500};

task_ref task_in(const json& body)
{
  return adapter::task_from_wire(body.at(wire::k_task).get<std::string>()).value();
}
} // namespace

worker_model::worker_model(common::timekeeper& time, const worker_settings& settings,
                           const advice_model& advice, run_judge& judge, course_function course)
    : m_time(time),
      m_settings(settings),
      m_advice(advice),
      m_judge(judge),
      m_course(std::move(course))
{
}

worker_model::~worker_model()
{
  for (const auto& [task, run] : m_runs)
  {
    m_time.cancel(run.end_event);
    m_time.cancel(run.crash_event);
  }
  m_time.cancel(m_lease_expiry_event);
  for (const waiting_hold& each : m_holds)
    m_time.cancel(each.timeout);
  m_judge.worker_gone(m_settings.life);
}

std::int64_t worker_model::clock_ms() const
{
  const auto now =
      std::chrono::duration_cast<std::chrono::milliseconds>(m_time.now().time_since_epoch());
  return std::llround(static_cast<double>(now.count()) * m_settings.clock_rate) +
         m_settings.clock_ahead.count();
}

std::string worker_model::entry(bool draining) const
{
  json out{
      {wire::k_service, m_settings.service},
      {wire::k_address, m_settings.address.address + ":" + std::to_string(m_settings.address.port)},
      {wire::k_zone, m_settings.zone},
      {wire::k_state, draining ? wire::k_draining : "ready"},
      {wire::k_labels, {"a", m_settings.rack}},
      {wire::k_clock_ms, clock_ms()},
      {wire::k_born, m_settings.started_wall_ms}};
  out[wire::k_capacity] = {{wire::k_cpu, m_settings.capacity.cpu_millis},
                           {wire::k_memory, m_settings.capacity.memory_mib},
                           {wire::k_accelerators, m_settings.capacity.accelerators}};
  return out.dump();
}

void worker_model::handle(const http::request& call, http::reply_handler done)
{
  const auto expected =
      std::find_if(call.headers.begin(), call.headers.end(),
                   [](const auto& each) { return each.first == wire::k_expected_instance; });
  if (expected != call.headers.end() && expected->second != m_settings.id)
  {
    done({421, {}, {}, false});
    return;
  }
  const json body = json::parse(call.body, nullptr, false);
  if (!body.is_object())
  {
    done({400, {}, {}, false});
    return;
  }
  const std::uint64_t fence = body.value(wire::k_fencing_token, std::uint64_t{0});
  if (fence < m_fence)
  {
    done(refusal("fence"));
    return;
  }
  const bool late =
      std::any_of(call.headers.begin(), call.headers.end(),
                  [](const auto& each) { return each.first == k_delayed_call_header; });
  const bool late_at_new_incarnation = late && m_fence == 0;
  m_fence = fence;
  if (call.target == wire::k_start_path)
    done(start(body, late, late_at_new_incarnation));
  else if (call.target == wire::k_stop_path)
    done(stop(body));
  else if (call.target == wire::k_hold_path)
    hold(body, late, std::move(done));
  else
    done({200, json{{wire::k_clock_ms, clock_ms()}}.dump(), {}, false});
}

http::reply worker_model::refusal(const char* reason) const
{
  return {409, json{{wire::k_clock_ms, clock_ms()}, {wire::k_reason, reason}}.dump(), {}, false};
}

void worker_model::extend_lease(std::int64_t until)
{
  m_lease_end = std::max(m_lease_end, std::min(until, clock_ms() + k_longest_lease_ms));
  m_time.cancel(m_lease_expiry_event);
  const double left = static_cast<double>(m_lease_end - clock_ms()) / m_settings.clock_rate;
  m_lease_expiry_event = m_time.schedule(std::chrono::milliseconds(std::llround(left) + 1),
                                         [this] { expire_lease(); });
}

void worker_model::expire_lease()
{
  m_judge.lease_lapsed(m_settings.life, m_time.now());
  while (!m_runs.empty())
    finish(m_runs.begin()->first, run_outcome::lapsed);
}

http::reply worker_model::start(const json& body, bool late, bool late_at_new_incarnation)
{
  const task_ref task = task_in(body);
  const run_number number = body.at(wire::k_run);
  const std::int64_t until = body.at(wire::k_lease_end_ms);
  const auto running = m_runs.find(task);
  if (running != m_runs.end() && running->second.number == number)
  {
    extend_lease(until);
    return {200, json{{wire::k_clock_ms, clock_ms()}}.dump(), {}, false};
  }
  const auto past = m_highest_finished.find(task);
  if ((past != m_highest_finished.end() && number <= past->second) || running != m_runs.end())
  {
    extend_lease(until); // as the platform's workers do, although they start nothing
    return refusal("old");
  }
  // The lease belongs to the worker as a whole, so an extension by a hold also covers this start.
  if (std::max(until, m_lease_end) < clock_ms())
    return refusal("late");
  const std::string ticket = body.value(wire::k_ticket, std::string());
  const scheduling::step_ref step{task.job, task.place.cycle, task.place.step};
  if (!ticket.empty() && !m_advice.valid(ticket, adapter::to_wire(step), m_settings.life))
    return refusal("ticket");
  extend_lease(until);
  m_judge.started({task, number, m_settings.life, body.value(wire::k_payload, std::string()),
                   body.value(wire::k_checkpoint, std::string()), m_time.now(), late,
                   late_at_new_incarnation});
  const run_course course = m_course(task, number, m_settings.life);
  active_run& run = m_runs[task];
  run.number = number;
  run.end_event =
      m_time.schedule(course.takes, [this, task, course]
                      { finish(task, course.fails ? run_outcome::failed : run_outcome::done); });
  if (course.crashes_after)
    run.crash_event = m_time.schedule(*course.crashes_after, [this] { crash(); });
  check_capacity(task);
  return {200, json{{wire::k_clock_ms, clock_ms()}}.dump(), {}, false};
}

void worker_model::crash()
{
  m_judge.worker_crashed(m_settings.life);
  const std::function<void()> crashed = m_crashed;
  if (crashed)
    crashed(); // destroys this object
}

std::vector<std::pair<task_ref, run_number>> worker_model::gang_runs() const
{
  std::vector<std::pair<task_ref, run_number>> runs;
  for (const auto& [task, run] : m_runs)
  {
    if (m_specs->at(task.job).steps[task.place.step].gang)
      runs.emplace_back(task, run.number);
  }
  return runs;
}

void worker_model::break_gang(const task_ref& member, run_number number)
{
  std::vector<task_ref> broken;
  for (const auto& [task, run] : m_runs)
  {
    if (task.job == member.job && task.place.cycle == member.place.cycle &&
        task.place.step == member.place.step && run.number == number)
      broken.push_back(task);
  }
  for (const task_ref& each : broken)
    finish(each, run_outcome::broken);
}

void worker_model::set_capacity(const common::resources& capacity)
{
  m_earlier_capacities.push_back({m_settings.capacity, std::nullopt});
  m_settings.capacity = capacity;
}

void worker_model::capacity_published()
{
  for (earlier_capacity& each : m_earlier_capacities)
  {
    if (!each.until)
      each.until = m_time.now() + k_earlier_capacity_valid;
  }
}

void worker_model::check_capacity(const task_ref& task)
{
  common::resources used;
  for (const auto& [each, run] : m_runs)
  {
    const auto spec = m_specs->find(each.job);
    if (spec != m_specs->end())
      used += scheduling::required_resources(spec->second.steps[each.place.step]);
  }
  std::erase_if(m_earlier_capacities, [this](const earlier_capacity& each)
                { return each.until && *each.until < m_time.now(); });
  const bool fitted =
      std::any_of(m_earlier_capacities.begin(), m_earlier_capacities.end(),
                  [&used](const earlier_capacity& each) { return used.fits_in(each.capacity); });
  if (!used.fits_in(m_settings.capacity) && !fitted)
    m_judge.overloaded(m_settings.life, "by a start of " + adapter::to_wire(task));
}

http::reply worker_model::stop(const json& body)
{
  const task_ref task = task_in(body);
  const run_number number = body.at(wire::k_run);
  m_highest_finished[task] = std::max(m_highest_finished[task], number);
  const auto running = m_runs.find(task);
  if (running != m_runs.end() && running->second.number <= number && !running->second.stopping)
  {
    running->second.stopping = true;
    running->second.checkpoint = "c" + std::to_string(m_last_end + 1) + m_settings.id;
    m_judge.saved(task, running->second.checkpoint);
    m_time.cancel(running->second.end_event);
    running->second.end_event =
        m_time.schedule(m_settings.stop_time, [this, task] { finish(task, run_outcome::stopped); });
  }
  return {200, json{{wire::k_clock_ms, clock_ms()}}.dump(), {}, false};
}

void worker_model::finish(const task_ref& task, run_outcome how)
{
  auto ended = m_runs.extract(task);
  if (ended.empty())
    return;
  const active_run& run = ended.mapped();
  m_time.cancel(run.end_event);
  m_time.cancel(run.crash_event);
  m_highest_finished[task] = std::max(m_highest_finished[task], run.number);
  ++m_last_end;
  m_ends[m_last_end] = {m_last_end, task, run.number, how, run.checkpoint};
  m_judge.ended(task, run.number, m_settings.life, how);
  for (const waiting_hold& each : std::exchange(m_holds, {}))
  {
    m_time.cancel(each.timeout);
    answer_hold(each);
  }
}

// The answer to a hold that was carried out late reaches nobody, so it tells no ends.
void worker_model::answer_hold(const waiting_hold& which)
{
  std::size_t told = 0;
  for (auto each = m_ends.begin(); !which.late && each != m_ends.end() && told < k_most_ends_listed;
       ++each, ++told)
    m_judge.listed(each->second.task, each->second.run, m_settings.life, m_time.now());
  which.done(lists());
}

http::reply worker_model::lists() const
{
  json running = json::array();
  for (const auto& [task, run] : m_runs)
    running.push_back({adapter::to_wire(task), run.number, run.checkpoint, 50, 0});
  json ended = json::array();
  for (const auto& [number, end] : m_ends)
  {
    if (ended.size() < k_most_ends_listed)
      ended.push_back({number, adapter::to_wire(end.task), end.run,
                       std::string(scheduling::to_text(end.how)), end.checkpoint});
  }
  const json out{{wire::k_clock_ms, clock_ms()},
                 {wire::k_born, m_settings.started_wall_ms},
                 {wire::k_running, std::move(running)},
                 {wire::k_finished, std::move(ended)}};
  return {200, out.dump(), {}, false};
}

void worker_model::hold(const json& body, bool late, http::reply_handler done)
{
  const scheduling::end_number acknowledged_end =
      body.value(wire::k_acknowledged_end, std::uint64_t{0});
  while (!m_ends.empty() && m_ends.begin()->first <= acknowledged_end)
  {
    const scheduling::listed_end& end = m_ends.begin()->second;
    m_judge.acknowledged(end.task, end.run, m_settings.life, end.how, m_time.now());
    m_ends.erase(m_ends.begin());
  }
  if (body.contains(wire::k_lease_end_ms))
    extend_lease(body[wire::k_lease_end_ms]);
  const auto wait = std::chrono::milliseconds(body.value(wire::k_wait_ms, 0));
  if (!m_ends.empty() || wait.count() == 0)
  {
    answer_hold({std::move(done), 0, late});
    return;
  }
  m_holds.push_back({std::move(done), 0, late});
  const auto entry = std::prev(m_holds.end());
  entry->timeout = m_time.schedule(wait,
                                   [this, entry]
                                   {
                                     const waiting_hold ended = std::move(*entry);
                                     m_holds.erase(entry);
                                     answer_hold(ended);
                                   });
}
} // namespace yardhill::model
