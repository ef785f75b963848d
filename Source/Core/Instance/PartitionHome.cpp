// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Instance/PartitionHome.h"

#include <algorithm>
#include <utility>

namespace yardhill::instance
{
partition_home::partition_home(const partition_id& partition, const instance_id& self,
                               const core_options& options,
                               const decision::placement_policy& policy, metrics& counts,
                               time_point now)
    : m_partition(partition),
      m_self(self),
      m_options(options.ownership),
      m_ownership(partition, self, options.ownership, counts, now),
      m_store(partition, self, options.ownership, counts),
      m_scheduler(partition, options.scheduling, policy, counts)
{
}

void partition_home::configure(const cell_config& cell, time_point now)
{
  std::vector<worker_id> workers;
  m_addresses.clear();
  if (const zone_config* zone = cell.find_zone(m_partition.zone))
  {
    for (const worker_config& worker : zone->workers)
    {
      if (worker.partition != m_partition.index)
        continue;
      workers.push_back(worker.id);
      m_addresses[worker.id] = worker.address;
    }
  }
  m_ownership.configure(workers, now);
  m_scheduler.configure(cell, now);
}

void partition_home::owner_heard(const instance_id& owner, term_number term, time_point now)
{
  m_ownership.owner_heard(owner, term, now);
}

void partition_home::handed_over(term_number term, time_point now)
{
  m_ownership.handed_over(term, now);
}

void partition_home::submit(const task_spec& spec, bool fresh, const decision::reply_address& from,
                            time_point now)
{
  m_scheduler.submit(spec, fresh, from, now);
}

void partition_home::cancel(const task_id& id, const decision::reply_address& from, time_point now)
{
  m_scheduler.cancel(id, from, now);
}

void partition_home::status(const task_id& id, const decision::reply_address& from)
{
  m_scheduler.status(id, from);
}

void partition_home::handle_claim_result(const claim_returned& returned, time_point now)
{
  if (returned.answer)
    m_ownership.claim_answered(returned.worker, returned.request, *returned.answer,
                               returned.sent_at, now);
  else
    m_ownership.claim_failed(returned.worker, returned.request, now);
}

void partition_home::handle_start_result(const start_returned& returned, time_point now)
{
  --m_starts_in_flight;
  switch (returned.result)
  {
  case send_result::answered:
    m_scheduler.start_answered(returned.worker, returned.answer, now);
    return;
  case send_result::unsent:
    m_scheduler.start_unsent(returned.worker, returned.attempts, now);
    return;
  case send_result::unclear:
    m_scheduler.start_unclear(returned.worker, returned.attempts);
    m_ownership.void_tickets(returned.worker);
    return;
  }
}

void partition_home::read_answered(const store_read_result& result, time_point now)
{
  m_store.read_answered(result, now);
}

void partition_home::write_answered(const store_write_result& result, time_point now)
{
  m_store.write_answered(result, now);
}

void partition_home::begin_stop()
{
  m_stopping = true;
  m_ownership.set_candidate(false);
  m_scheduler.stop_placing();
}

bool partition_home::ready_to_hand_over() const
{
  return m_starts_in_flight == 0 && (m_store.idle() || m_store.down());
}

void partition_home::release_ownership(time_point now)
{
  m_ownership.release_ownership(now);
}

void partition_home::advance(time_point now)
{
  bool more = true;
  while (more)
  {
    more = advance_ownership(now);
    more = advance_store(now) || more;
    more = advance_scheduler(now) || more;
  }
}

bool partition_home::advance_ownership(time_point now)
{
  m_ownership.advance(now);
  ownership::ownership_output out = m_ownership.take_output();
  if (out.lost)
    end_ownership();
  if (out.requested_term)
    m_store.request_term(*out.requested_term);
  if (out.became_owner)
    begin_ownership(now);
  for (const ownership::lost_worker& lost : out.lost_workers)
  {
    log(log_level::warning, "worker_lost", lost.worker.value, {}, "does not answer");
    m_scheduler.worker_lost(lost.worker, lost.lapses, now);
  }
  for (const ownership::worker_report& report : out.reports)
  {
    m_scheduler.worker_reported(report.worker, report.news, report.voided, now);
    m_ownership.set_acknowledged(report.worker, m_scheduler.settled_up_to(report.worker));
  }
  if (out.every_worker_claimed)
    m_scheduler.end_quarantine(now);
  for (ownership::worker_claim& claim : out.claims)
    m_output.commands.emplace_back(
        send_claim{claim.worker, m_addresses[claim.worker], std::move(claim.request)});
  return out.lost || out.requested_term || out.became_owner || !out.reports.empty() ||
         !out.lost_workers.empty();
}

void partition_home::begin_ownership(time_point now)
{
  log(log_level::info, "takeover", m_self.value, {}, "owns " + to_text(m_partition));
  m_scheduler.begin_term(m_ownership.term(), m_ownership.other_owners_runs_end(), now);
  m_store.begin_term(m_ownership.term());
  m_output.ownership_gained = true;
}

void partition_home::end_ownership()
{
  log(log_level::warning, "owner_lost", m_ownership.known_owner().value, {},
      "no longer owns " + to_text(m_partition));
  m_store.end_term();
  m_scheduler.end_term();
}

bool partition_home::advance_store(time_point now)
{
  if (m_stopping)
    m_store.flush();
  m_store.advance(now);
  ownership::partition_store_output out = m_store.take_output();
  if (out.allotted)
  {
    m_ownership.term_allotted(*out.allotted, now);
    if (m_ownership.owns())
      m_store.begin_term(*out.allotted);
  }
  if (out.conflict)
    m_ownership.term_conflict(out.conflict->owner, out.conflict->term, now);
  if (out.unavailable)
    m_ownership.term_unavailable(now);
  for (const record_write_result& result : out.results)
    m_scheduler.written(result, now);
  for (const std::string& key : out.malformed_rows)
    log(log_level::warning, "read_task", "table", {}, "the row " + key + " cannot be read");
  if (out.loaded && m_ownership.owns())
    m_scheduler.records_loaded(*out.loaded, now);
  const bool any =
      out.allotted || out.conflict || out.unavailable || !out.results.empty() || out.loaded;
  if (out.call)
    m_output.store_call = std::move(out.call);
  return any;
}

bool partition_home::advance_scheduler(time_point now)
{
  decision::placement_scope right = decision::placement_scope::none;
  if (m_ownership.owns())
    right = m_ownership.has_majority(now) ? decision::placement_scope::all
                                          : decision::placement_scope::local_only;
  m_scheduler.set_placement_scope(right);
  m_scheduler.set_store_down(m_store.down());
  m_scheduler.advance(now);
  decision::scheduler_output out = m_scheduler.take_output();
  send_starts(out.starts, now);
  send_stops(out.stops);
  for (const record_write& write : out.writes)
    m_store.append(write, now);
  for (decision::task_log_event& note : out.notes)
    log(log_level::info, std::string(note.step), {}, note.task, std::move(note.detail));
  const bool any = !out.starts.empty() || !out.writes.empty();
  std::ranges::move(out.replies, std::back_inserter(m_output.replies));
  return any;
}

void partition_home::send_starts(const std::vector<decision::worker_start>& starts, time_point now)
{
  std::map<worker_id, std::vector<start_order>> by_worker;
  for (const decision::worker_start& start : starts)
    by_worker[start.worker].push_back(start.order);
  for (auto& [worker, orders] : by_worker)
  {
    const auto permit = m_ownership.permit_for(worker, now);
    if (!permit)
    {
      std::vector<attempt_id> attempts;
      for (const start_order& order : orders)
        attempts.push_back(order.id);
      m_scheduler.start_unsent(worker, attempts, now);
      continue;
    }
    start_request request{m_ownership.term(), m_self, permit->boot, permit->ticket,
                          std::move(orders)};
    ++m_starts_in_flight;
    m_output.commands.emplace_back(
        send_start{worker, m_addresses[worker], std::move(request), now + m_options.ticket_life});
  }
}

void partition_home::send_stops(const std::vector<decision::worker_stop>& stops)
{
  std::map<std::pair<worker_id, bool>, std::vector<attempt_id>> grouped;
  for (const decision::worker_stop& stop : stops)
    grouped[{stop.worker, stop.checkpoint}].push_back(stop.attempt);
  for (auto& [key, attempts] : grouped)
  {
    const auto& [worker, checkpoint] = key;
    stop_request request{m_ownership.term(), m_self, checkpoint, std::move(attempts)};
    m_output.commands.emplace_back(send_stop{worker, m_addresses[worker], std::move(request)});
  }
}

void partition_home::log(log_level level, std::string step, std::string peer, const task_id& task,
                         std::string detail)
{
  m_output.commands.emplace_back(log_event{level, std::move(step), std::move(peer), task,
                                           m_ownership.term(), std::move(detail)});
}

time_point partition_home::next_timer() const
{
  return std::min({m_ownership.next_timer(), m_store.next_timer(), m_scheduler.next_timer()});
}

home_output partition_home::take_output()
{
  return std::exchange(m_output, {});
}
} // namespace yardhill::instance
