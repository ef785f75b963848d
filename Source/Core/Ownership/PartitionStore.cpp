// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Ownership/PartitionStore.h"

#include <algorithm>
#include <utility>

#include "Common/Error.h"
#include "Common/Hash.h"
#include "Common/Json.h"

namespace yardhill::ownership
{
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(term_row, term, owner, write)

namespace
{
constexpr const char* k_open = "open";
constexpr const char* k_ended = "ended";
constexpr std::uint32_t k_page = 500;
// A larger result goes to the object store; rows stay small enough to be read by the page.
constexpr std::size_t k_most_row_body = 32U << 10U;
// A caller is not kept waiting for the table longer than this.
constexpr duration k_write_patience = std::chrono::seconds{2};

// Nothing where the row is not one of ours: such a row is never written over.
std::optional<term_row> parse_row(const store_read_result& result)
{
  if (result.rows.empty())
    return term_row{};
  return parsed_or_none("read_row", "table",
                        [&result]
                        { return json::parse(result.rows.front().value).get<term_row>(); });
}

std::optional<stored_task> parse_task(const store_row& row)
{
  return parsed_or_none("read_task", "table", [&row] { return stored_task_from(row.value); });
}
} // namespace

partition_store::partition_store(partition_id partition, instance_id self,
                                 const ownership_options& options, metrics& counts)
    : m_partition(std::move(partition)),
      m_self(std::move(self)),
      m_options(options),
      m_metrics(counts)
{
}

std::string partition_store::row_key() const
{
  return "partition/" + to_text(m_partition);
}

std::string partition_store::task_prefix(const char* state) const
{
  return "task/" + to_text(m_partition) + "/" + state + "/";
}

std::string partition_store::task_key(const char* state, const task_id& task) const
{
  return task_prefix(state) + task.value;
}

void partition_store::want_term(term_number term)
{
  m_wanted = term;
  m_not_before = time_point{};
}

void partition_store::begin_term(term_number term)
{
  if (m_term == 0)
  {
    m_needs_load = true;
    m_needs_listing = true;
  }
  // The row that was written for this very term is current; any other has to be caught up.
  m_row_current = m_row_current && m_writing_term == term;
  m_term = term;
}

void partition_store::end_term()
{
  m_term = 0;
  m_row_current = false;
  m_contested = false;
  m_needs_load = false;
  m_needs_listing = false;
  m_load_after.clear();
  m_list_after.clear();
  m_ended.clear();
  m_outdated.clear();
  m_pending.clear();
  m_commit_due = k_never;
  m_batch.clear();
  m_to_find.clear();
  m_known.reset();
  m_loading.clear();
}

void partition_store::append(const record_write& write, time_point now)
{
  if (write.change == record_change::find)
  {
    m_to_find.push_back({write, now, false});
    return;
  }
  const bool awaited =
      write.change == record_change::accept || write.change == record_change::intent;
  const duration window = awaited ? m_options.commit_soon : m_options.commit_late;
  m_commit_due = std::min(m_commit_due, now + window);
  m_pending.push_back({write, now, false});
}

void partition_store::call(store_call request, step next)
{
  m_step = next;
  m_output.call = std::move(request);
}

void partition_store::read_row(step next)
{
  call(store_read{row_key(), {}, 1}, next);
}

void partition_store::row_was_read(const store_read_result& result, time_point now)
{
  if (result.status != store_status::ok)
  {
    failed(result.status, now);
    return;
  }
  const std::optional<term_row> read = parse_row(result);
  if (!read)
  {
    failed(store_status::unclear, now);
    return;
  }
  succeeded();
  const term_row& row = *read;
  m_row_version = result.rows.empty() ? 0 : result.rows.front().version;
  if (m_wanted)
  {
    write_row(std::max(*m_wanted, row.term + 1), m_row_version);
    return;
  }
  if (m_term == 0)
    return;
  if (row.term == m_term && row.owner == m_self)
  {
    m_row_current = true;
    m_writing_term = m_term;
    return;
  }
  if (row.owner != m_self && row.term >= m_term)
  {
    // Whose partition it is the workers have to say; until then nothing is written.
    m_contested = true;
    m_output.conflict = row;
    return;
  }
  // Catching the row up with a term that the workers allotted while the table was away.
  write_row(std::max(m_term, row.term), m_row_version);
}

void partition_store::write_row(term_number term, std::uint64_t version)
{
  m_writing_term = term;
  m_write_id = m_self.value + "/" + std::to_string(++m_write_count);
  store_transaction transaction;
  transaction.checks.push_back({row_key(), version});
  transaction.puts.push_back({row_key(), json(term_row{term, m_self, m_write_id}).dump()});
  call(std::move(transaction), step::writing_row);
}

void partition_store::row_was_written(const store_write_result& result, time_point now)
{
  switch (result.status)
  {
  case store_status::ok:
    succeeded();
    m_row_version = result.version;
    m_row_current = true;
    m_contested = false;
    m_wanted.reset();
    if (m_writing_term != m_term)
      m_output.allotted = m_writing_term;
    return;
  case store_status::conflict:
  case store_status::unclear:
    m_metrics.add(retry_reason::store_conflict);
    read_row(step::settling);
    return;
  case store_status::limited:
  case store_status::unavailable:
  case store_status::count:
    failed(result.status, now);
    return;
  }
}

// After a conflict or a lost answer: the row's write id says whose write it holds.
void partition_store::settle(const store_read_result& result, time_point now)
{
  if (result.status != store_status::ok)
  {
    failed(result.status, now);
    return;
  }
  const std::optional<term_row> read = parse_row(result);
  if (!read)
  {
    failed(store_status::unclear, now);
    return;
  }
  const term_row& row = *read;
  const std::uint64_t version = result.rows.empty() ? 0 : result.rows.front().version;
  const bool ours = row.write == m_write_id;
  if (m_batch.empty())
  {
    if (ours)
    {
      row_was_written({store_status::ok, version}, now);
      return;
    }
    m_row_current = false;
    const bool somebody_else = row.owner != m_self && row.term >= m_writing_term;
    if (somebody_else && m_wanted)
    {
      m_wanted.reset();
      m_output.conflict = row;
    }
    return;
  }
  if (ours)
  {
    committed({store_status::ok, version}, now);
    return;
  }
  if (version == m_row_version)
  {
    // The row is as it was, so a task's own row stood against it.
    find_known();
    return;
  }
  m_row_current = false;
}

void partition_store::load_page()
{
  call(store_read{task_prefix(k_open), m_load_after, k_page}, step::loading);
}

void partition_store::page_was_loaded(const store_read_result& result, time_point now)
{
  if (result.status != store_status::ok)
  {
    failed(result.status, now);
    return;
  }
  succeeded();
  for (const store_row& row : result.rows)
  {
    m_load_after = row.key;
    if (std::optional<stored_task> task = parse_task(row))
      m_loading.push_back(std::move(*task));
    else
      m_output.malformed_rows.push_back(row.key);
  }
  if (result.more)
    return;
  m_needs_load = false;
  m_load_after.clear();
  m_output.loaded = std::exchange(m_loading, {});
}

// Pages through the keys of what ended under earlier owners: from now on its time runs here.
void partition_store::list_ended()
{
  store_read request{task_prefix(k_ended), m_list_after, k_page};
  request.keys_only = true;
  call(std::move(request), step::listing_ended);
}

void partition_store::ended_were_listed(const store_read_result& result, time_point now)
{
  if (result.status != store_status::ok)
  {
    failed(result.status, now);
    return;
  }
  succeeded();
  for (const store_row& row : result.rows)
  {
    m_ended.push_back({row.key, now + m_options.ended_retention});
    m_list_after = row.key;
  }
  m_needs_listing = result.more;
}

// Rows past their time go with the next transaction, so that deleting costs no write of its own.
void partition_store::collect_outdated(time_point now)
{
  m_outdated.clear();
  while (!m_ended.empty() && m_ended.front().until <= now &&
         m_outdated.size() < m_options.most_batch)
  {
    m_outdated.push_back(std::move(m_ended.front().key));
    m_ended.pop_front();
  }
}

void partition_store::note_ended(time_point now)
{
  for (const pending_write& done : m_batch)
  {
    if (done.write.change == record_change::end)
      m_ended.push_back(
          {task_key(k_ended, done.write.task.spec.id), now + m_options.ended_retention});
  }
  m_outdated.clear();
}

void partition_store::commit(time_point now)
{
  if (m_batch.empty())
  {
    m_batch_maybe_written = false;
    collect_outdated(now);
    m_write_id = m_self.value + "/" + std::to_string(++m_write_count);
    while (!m_pending.empty() && m_batch.size() < m_options.most_batch)
    {
      m_batch.push_back(std::move(m_pending.front()));
      m_pending.pop_front();
    }
  }
  if (put_next_object())
    return;
  m_not_before = now + m_options.commit_soon;
  m_commit_due = m_pending.empty() ? k_never : m_not_before;
  call(make_transaction(), step::committing);
}

store_transaction partition_store::make_transaction()
{
  store_transaction transaction;
  transaction.checks.push_back({row_key(), m_row_version});
  transaction.puts.push_back({row_key(), json(term_row{m_term, m_self, m_write_id}).dump()});
  for (const pending_write& pending : m_batch)
  {
    const stored_task& task = pending.write.task;
    const std::string open_key = task_key(k_open, task.spec.id);
    const std::string ended_key = task_key(k_ended, task.spec.id);
    switch (pending.write.change)
    {
    case record_change::accept:
      transaction.checks.push_back({open_key, 0});
      transaction.checks.push_back({ended_key, 0});
      transaction.puts.push_back({open_key, to_json_text(task)});
      break;
    case record_change::intent:
      transaction.puts.push_back({open_key, to_json_text(task)});
      break;
    case record_change::end:
      transaction.puts.push_back({open_key, std::nullopt});
      transaction.puts.push_back({ended_key, to_json_text(task)});
      break;
    case record_change::forget:
      transaction.puts.push_back({open_key, std::nullopt});
      break;
    case record_change::find:
    case record_change::count:
      break;
    }
  }
  for (const std::string& key : m_outdated)
    transaction.puts.push_back({key, std::nullopt});
  return transaction;
}

void partition_store::committed(const store_write_result& result, time_point now)
{
  switch (result.status)
  {
  case store_status::ok:
    succeeded();
    m_row_version = result.version;
    report_batch(record_write_status::written);
    note_ended(now);
    m_batch.clear();
    return;
  case store_status::conflict:
    m_metrics.add(retry_reason::store_conflict);
    read_row(step::settling);
    return;
  case store_status::unclear:
    m_batch_maybe_written = true;
    failed(result.status, now);
    return;
  case store_status::limited:
  case store_status::unavailable:
  case store_status::count:
    failed(result.status, now);
    return;
  }
}

void partition_store::find_known()
{
  if (m_to_find.empty())
  {
    // Only accepts can meet a row of their own. The others go back to the front of the line.
    for (auto entry = m_batch.rbegin(); entry != m_batch.rend(); ++entry)
    {
      if (entry->write.change == record_change::accept)
        m_to_find.push_front(std::move(*entry));
      else
        m_pending.push_front(std::move(*entry));
    }
    m_batch.clear();
    m_commit_due = m_not_before;
  }
  if (m_to_find.empty())
    return;
  // The ended row if there is one, else the open one: both end in the task's id.
  call(store_read{task_key(k_ended, m_to_find.front().write.task.spec.id), {}, 1},
       step::finding_known);
}

void partition_store::known_was_read(const store_read_result& result, time_point now)
{
  if (result.status != store_status::ok)
  {
    failed(result.status, now);
    return;
  }
  pending_write& asked = m_to_find.front();
  const task_id& id = asked.write.task.spec.id;
  const auto same = std::ranges::find_if(
      result.rows, [&](const store_row& row)
      { return row.key == task_key(k_ended, id) || row.key == task_key(k_open, id); });
  if (same != result.rows.end())
  {
    std::optional<stored_task> known = parse_task(*same);
    if (!known)
      m_output.malformed_rows.push_back(same->key);
    if (known && !known->body_object.empty())
    {
      m_known = std::move(known);
      call(object_get{m_known->body_object}, step::getting_object);
      return;
    }
    tell_known(std::move(known));
  }
  else if (!asked.told_unclear)
  {
    asked.told_unclear = true; // looked at the ended row; the open one is next
    call(store_read{task_key(k_open, id), {}, 1}, step::finding_known);
    return;
  }
  else if (asked.write.change == record_change::find)
  {
    m_output.results.push_back(
        {record_change::find, id, record_write_status::not_written, std::nullopt});
    m_to_find.pop_front();
  }
  else
  {
    asked.told_unclear = false;
    m_pending.push_front(std::move(asked));
    m_to_find.pop_front();
    m_commit_due = m_not_before;
  }
  if (!m_to_find.empty())
    find_known();
}

void partition_store::tell_known(std::optional<stored_task> known)
{
  const record_write& asked = m_to_find.front().write;
  m_output.results.push_back(
      {asked.change, asked.task.spec.id, record_write_status::exists, std::move(known)});
  m_to_find.pop_front();
}

void partition_store::object_was_read(const store_read_result& result, time_point now)
{
  if (result.status != store_status::ok || result.rows.empty())
  {
    failed(store_status::unclear, now);
    return;
  }
  succeeded();
  m_known->final_answer->body = result.rows.front().value;
  m_known->body_object.clear();
  tell_known(std::exchange(m_known, std::nullopt));
}

// The first result of the batch that is too large for its row.
stored_task* partition_store::next_large_result()
{
  for (pending_write& entry : m_batch)
  {
    stored_task& task = entry.write.task;
    if (task.final_answer && task.final_answer->body.size() > k_most_row_body)
      return &task;
  }
  return nullptr;
}

// Large results are in the object store before the row that names them is written.
bool partition_store::put_next_object()
{
  stored_task* task = next_large_result();
  if (task == nullptr)
    return false;
  task->body_object = "result/" + to_text(m_partition) + "/" + task->spec.id.value;
  call(object_put{task->body_object, task->final_answer->body}, step::putting_object);
  return true;
}

void partition_store::object_was_put(const store_write_result& result, time_point now)
{
  if (result.status != store_status::ok)
  {
    failed(result.status, now); // put again: the same bytes under the same key
    return;
  }
  succeeded();
  if (stored_task* task = next_large_result())
    task->final_answer->body.clear();
}

void partition_store::report_batch(record_write_status status)
{
  for (const pending_write& done : m_batch)
    m_output.results.push_back({done.write.change, done.write.task.spec.id, status, std::nullopt});
}

// The table does not answer: those who wait for a write learn it now, not at their deadline.
void partition_store::give_up_unwritten(time_point now)
{
  const auto waits = [](const pending_write& entry)
  {
    return entry.write.change == record_change::accept ||
           entry.write.change == record_change::intent;
  };
  const auto report = [this](const pending_write& entry, record_write_status status)
  {
    m_output.results.push_back(
        {entry.write.change, entry.write.task.spec.id, status, std::nullopt});
  };
  for (pending_write& entry : m_batch)
  {
    if (!m_batch_maybe_written || !waits(entry))
      continue;
    if (entry.told_unclear || now < entry.since + k_write_patience)
      continue;
    entry.told_unclear = true;
    report(entry, record_write_status::unclear);
  }
  if (!m_batch_maybe_written)
  {
    // Nothing of it was written: back to the line, where it can still be withdrawn.
    for (auto entry = m_batch.rbegin(); entry != m_batch.rend(); ++entry)
      m_pending.push_front(std::move(*entry));
    m_batch.clear();
    m_commit_due = m_not_before;
  }
  std::erase_if(m_to_find,
                [&](const pending_write& entry)
                {
                  const bool over = entry.write.change == record_change::find;
                  if (over)
                    report(entry, record_write_status::unclear);
                  return over;
                });
  std::erase_if(m_pending,
                [&](const pending_write& entry)
                {
                  const bool over = waits(entry) && now >= entry.since + k_write_patience;
                  if (over)
                    report(entry, record_write_status::not_written);
                  return over;
                });
}

void partition_store::succeeded()
{
  m_failures = 0;
  m_down = false;
}

void partition_store::failed(store_status status, time_point now)
{
  ++m_failures;
  m_metrics.add(retry_reason::store_unavailable);
  const std::uint32_t doublings = std::min(m_failures - 1, 10U);
  const duration most =
      std::min(m_options.store_retry_first * (1U << doublings), m_options.store_retry_most);
  // Spread over the upper half, differently for each instance, so that none come back together.
  constexpr std::uint64_t steps = 1024;
  const std::uint64_t step_now = stable_hash(m_self.value, m_failures) % steps;
  m_not_before =
      now + most / 2 +
      most / 2 * static_cast<duration::rep>(step_now) / static_cast<duration::rep>(steps);
  if (status != store_status::limited)
    m_down = true;
  if (m_wanted)
  {
    m_wanted.reset();
    m_contested = false;
    m_output.unavailable = true;
  }
  give_up_unwritten(now);
}

void partition_store::flush()
{
  if (!m_pending.empty())
    m_commit_due = m_not_before;
}

void partition_store::read_answered(const store_read_result& result, time_point now)
{
  m_metrics.add(counter::store_reads);
  const step answered = std::exchange(m_step, step::none);
  if (answered == step::reading_row)
    row_was_read(result, now);
  else if (answered == step::settling)
    settle(result, now);
  else if (answered == step::loading && m_needs_load)
    page_was_loaded(result, now);
  else if (answered == step::listing_ended && m_needs_listing)
    ended_were_listed(result, now);
  else if (answered == step::finding_known && !m_to_find.empty())
    known_was_read(result, now);
  else if (answered == step::getting_object && m_known && !m_to_find.empty())
    object_was_read(result, now);
}

void partition_store::write_answered(const store_write_result& result, time_point now)
{
  const step answered = std::exchange(m_step, step::none);
  if (answered == step::writing_row)
    row_was_written(result, now);
  else if (answered == step::committing && !m_batch.empty())
    committed(result, now);
  else if (answered == step::putting_object && !m_batch.empty())
    object_was_put(result, now);
}

void partition_store::advance(time_point now)
{
  if (m_step != step::none || m_output.call)
    return;
  if (m_down)
    give_up_unwritten(now);
  const bool blocked = m_contested && !m_wanted;
  if (now < m_not_before || blocked)
    return;
  if (m_wanted || (m_term != 0 && !m_row_current))
    read_row(step::reading_row);
  else if (m_term == 0)
    return;
  else if (!m_to_find.empty())
    find_known();
  else if (m_needs_load)
    load_page();
  else if (m_needs_listing)
    list_ended();
  else if (!m_batch.empty() || now >= m_commit_due)
    commit(now);
}

time_point partition_store::next_timer() const
{
  if (m_step != step::none || (m_contested && !m_wanted))
    return k_never;
  const bool work =
      m_wanted || (m_term != 0 && (!m_row_current || m_needs_load || m_needs_listing ||
                                   !m_to_find.empty() || !m_batch.empty()));
  if (work)
    return m_not_before;
  return m_pending.empty() ? k_never : std::max(m_not_before, m_commit_due);
}

partition_store_output partition_store::take_output()
{
  return std::exchange(m_output, {});
}
} // namespace yardhill::ownership
