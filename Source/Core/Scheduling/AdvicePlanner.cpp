// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/AdvicePlanner.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "Common/EventLog.h"

namespace yardhill::scheduling
{
namespace
{
// A reply that arrives later than its expected duration plus this limit was delayed on its way, so
// its tickets were issued earlier than it arrived.
constexpr milliseconds k_reply_delay_limit{200};
// Tickets for a worker that is reserved for a step are requested so that they arrive this long
// before the capacity should be free.
constexpr milliseconds k_ticket_lead_time{300};
// The share of the workers asked about that a queue's policy permits, until answers show it.
constexpr double k_initial_permitted_share = 0.5;
// Lower bound of the learnt share. At 0, every call would name as many workers as it may.
constexpr double k_min_permitted_share = 0.05;
// Weight of the latest answer in the learnt share.
constexpr double k_share_learning_rate = 0.1;

bool is_long(const jobs::queue_policy::advice_policy& policy)
{
  return policy.per_call >= k_long_advice_threshold;
}
} // namespace

advice_planner::advice_planner(scheduler_state& state, const zone_chooser& zones,
                               const reservations& reserved, const start_rules& rules)
    : m_state(state), m_zones(zones), m_reservations(reserved), m_rules(rules)
{
}

// A call names as many workers as the waiting tasks should need, the most useful ones first: each
// further worker makes the call longer, and each further call costs its fixed time again.
//
// For the first long call and for steps that are not ready yet, workers that cannot take a task now
// are candidates too. Otherwise they are not, since a ticket expires before they can.
std::vector<worker_id> advice_planner::candidate_workers(const job_record& job,
                                                         const step_need& need,
                                                         request_reason reason,
                                                         time_point now) const
{
  const step_ref& which = need.step;
  const step_record& step = job.cycles()[which.cycle].steps[which.step];
  std::vector<candidate> candidates;
  for (const auto& [id, worker] : m_state.workers)
  {
    const std::uint32_t fitting = m_rules.tasks_that_fit_now(*worker, job, which, need.tasks);
    // Checked first because most workers have no free capacity while steps wait.
    if (reason == request_reason::waiting && fitting == 0 &&
        !reserved_in_time(*worker, job, which, now))
      continue;
    if (std::none_of(need.places.begin(), need.places.end(),
                     [&, &named = *worker](const task_place& place)
                     { return worth_naming(named, job, place, reason, now); }))
      continue;
    candidates.push_back({worker.get(), expected_tasks(job, step, *worker, fitting, reason)});
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const candidate& left, const candidate& right)
                   {
                     return std::tuple(left.expected_tasks, left.worker->free().cpu_millis) >
                            std::tuple(right.expected_tasks, right.worker->free().cpu_millis);
                   });
  std::vector<worker_id> ids;
  const double wanted = need.tasks * margin_after(step.permits.fruitless);
  double expected = 0.0;
  for (const candidate& each : candidates)
  {
    const bool full = each.expected_tasks == 0.0;
    if (expected >= wanted || ids.size() >= (full ? m_state.options.max_full_advice_workers
                                                  : m_state.options.max_advice_workers))
      break;
    expected += each.expected_tasks;
    ids.push_back(each.worker->info.id);
  }
  return ids;
}

double advice_planner::margin_after(unsigned fruitless_replies) const
{
  return m_state.options.advice_margin *
         static_cast<double>(
             1U << std::min(fruitless_replies, m_state.options.max_advice_doublings));
}

// The first waiting task that is not suspected of crashing workers stands for all such tasks, since
// they may start on the same workers.
std::vector<task_place> advice_planner::distinct_waiting_tasks(const job_record& job,
                                                               const step_ref& which)
{
  const step_record& step = job.cycles()[which.cycle].steps[which.step];
  std::vector<task_place> places;
  bool unsuspected_found = false;
  for (std::uint32_t i = 0; i < step.tasks.size(); ++i)
  {
    const task_record& task = step.tasks[i];
    if (task.phase != task_phase::waiting)
      continue;
    if (!suspected(task.crashes) && std::exchange(unsuspected_found, true))
      continue;
    places.push_back({which.cycle, which.step, i});
  }
  return places;
}

// A suspected task may have a worker kept for it, so workers that can become fit for its trial are
// named as well.
bool advice_planner::worth_naming(const worker_record& worker, const job_record& job,
                                  const task_place& place, request_reason reason,
                                  time_point now) const
{
  const step_record& step = job.cycles()[place.cycle].steps[place.step];
  if (m_rules.ticket(job, step, worker.info.id, now) != nullptr)
    return false;
  const task_record& task = step.tasks[place.index];
  const obstacle found = m_rules.obstacle_at(
      worker, job, place, now, suspected(task.crashes) ? isolation::ignored : isolation::enforced);
  if (found == obstacle::no_ticket)
    return true;
  if (reason == request_reason::waiting)
    return found == obstacle::no_room &&
           reserved_in_time(worker, job, {job.id(), place.cycle, place.step}, now);
  return is_temporary(found);
}

advice_planner::step_need advice_planner::need_of_waiting(const job_record& job,
                                                          const step_ref& which)
{
  const step_record& step = job.cycles()[which.cycle].steps[which.step];
  const workspace_account* const account = job.account();
  const std::uint32_t tasks =
      account == nullptr ? step.waiting : account->admitted(step.spec->demand, step.waiting);
  return {which, tasks, distinct_waiting_tasks(job, which)};
}

double advice_planner::expected_tasks(const job_record& job, const step_record& step,
                                      const worker_record& worker, std::uint32_t fitting,
                                      request_reason reason) const
{
  // Capacity that is not free now may be by the time that the reply arrives.
  if (reason != request_reason::first_long_call)
    fitting = std::max(fitting, 1U);
  // Workers that are known not to be permitted are no candidates.
  const auto known = step.permits.permitted.find(worker.info.id);
  const auto share = m_permitted_shares.find(job.accepted().queue);
  const double permitted = known != step.permits.permitted.end() ? 1.0
                           : share == m_permitted_shares.end()   ? k_initial_permitted_share
                                                                 : share->second;
  return permitted * fitting;
}

void advice_planner::learn_permitted_share(const job_record& job, const step_permits& permits,
                                           const advice_answer& answer)
{
  std::size_t unknown = 0;
  for (const worker_id& worker : answer.asked)
    unknown += permits.permitted.contains(worker) ? 0 : 1;
  if (unknown == 0)
    return;
  std::size_t permitted = 0;
  for (const admission_ticket& each : answer.permitted)
    permitted += permits.permitted.contains(each.worker) ? 0 : 1;
  const double share = static_cast<double>(permitted) / static_cast<double>(unknown);
  double& learnt =
      m_permitted_shares.try_emplace(job.accepted().queue, k_initial_permitted_share).first->second;
  learnt += k_share_learning_rate * (share - learnt);
  learnt = std::max(learnt, k_min_permitted_share);
}

bool advice_planner::reserved_in_time(const worker_record& worker, const job_record& job,
                                      const step_ref& which, time_point now) const
{
  const auto expected = m_reservations.expected_free_time(which, worker.info.id);
  return expected && *expected - now <= job.policy().advice->per_call + k_ticket_lead_time;
}

void advice_planner::want(job_record& job, std::uint32_t cycle, std::uint32_t step, time_point now)
{
  if (job.policy().advice)
    request_within_budget(job, need_of_waiting(job, {job.id(), cycle, step}), now);
}

void advice_planner::want_for_running(job_record& job, const std::vector<task_place>& running,
                                      time_point now)
{
  if (!job.policy().advice || running.empty())
    return;
  const step_ref which{job.id(), running.front().cycle, running.front().step};
  request_within_budget(job, {which, static_cast<std::uint32_t>(running.size()), running}, now);
}

void advice_planner::request_within_budget(job_record& job, const step_need& need, time_point now)
{
  step_record& record = job.cycles()[need.step.cycle].steps[need.step.step];
  const request_reason reason = reason_for(job, record);
  if (reason == request_reason::first_long_call)
  {
    send_in_order(job, need, reason, now);
    return;
  }
  service_capacity& capacity = m_capacity[job.policy().service];
  if (capacity.idle_cpu_millis <= 0 || m_vain_searches >= m_state.options.max_vain_searches)
  {
    if (!record.permits.asking)
      record.permits.latest_attempt = advice_attempt::no_budget;
    return;
  }
  if (!record.permits.asking && surely_no_room(capacity, need, record))
  {
    record.permits.latest_attempt = advice_attempt::no_worker;
    return;
  }
  send_in_order(job, need, reason, now);
  // Steps for which no worker has capacity, and those whose requests are paused, leave it to
  // others.
  const advice_attempt attempt = record.permits.latest_attempt;
  if (attempt == advice_attempt::in_flight || attempt == advice_attempt::no_slot)
    capacity.idle_cpu_millis -=
        static_cast<std::int64_t>(need.tasks) * required_resources(*record.spec).cpu_millis;
  m_vain_searches += attempt == advice_attempt::no_worker ? 1 : 0;
}

bool advice_planner::surely_no_room(const service_capacity& capacity, const step_need& need,
                                    const step_record& step) const
{
  return !required_resources(*step.spec).fits_in(capacity.largest_free) &&
         !m_reservations.any_for(need.step);
}

void advice_planner::begin_pass(std::map<std::string, service_capacity> by_service)
{
  m_capacity = std::move(by_service);
  m_vain_searches = 0;
}

void advice_planner::send_in_order(job_record& job, const step_need& need, request_reason reason,
                                   time_point now)
{
  const step_permits& permits = job.cycles()[need.step.cycle].steps[need.step.step].permits;
  if (permits.asking)
    return;
  send_request(job, need, reason, now);
  if (permits.asking)
    kind_of(job).overdue_used_latest_slot = false;
  kind_of(job).ordered_request_lacked_slot |= permits.latest_attempt == advice_attempt::no_slot;
}

// The duration of a long call hardly depends on the number of workers it names, and permissions do
// not change. So the first long call asks about all workers, also those without free capacity.
advice_planner::request_reason advice_planner::reason_for(const job_record& job,
                                                          const step_record& step)
{
  return needs_long_call(job) && step.permits.permitted.empty() ? request_reason::first_long_call
                                                                : request_reason::waiting;
}

bool advice_planner::request_overdue(job_record& job, std::uint32_t cycle, std::uint32_t step,
                                     time_point now)
{
  step_record& record = job.cycles()[cycle].steps[step];
  send_request(job, need_of_waiting(job, {job.id(), cycle, step}), reason_for(job, record), now);
  kind_of(job).overdue_used_latest_slot |= record.permits.asking;
  return record.permits.asking;
}

bool advice_planner::needs_long_call(const job_record& job)
{
  return job.policy().advice && is_long(*job.policy().advice);
}

bool advice_planner::slot_free(bool is_long_call) const
{
  const auto in_flight = std::count_if(m_in_flight.begin(), m_in_flight.end(),
                                       [is_long_call](const auto& each)
                                       { return each.second.is_long == is_long_call; });
  return static_cast<std::size_t>(in_flight) <
         (is_long_call ? m_call_slots.long_calls : m_call_slots.short_calls);
}

bool advice_planner::can_request_overdue(const job_record& job, std::uint32_t cycle,
                                         std::uint32_t step, time_point now) const
{
  const step_permits& permits = job.cycles()[cycle].steps[step].permits;
  if (!job.policy().advice || permits.asking || now < permits.ask_after)
    return false;
  const call_kind& kind = m_call_kinds.at(needs_long_call(job) ? 1 : 0);
  return slot_free(needs_long_call(job)) &&
         !(kind.ordered_request_lacked_slot && kind.overdue_used_latest_slot);
}

void advice_planner::begin_requests_in_order()
{
  for (call_kind& each : m_call_kinds)
    each.ordered_request_lacked_slot = false;
}

void advice_planner::send_request(job_record& job, const step_need& need, request_reason reason,
                                  time_point now)
{
  const step_ref& which = need.step;
  step_record& record = job.cycles()[which.cycle].steps[which.step];
  step_permits& permits = record.permits;
  if (!job.policy().advice || permits.asking)
    return;
  if (now < permits.ask_after)
  {
    permits.latest_attempt = advice_attempt::paused;
    return;
  }
  const bool is_long_call = needs_long_call(job);
  if (!slot_free(is_long_call))
  {
    permits.latest_attempt = advice_attempt::no_slot;
    return;
  }
  permits.last_advice_turn = now;
  // The begin mark is written while the request is in flight, to save time.
  if (record.begun.mark == begin_mark::none)
    m_state.request_begin_mark(job, record, m_zones.choose(job, which.cycle, which.step, now));
  std::vector<worker_id> workers = candidate_workers(job, need, reason, now);
  if (workers.empty())
  {
    permits.latest_attempt = advice_attempt::no_worker;
    // The step's zone has no suitable worker, or none with free capacity.
    if (reason != request_reason::ahead)
      m_state.request_begin_mark_in_all_zones(job, record);
    return;
  }
  permits.asking = true;
  permits.latest_attempt = advice_attempt::in_flight;
  permits.latest_call = step_permits::call{now, std::nullopt, workers.size()};
  permits.latest_call->known_permitted = static_cast<std::size_t>(std::count_if(
      workers.begin(), workers.end(),
      [&permits](const worker_id& each) { return permits.permitted.contains(each); }));
  const auto expected_duration =
      job.policy().advice->per_call +
      std::chrono::duration_cast<milliseconds>(job.policy().advice->per_worker * workers.size());
  pending_request& request = m_in_flight[which];
  request = {is_long_call, now + expected_duration + k_reply_delay_limit, {}};
  for (const worker_id& worker : workers)
    request.incarnations[worker] = m_state.workers.at(worker)->number;
  m_state.commands.emplace_back(advice_command{which, std::move(workers), expected_duration});
}

bool advice_planner::ready_soon(job_record& job, std::uint32_t cycle, std::uint32_t step,
                                time_point now) const
{
  for (const std::uint32_t needed : job.cycles()[cycle].steps[step].spec->depends_on)
  {
    step_record& dependency = job.cycles()[cycle].steps[needed];
    if (dependency.complete())
      continue;
    for (const task_record& task : dependency.tasks)
    {
      if (task.phase == task_phase::done)
        continue;
      if (task.runs.empty())
        return false;
      const time_point expected_end = task.runs.front()->begun + dependency.spec->estimate;
      if (expected_end > now + m_state.options.advice_ahead)
        return false;
    }
  }
  return true;
}

void advice_planner::look_ahead(job_record& job, time_point now)
{
  if (!job.policy().advice)
    return;
  for (std::uint32_t c = 0; c < job.cycles().size(); ++c)
  {
    for (std::uint32_t s = 0; s < job.cycles()[c].steps.size(); ++s)
    {
      const step_record& step = job.cycles()[c].steps[s];
      if (step.waiting == 0 || job.ready(c, s, m_state.wall(now)) ||
          !scheduler_state::within_workspace_limit(job, *step.spec))
        continue;
      const bool any_ticket =
          std::any_of(step.permits.tickets.begin(), step.permits.tickets.end(),
                      [now](const auto& each) { return each.second.until > now; });
      if (!any_ticket && ready_soon(job, c, s, now))
        send_request(job, need_of_waiting(job, {job.id(), c, s}), request_reason::ahead, now);
    }
  }
}

bool advice_planner::same_incarnation(const pending_request& request, const worker_id& worker) const
{
  const auto requested = request.incarnations.find(worker);
  const auto present = m_state.workers.find(worker);
  return requested != request.incarnations.end() && present != m_state.workers.end() &&
         present->second->number == requested->second;
}

void advice_planner::on_answer(const advice_answer& answer, time_point now)
{
  time_point issued = answer.received;
  pending_request request;
  if (auto found = m_in_flight.extract(answer.step); !found.empty())
  {
    request = std::move(found.mapped());
    issued = std::min(issued, request.reply_due);
  }
  m_state.place_again = true;
  job_record* const job = m_state.find_job(answer.step.job);
  if (job == nullptr || !job->contains({answer.step.cycle, answer.step.step, 0}))
    return;
  step_permits& permits = job->cycles()[answer.step.cycle].steps[answer.step.step].permits;
  permits.asking = false;
  permits.latest_attempt = advice_attempt::none;
  if (!answer.answered)
  {
    permits.ask_after = now + m_state.options.advice_retry;
    return;
  }
  ++permits.fruitless;
  learn_permitted_share(*job, permits, answer);
  for (const worker_id& worker : answer.asked)
  {
    if (same_incarnation(request, worker))
      permits.permitted[worker] = false;
  }
  for (auto each = permits.tickets.begin(); each != permits.tickets.end();)
    each = each->second.until <= now ? permits.tickets.erase(each) : std::next(each);
  const time_point until = issued + answer.valid - m_state.options.ticket_margin;
  for (const admission_ticket& each : answer.permitted)
  {
    if (!same_incarnation(request, each.worker))
      continue;
    permits.permitted[each.worker] = true;
    permits.tickets[each.worker] = {each.ticket, until};
  }
  // The policy permits none of these workers. The next request waits, so that the step does not ask
  // in vain without a pause; other workers may come.
  if (answer.permitted.empty())
    permits.ask_after = now + m_state.options.advice_retry;
  log_reply(*job, answer, now);
}

void advice_planner::log_reply(job_record& job, const advice_answer& answer, time_point now) const
{
  step_record& step = job.cycles()[answer.step.cycle].steps[answer.step.step];
  if (!step.permits.latest_call)
    return;
  step_permits::call& call = *step.permits.latest_call;
  call.replied = now;
  call.permitted = answer.permitted.size();
  const std::optional<std::uint32_t> waiting = step.first_waiting();
  obstacle_counts obstacles;
  for (const admission_ticket& each : answer.permitted)
  {
    const worker_record* const worker = m_state.find_worker(each.worker);
    if (worker != nullptr && waiting)
      obstacles.add(m_rules.obstacle_at(
          *worker, job, {answer.step.cycle, answer.step.step, *waiting}, now, isolation::ignored));
  }
  call.usable = obstacles.count(obstacle::none);
  common::log_request("advice", answer.step.job,
                      {{"step", answer.step.step},
                       {"waiting", step.waiting},
                       {"asked", call.named},
                       {"known", call.known_permitted},
                       {"permitted", call.permitted},
                       {"usable", call.usable},
                       {"obstacles", obstacles.text()},
                       {"took_ms", now - call.sent},
                       {"valid_ms", answer.valid}});
}
} // namespace yardhill::scheduling
