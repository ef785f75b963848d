// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Replay/WorkerModel.h"

#include <algorithm>
#include <utility>

#include "Common/Hash.h"
#include "Common/Json.h"

namespace yardhill::replay
{
run_plan plan_of(const task_spec& spec)
{
  run_plan plan;
  plan.run = spec.expected_run;
  plan.seed = spec.payload;
  const json payload = json::parse(spec.payload, nullptr, false);
  if (payload.is_discarded() || !payload.is_object())
    return plan;
  if (payload.contains("run_us"))
    plan.run = duration{payload["run_us"].get<std::int64_t>()};
  plan.bytes = payload.value("bytes", plan.bytes);
  plan.fails = payload.value("fails", false);
  plan.uses = payload.value("uses", plan.uses);
  return plan;
}

std::string result_of(const run_plan& plan)
{
  std::string result;
  result.reserve(plan.bytes + sizeof(std::uint64_t));
  std::uint64_t state = stable_hash(plan.seed);
  while (result.size() < plan.bytes)
  {
    state = stable_hash(plan.seed, state);
    for (std::size_t byte = 0; byte < sizeof state; ++byte)
      result.push_back(static_cast<char>(state >> (8 * byte)));
  }
  result.resize(plan.bytes);
  return result;
}

worker_model::worker_model(const worker_config& config, const ownership_options& options,
                           std::string boot)
    : m_config(config), m_options(options), m_boot(std::move(boot))
{
}

bool worker_model::has_update_for(const claim_request& request) const
{
  return request.term != m_term || request.owner != m_owner || m_reported_moment != m_moment ||
         request.acknowledged_boot != m_boot;
}

bool worker_model::is_valid_ticket(std::uint64_t ticket, time_point now) const
{
  return std::ranges::any_of(
      m_tickets, [&](const auto& issued)
      { return issued.first == ticket && now - issued.second <= m_options.ticket_life; });
}

void worker_model::take(const claim_request& request, time_point now)
{
  const bool higher = request.term > m_term;
  const bool same = request.term != 0 && request.term == m_term && request.owner == m_owner;
  if (!higher && !same)
    return;
  if (higher)
  {
    m_term = request.term;
    m_owner = request.owner;
    m_tickets.clear();
    ++m_moment;
  }
  m_last_claim_at = now;
  if (is_valid_ticket(request.ticket, now))
    m_lease_until = now + m_options.task_lease;
  if (request.void_tickets)
    m_tickets.clear();
  if (request.acknowledged_boot != m_boot)
    return;
  std::erase_if(m_ended,
                [&](const ended_attempt& ended)
                {
                  const bool settled = ended.sequence <= request.acknowledged;
                  if (settled)
                    m_ended_terms.erase(ended.id);
                  return settled;
                });
}

claim_answer worker_model::answer(const claim_request& request, time_point now)
{
  claim_answer answer;
  answer.accepted = request.term != 0 && request.term == m_term && request.owner == m_owner;
  answer.term = m_term;
  answer.owner = m_owner;
  answer.owner_age = m_term == 0 ? m_options.task_lease : now - m_last_claim_at;
  answer.boot = m_boot;
  answer.leaving = m_faults.leaving;
  answer.moment = m_moment;
  if (!answer.accepted)
    return answer;
  m_reported_moment = m_moment;
  answer.ticket = m_next_ticket++;
  m_tickets.emplace_back(answer.ticket, now);
  constexpr std::size_t max_tickets = 64;
  if (m_tickets.size() > max_tickets)
    m_tickets.pop_front();
  for (const auto& [id, running] : m_running)
    answer.running.push_back({id, running.term == m_term ? std::string{} : running.order.spec});
  for (const ended_attempt& ended : m_ended)
  {
    answer.ended.push_back(ended);
    if (m_ended_terms.at(ended.id) == m_term)
      answer.ended.back().spec.clear();
  }
  answer.used = current_usage(now);
  return answer;
}

resources worker_model::current_usage(time_point now) const
{
  resources sum;
  for (const auto& [id, task] : m_running)
  {
    if (now - task.started < m_faults.usage_lag)
      continue;
    resources used = scaled(task.order.demand, task.plan.uses);
    used.slots = 0;
    used.connections = 0;
    sum += used;
  }
  return sum;
}

start_refusal worker_model::check_start(const start_request& request, const start_order& order,
                                        time_point now) const
{
  if (request.term != m_term || request.owner != m_owner)
    return start_refusal::lower_term;
  if (request.boot != m_boot)
    return start_refusal::other_boot;
  if (m_running.contains(order.id))
    return start_refusal::none;
  if (m_accepted_attempts.contains(order.id))
    return start_refusal::already_ran;
  if (!is_valid_ticket(request.ticket, now))
    return start_refusal::old_ticket;
  if (m_faults.leaving)
    return start_refusal::leaving;
  if (!(m_granted + order.demand).fits_in(m_config.capacity))
    return start_refusal::no_room;
  return start_refusal::none;
}

start_answer worker_model::start(const start_request& request, time_point now)
{
  start_answer answer;
  for (const start_order& order : request.orders)
  {
    const start_refusal refusal = check_start(request, order, now);
    answer.results.push_back({order.id, refusal});
    if (refusal == start_refusal::none && !m_running.contains(order.id))
      begin(request, order, now);
  }
  answer.moment = m_moment;
  return answer;
}

void worker_model::begin(const start_request& request, const start_order& order, time_point now)
{
  running_task task;
  task.order = order;
  task.spec = task_spec_from(order.spec);
  task.plan = plan_of(task.spec);
  task.plan.fails = task.plan.fails || m_faults.fails_everything;
  task.term = request.term;
  task.started = now;
  const bool endless = task.spec.kind == task_kind::service;
  task.ends = endless ? k_never : now + task.plan.run;
  if (m_faults.fails_everything)
    task.ends = now + std::chrono::milliseconds{1};
  task.record = m_record.size();
  m_record.push_back({order.id, now, k_never, attempt_result::failed, order.repeatable});
  m_granted += order.demand;
  if (!m_granted.fits_in(m_config.capacity))
    ++m_overcommitted;
  m_accepted_attempts.insert(order.id);
  m_running.emplace(order.id, std::move(task));
  m_lease_until = std::max(m_lease_until, now + m_options.task_lease);
  ++m_moment;
}

void worker_model::stop(const stop_request& request, time_point now)
{
  if (request.term != m_term || request.owner != m_owner)
    return;
  for (const attempt_id& id : request.attempts)
    end(id, request.checkpoint ? attempt_result::checkpointed : attempt_result::stopped, now);
}

void worker_model::end(const attempt_id& id, attempt_result result, time_point now)
{
  const auto found = m_running.find(id);
  if (found == m_running.end())
    return;
  const running_task& task = found->second;
  ended_attempt ended;
  ended.sequence = m_next_sequence++;
  ended.id = id;
  ended.result = result;
  ended.ran = now - task.started;
  ended.spec = task.order.spec;
  if (result == attempt_result::done)
    ended.body = result_of(task.plan);
  m_ended_terms[id] = task.term;
  m_ended.push_back(std::move(ended));
  m_record[task.record].ended = now;
  m_record[task.record].result = result;
  m_granted -= task.order.demand;
  m_running.erase(found);
  ++m_moment;
}

void worker_model::advance(time_point now)
{
  std::vector<std::pair<time_point, attempt_id>> finished;
  for (const auto& [id, task] : m_running)
  {
    if (task.ends <= now)
      finished.emplace_back(task.ends, id);
  }
  std::ranges::sort(finished);
  for (const auto& [at, id] : finished)
    end(id, m_running.at(id).plan.fails ? attempt_result::failed : attempt_result::done, at);
  if (m_running.empty() || now < m_lease_until)
    return;
  std::vector<attempt_id> lapsed;
  for (const auto& [id, task] : m_running)
    lapsed.push_back(id);
  for (const attempt_id& id : lapsed)
    end(id, attempt_result::lapsed, now);
}

time_point worker_model::next_event() const
{
  if (m_running.empty())
    return k_never;
  time_point next = m_lease_until;
  for (const auto& [id, task] : m_running)
    next = std::min(next, task.ends);
  return next;
}

void worker_model::reboot(std::string boot, time_point now)
{
  for (auto& [id, task] : m_running)
  {
    m_record[task.record].ended = now;
    m_record[task.record].result = attempt_result::lapsed;
  }
  m_running.clear();
  m_ended.clear();
  m_ended_terms.clear();
  m_accepted_attempts.clear();
  m_tickets.clear();
  m_granted = {};
  m_term = 0;
  m_owner = {};
  m_boot = std::move(boot);
  ++m_moment;
}
} // namespace yardhill::replay
