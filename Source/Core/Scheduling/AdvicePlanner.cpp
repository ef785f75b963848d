// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/AdvicePlanner.h"

#include <algorithm>

#include "Common/EventLog.h"

namespace yardhill::scheduling
{
namespace
{
const std::string k_no_ticket;
// An answer that comes later than its time and this was held up on its way: its tickets are older.
constexpr milliseconds k_answer_way{200};
// Tickets for a worker that is kept for a step are there this long before the room should be.
constexpr milliseconds k_before_room{300};
// Workers' clocks may run 2 % slow, and tickets live for some seconds.
constexpr milliseconds k_slow_ticket{100};

bool is_long(const jobs::queue_policy::advice_policy& policy)
{
  return policy.per_call >= k_long_advice_threshold;
}
} // namespace

advice_planner::advice_planner(scheduler_state& state, const zone_chooser& zones,
                               const reservations& kept)
    : m_state(state), m_zones(zones), m_reservations(kept)
{
}

bool suits(const worker_record& worker, const job_record& job, const step_record& step)
{
  return worker.offered() && worker.claimed && worker.claim_open() &&
         worker.info.service == job.policy().service &&
         worker.has_label(step.spec->required_label) &&
         room_of(*step.spec).fits_in(worker.info.capacity);
}

bool ruled_out(const step_record& step, const worker_id& worker)
{
  const auto known = step.permits.permitted.find(worker);
  return known != step.permits.permitted.end() && !known->second;
}

bool advice_planner::in_time(const step_permits::ticket& ticket, time_point now) const
{
  return ticket.until - m_state.request_round_trip > now;
}

const std::string* advice_planner::ticket(const job_record& job, const step_record& step,
                                          const worker_id& worker, time_point now) const
{
  if (!job.policy().advice)
    return &k_no_ticket;
  const auto found = step.permits.tickets.find(worker);
  if (found == step.permits.tickets.end() || !in_time(found->second, now))
    return nullptr;
  return &found->second.text;
}

std::optional<time_point> advice_planner::ticket_over(const job_record& job,
                                                      const step_record& step,
                                                      const worker_id& worker) const
{
  const auto found = step.permits.tickets.find(worker);
  if (!job.policy().advice || found == step.permits.tickets.end())
    return std::nullopt;
  return found->second.until + m_state.options.ticket_margin + k_slow_ticket;
}

// At first and ahead of time any suitable worker is worth asking about, the emptiest first; later
// only those with room, since a ticket does not live long enough to wait for it.
std::vector<worker_id> advice_planner::worth_asking(const job_record& job, const step_ref& which,
                                                    occasion why, time_point now) const
{
  const step_record& step = job.cycles()[which.cycle].steps[which.step];
  std::vector<const worker_record*> candidates;
  for (const auto& [id, worker] : m_state.workers)
  {
    // What most workers lack while steps wait comes first.
    if (worker->suspect || (why == occasion::waiting && !room_in_time(*worker, job, which, now)))
      continue;
    if (!suits(*worker, job, step) || !step.begun.covers(worker->info.zone) ||
        ticket(job, step, id, now) != nullptr)
      continue;
    if (why == occasion::waiting && !m_state.usable(*worker, now))
      continue;
    if (ruled_out(step, id))
      continue;
    candidates.push_back(worker.get());
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const worker_record* left, const worker_record* right)
                   { return left->free().cpu_millis > right->free().cpu_millis; });
  if (candidates.size() > m_state.options.max_advice_workers)
    candidates.resize(m_state.options.max_advice_workers);
  std::vector<worker_id> ids;
  ids.reserve(candidates.size());
  for (const worker_record* worker : candidates)
    ids.push_back(worker->info.id);
  return ids;
}

bool advice_planner::room_in_time(const worker_record& worker, const job_record& job,
                                  const step_ref& which, time_point now) const
{
  const step_record& step = job.cycles()[which.cycle].steps[which.step];
  if (room_of(*step.spec).fits_in(worker.free()))
    return m_reservations.allows(worker, job, step, now) ||
           m_reservations.expected(which, worker.info.id).has_value();
  const auto expected = m_reservations.expected(which, worker.info.id);
  return expected && *expected - now <= job.policy().advice->per_call + k_before_room;
}

void advice_planner::want(job_record& job, std::uint32_t cycle, std::uint32_t step, time_point now)
{
  const step_record& in = job.cycles()[cycle].steps[step];
  if (!job.policy().advice)
    return;
  // What a long call costs hardly depends on how many workers it names, and who is permitted does
  // not change: the first one asks about all, with room or without.
  if (is_long(*job.policy().advice) && in.permits.permitted.empty())
  {
    ask(job, cycle, step, occasion::first_long, now);
    return;
  }
  if (m_budget <= 0)
    return;
  m_budget -= static_cast<std::int64_t>(in.waiting) * room_of(*in.spec).cpu_millis;
  ask(job, cycle, step, occasion::waiting, now);
}

void advice_planner::want_in_turn(job_record& job, std::uint32_t cycle, std::uint32_t step,
                                  time_point now)
{
  const bool first_long =
      is_long(*job.policy().advice) && job.cycles()[cycle].steps[step].permits.permitted.empty();
  ask(job, cycle, step, first_long ? occasion::first_long : occasion::waiting, now);
}

void advice_planner::ask(job_record& job, std::uint32_t cycle, std::uint32_t step, occasion why,
                         time_point now)
{
  step_record& in = job.cycles()[cycle].steps[step];
  step_permits& permits = in.permits;
  if (!job.policy().advice || permits.asking || now < permits.ask_after)
    return;
  const bool long_call = is_long(*job.policy().advice);
  const auto taken =
      std::count_if(m_under_way.begin(), m_under_way.end(),
                    [long_call](const auto& each) { return each.second.is_long == long_call; });
  if (static_cast<std::size_t>(taken) >= (long_call ? m_slots.long_calls : m_slots.short_calls))
    return;
  permits.last_advice_turn = now;
  // Written while the advice is on its way.
  if (in.begun.mark == begin_mark::none)
    m_state.request_begin_mark(job, in, m_zones.choose(job, cycle, step, now));
  std::vector<worker_id> workers = worth_asking(job, {job.id(), cycle, step}, why, now);
  if (workers.empty())
  {
    // Its zone has no worker for it, or none with room.
    if (why != occasion::ahead)
      m_state.request_begin_mark_in_all_zones(job, in);
    return;
  }
  permits.asking = true;
  const auto expected =
      job.policy().advice->per_call +
      std::chrono::duration_cast<milliseconds>(job.policy().advice->per_worker * workers.size());
  question& asked = m_under_way[{job.id(), cycle, step}];
  asked = {long_call, now + expected + k_answer_way, {}};
  for (const worker_id& worker : workers)
    asked.lives[worker] = m_state.workers.at(worker)->number;
  m_state.commands.emplace_back(
      advice_command{{job.id(), cycle, step}, std::move(workers), expected});
}

bool advice_planner::soon(job_record& job, std::uint32_t cycle, std::uint32_t step,
                          time_point now) const
{
  for (const std::uint32_t needed : job.cycles()[cycle].steps[step].spec->depends_on)
  {
    step_record& before = job.cycles()[cycle].steps[needed];
    if (before.complete())
      continue;
    for (const task_record& task : before.tasks)
    {
      if (task.phase == task_phase::done)
        continue;
      if (task.runs.empty())
        return false;
      const time_point expected_end = task.runs.front()->begun + before.spec->estimate;
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
      if (step.waiting == 0 || job.ready(c, s, m_state.wall(now)))
        continue;
      const bool any_ticket =
          std::any_of(step.permits.tickets.begin(), step.permits.tickets.end(),
                      [now](const auto& each) { return each.second.until > now; });
      if (!any_ticket && soon(job, c, s, now))
        ask(job, c, s, occasion::ahead, now);
    }
  }
}

bool advice_planner::same_life(const question& asked, const worker_id& worker) const
{
  const auto life = asked.lives.find(worker);
  const auto present = m_state.workers.find(worker);
  return life != asked.lives.end() && present != m_state.workers.end() &&
         present->second->number == life->second;
}

void advice_planner::on_answer(const advice_answer& answer, time_point now)
{
  time_point issued = answer.received;
  question asked;
  if (auto found = m_under_way.extract(answer.step); !found.empty())
  {
    asked = std::move(found.mapped());
    issued = std::min(issued, asked.answer_due);
  }
  m_state.place_again = true;
  job_record* const job = m_state.find_job(answer.step.job);
  if (job == nullptr || !job->contains({answer.step.cycle, answer.step.step, 0}))
    return;
  step_permits& permits = job->cycles()[answer.step.cycle].steps[answer.step.step].permits;
  permits.asking = false;
  if (!answer.answered)
  {
    permits.ask_after = now + m_state.options.advice_retry;
    return;
  }
  for (const worker_id& worker : answer.asked)
  {
    if (same_life(asked, worker))
      permits.permitted[worker] = false;
  }
  for (auto each = permits.tickets.begin(); each != permits.tickets.end();)
    each = each->second.until <= now ? permits.tickets.erase(each) : std::next(each);
  const time_point until = issued + answer.valid - m_state.options.ticket_margin;
  for (const admission_ticket& each : answer.permitted)
  {
    if (!same_life(asked, each.worker))
      continue;
    permits.permitted[each.worker] = true;
    permits.tickets[each.worker] = {each.ticket, until};
  }
  // No worker may run the step: others may come, or these may be asked about in vain for ever.
  if (answer.permitted.empty())
    permits.ask_after = now + m_state.options.advice_retry;
  common::log_request("advice", answer.step.job,
                      {{"step", answer.step.step},
                       {"asked", answer.asked.size()},
                       {"permitted", answer.permitted.size()},
                       {"valid_ms", answer.valid}});
}
} // namespace yardhill::scheduling
