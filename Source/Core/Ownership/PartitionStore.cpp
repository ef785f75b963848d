// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Ownership/PartitionStore.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace yardhill::ownership
{
partition_store::partition_store(partition_id partition, instance_id self,
                                 const ownership_options& options, metrics& counts)
    : m_metrics(counts),
      m_rows(std::move(partition)),
      m_term(m_rows, self),
      m_writes(options),
      m_finder(m_rows),
      m_open(m_rows),
      m_ended(m_rows, options),
      m_pacer(std::move(self), options),
      m_min_commit_interval(options.urgent_commit_delay)
{
}

void partition_store::request_term(term_number term)
{
  m_term.request_at_least(term);
  m_pacer.skip_wait();
}

void partition_store::begin_term(term_number term)
{
  if (!m_term.owned())
  {
    m_open.begin();
    m_ended.begin();
  }
  m_term.begin(term);
}

void partition_store::end_term()
{
  m_term.end();
  m_open.clear();
  m_ended.clear();
  m_writes.clear();
  m_finder.clear();
}

void partition_store::append(const record_write& write, time_point now)
{
  if (write.change == record_change::find)
    m_finder.enqueue({write, now, false});
  else
    m_writes.append(write, now);
}

void partition_store::call(store_call request, step next)
{
  m_step = next;
  m_output.call = std::move(request);
}

void partition_store::read_row(step next)
{
  call(store_read{m_rows.own_key(), {}, 1}, next);
}

bool partition_store::read_failed(const store_read_result& result, time_point now)
{
  if (result.status == store_status::ok)
    return false;
  on_call_failed(result.status, now);
  return true;
}

std::optional<term_row> partition_store::read_term_row(const store_read_result& result,
                                                       time_point now)
{
  if (read_failed(result, now))
    return std::nullopt;
  std::optional<term_row> row = parse_term_row(result);
  if (!row)
    on_call_failed(store_status::unclear, now);
  return row;
}

void partition_store::row_was_read(const store_read_result& result, time_point now)
{
  const std::optional<term_row> row = read_term_row(result, now);
  if (!row)
    return;
  m_pacer.succeeded();
  partition_term::row_read_result reading = m_term.row_read(*row, term_row_version(result));
  if (reading.conflict)
    m_output.conflict = std::move(reading.conflict);
  if (reading.write)
    call(std::move(*reading.write), step::writing_row);
}

void partition_store::row_was_written(const store_write_result& result, time_point now)
{
  switch (result.status)
  {
  case store_status::ok:
    m_pacer.succeeded();
    if (const std::optional<term_number> allotted = m_term.row_written(result.version))
      m_output.allotted = allotted;
    return;
  case store_status::conflict:
  case store_status::unclear:
    m_metrics.add(retry_reason::store_conflict);
    read_row(step::checking_write);
    return;
  case store_status::limited:
  case store_status::unavailable:
  case store_status::count:
    on_call_failed(result.status, now);
    return;
  }
}

// Called after a conflict or a lost reply: the write id in the partition's row tells whether the
// row holds this store's latest write.
void partition_store::check_write(const store_read_result& result, time_point now)
{
  const std::optional<term_row> row = read_term_row(result, now);
  if (!row)
    return;
  if (m_writes.has_batch())
    check_batch_write(*row, term_row_version(result), now);
  else
    check_row_write(*row, term_row_version(result), now);
}

void partition_store::check_row_write(const term_row& row, std::uint64_t version, time_point now)
{
  if (m_term.holds_latest_write(row))
    row_was_written({store_status::ok, version}, now);
  else if (std::optional<term_row> refusal = m_term.row_overwritten(row))
    m_output.conflict = std::move(refusal);
}

void partition_store::check_batch_write(const term_row& row, std::uint64_t version, time_point now)
{
  if (m_term.holds_latest_write(row))
    committed({store_status::ok, version}, now);
  else if (m_term.unchanged(version))
    look_up_task(); // the partition's row is unchanged, so the check of a task's row failed
  else
    m_term.invalidate_row();
}

void partition_store::page_was_loaded(const store_read_result& result, time_point now)
{
  if (read_failed(result, now))
    return;
  m_pacer.succeeded();
  if (auto loaded = m_open.page_read(result, m_output.malformed_rows))
    m_output.loaded = std::move(loaded);
}

void partition_store::ended_were_listed(const store_read_result& result, time_point now)
{
  if (read_failed(result, now))
    return;
  m_pacer.succeeded();
  m_ended.page_listed(result, now);
}

void partition_store::commit(time_point now)
{
  if (!m_writes.has_batch())
  {
    // Expired rows are deleted in the same transaction, so that deletion costs no extra write.
    m_ended.select_expired(now);
    m_term.new_write();
    m_writes.fill_batch();
  }
  if (put_next_object())
    return;
  m_pacer.wait_until(now + m_min_commit_interval);
  m_writes.batch_sent(m_pacer.not_before());
  call(make_transaction(), step::committing);
}

store_transaction partition_store::make_transaction() const
{
  store_transaction transaction = m_term.transaction();
  for (const pending_write& pending : m_writes.batch())
    m_rows.add_change(transaction, pending.write);
  for (const std::string& key : m_ended.expired_keys())
    transaction.puts.push_back({key, std::nullopt});
  return transaction;
}

void partition_store::committed(const store_write_result& result, time_point now)
{
  switch (result.status)
  {
  case store_status::ok:
    m_pacer.succeeded();
    m_term.transaction_written(result.version);
    batch_was_written(now);
    return;
  case store_status::conflict:
    m_metrics.add(retry_reason::store_conflict);
    read_row(step::checking_write);
    return;
  case store_status::unclear:
    m_writes.batch_unclear();
    on_call_failed(result.status, now);
    return;
  case store_status::limited:
  case store_status::unavailable:
  case store_status::count:
    on_call_failed(result.status, now);
    return;
  }
}

void partition_store::batch_was_written(time_point now)
{
  for (const pending_write& done : m_writes.batch())
  {
    if (done.write.change == record_change::end)
      m_ended.add(done.write.task.spec.id, now);
  }
  m_ended.expired_deleted();
  report_results(m_writes.batch_written());
}

void partition_store::look_up_task()
{
  // Only accepts check their task's rows, so only they can conflict with these.
  if (m_finder.idle())
    m_finder.enqueue(m_writes.requeue_batch_except_accepts(m_pacer.not_before()));
  if (!m_finder.idle())
    call(m_finder.first_read(), step::finding_known);
}

void partition_store::known_was_read(const store_read_result& result, time_point now)
{
  if (read_failed(result, now))
    return;
  known_task_finder::outcome next = m_finder.row_read(result, m_output.malformed_rows);
  if (auto* read = std::get_if<store_read>(&next))
  {
    call(std::move(*read), step::finding_known);
    return;
  }
  if (auto* get = std::get_if<object_get>(&next))
  {
    call(std::move(*get), step::getting_object);
    return;
  }
  if (auto* known = std::get_if<record_write_result>(&next))
    m_output.results.push_back(std::move(*known));
  else if (auto* again = std::get_if<known_task_finder::retry_accept>(&next))
    m_writes.requeue_first(std::move(again->write), m_pacer.not_before());
  if (!m_finder.idle())
    look_up_task();
}

void partition_store::object_was_read(const store_read_result& result, time_point now)
{
  if (result.status != store_status::ok || result.rows.empty())
  {
    on_call_failed(store_status::unclear, now);
    return;
  }
  m_pacer.succeeded();
  m_output.results.push_back(m_finder.object_read(result.rows.front()));
}

// Sends the batch's next large result to the object store; false if there is none. The object has
// to be stored before the row that names it is written.
bool partition_store::put_next_object()
{
  stored_task* task = m_writes.next_large_result();
  if (task == nullptr)
    return false;
  task->body_object = m_rows.result_key(task->spec.id);
  call(object_put{task->body_object, task->final_answer->body}, step::putting_object);
  return true;
}

void partition_store::object_was_put(const store_write_result& result, time_point now)
{
  if (result.status != store_status::ok)
  {
    on_call_failed(result.status, now); // the retry puts the same bytes under the same key
    return;
  }
  m_pacer.succeeded();
  if (stored_task* task = m_writes.next_large_result())
    task->final_answer->body.clear();
}

// Called while the table does not answer, so that callers who wait for a write or a query get a
// result before their own deadline.
void partition_store::report_unwritten(time_point now)
{
  report_results(m_writes.handle_batch_failure(now, m_pacer.not_before()));
  report_results(m_finder.fail_queries());
  report_results(m_writes.expire_waiting(now));
}

void partition_store::report_results(std::vector<record_write_result> results)
{
  std::ranges::move(results, std::back_inserter(m_output.results));
}

void partition_store::on_call_failed(store_status status, time_point now)
{
  m_metrics.add(retry_reason::store_unavailable);
  m_pacer.failed(status, now);
  if (m_term.abandon_request())
    m_output.unavailable = true;
  report_unwritten(now);
}

void partition_store::flush()
{
  m_writes.expedite(m_pacer.not_before());
}

void partition_store::read_answered(const store_read_result& result, time_point now)
{
  m_metrics.add(counter::store_reads);
  const step answered = std::exchange(m_step, step::none);
  if (answered == step::reading_row)
    row_was_read(result, now);
  else if (answered == step::checking_write)
    check_write(result, now);
  else if (answered == step::loading && m_open.needs_load())
    page_was_loaded(result, now);
  else if (answered == step::listing_ended && m_ended.needs_listing())
    ended_were_listed(result, now);
  else if (answered == step::finding_known && !m_finder.idle())
    known_was_read(result, now);
  else if (answered == step::getting_object && m_finder.awaits_object())
    object_was_read(result, now);
}

void partition_store::write_answered(const store_write_result& result, time_point now)
{
  const step answered = std::exchange(m_step, step::none);
  if (answered == step::writing_row)
    row_was_written(result, now);
  else if (answered == step::committing && m_writes.has_batch())
    committed(result, now);
  else if (answered == step::putting_object && m_writes.has_batch())
    object_was_put(result, now);
}

void partition_store::advance(time_point now)
{
  if (m_step != step::none || m_output.call)
    return;
  if (m_pacer.down())
    report_unwritten(now);
  if (now < m_pacer.not_before() || m_term.blocked())
    return;
  if (m_term.needs_row())
    read_row(step::reading_row);
  else if (!m_term.owned())
    return;
  else if (!m_finder.idle())
    look_up_task();
  else if (m_open.needs_load())
    call(m_open.next_page(), step::loading);
  else if (m_ended.needs_listing())
    call(m_ended.next_page(), step::listing_ended);
  else if (m_writes.due(now))
    commit(now);
}

time_point partition_store::next_timer() const
{
  if (m_step != step::none || m_term.blocked())
    return k_never;
  const bool has_pending_work =
      m_open.needs_load() || m_ended.needs_listing() || !m_finder.idle() || m_writes.has_batch();
  if (m_term.needs_row() || (m_term.owned() && has_pending_work))
    return m_pacer.not_before();
  return std::max(m_pacer.not_before(), m_writes.next_due());
}

partition_store_output partition_store::take_output()
{
  return std::exchange(m_output, {});
}
} // namespace yardhill::ownership
