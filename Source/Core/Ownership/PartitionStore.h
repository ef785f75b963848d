// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// A partition's rows in the table service: its term, and the records of its tasks.
//
// A deterministic state machine with at most one call to the table service outstanding. The
// partition's own row carries the term, the owner and the id of the latest write; every
// transaction checks that row's version and renews it. So a stale owner's write, or one that was
// delayed and arrives late, conflicts; and after a lost answer the same transaction can be sent
// again, because the row tells whether the first one took effect.

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Common/Ids.h"
#include "Common/Metrics.h"
#include "Common/Options.h"
#include "Common/StoreMessages.h"
#include "Common/StoredTask.h"
#include "Common/Time.h"

namespace yardhill::ownership
{
using namespace common;

using store_call = std::variant<store_read, store_transaction, object_put, object_get>;

// What the partition's row says.
struct term_row
{
  term_number term = 0;
  instance_id owner;
  std::string write; // id of the latest write
};

struct partition_store_output
{
  std::optional<store_call> call; // answer with read_answered or write_answered
  std::optional<term_number> allotted;
  std::optional<term_row> conflict; // another owner has this row
  bool unavailable = false;         // a wanted term could not be asked for
  std::vector<record_write_result> results;
  std::optional<std::vector<stored_task>> loaded;
  std::vector<std::string> malformed_rows; // keys, for the log
};

class partition_store
{
public:
  partition_store(partition_id partition, instance_id self, const ownership_options& options,
                  metrics& counts);

  // Ask the table for a term of at least this number.
  void want_term(term_number term);
  // This instance owns the partition at `term`, whether or not the table allotted it.
  void begin_term(term_number term);
  void end_term();
  void append(const record_write& write, time_point now);
  // Write now what could have waited.
  void flush();

  void read_answered(const store_read_result& result, time_point now);
  void write_answered(const store_write_result& result, time_point now);

  void advance(time_point now);
  time_point next_timer() const;
  partition_store_output take_output();

  // The table service has not answered for a while.
  bool down() const { return m_down; }
  // Nothing is to be written, and nothing is on its way.
  bool idle() const { return m_pending.empty() && m_batch.empty() && m_step == step::none; }

private:
  enum class step
  {
    none,
    reading_row,
    writing_row,
    loading,
    listing_ended, // for their time in the table to run
    committing,
    settling,      // reading the row after a conflict, to see whose write came first
    finding_known, // reading the rows of a task that turned out to exist
    putting_object,
    getting_object,
  };

  struct pending_write
  {
    record_write write;
    time_point since;
    bool told_unclear = false;
  };

  void call(store_call request, step next);
  void read_row(step next);
  void row_was_read(const store_read_result& result, time_point now);
  void write_row(term_number term, std::uint64_t version);
  void row_was_written(const store_write_result& result, time_point now);
  void settle(const store_read_result& result, time_point now);
  void load_page();
  void page_was_loaded(const store_read_result& result, time_point now);
  void list_ended();
  void ended_were_listed(const store_read_result& result, time_point now);
  void collect_outdated(time_point now);
  void note_ended(time_point now);
  void commit(time_point now);
  store_transaction make_transaction();
  void committed(const store_write_result& result, time_point now);
  void find_known();
  void known_was_read(const store_read_result& result, time_point now);
  void tell_known(std::optional<stored_task> known);
  void object_was_read(const store_read_result& result, time_point now);
  stored_task* next_large_result();
  bool put_next_object();
  void object_was_put(const store_write_result& result, time_point now);
  void report_batch(record_write_status status);
  void give_up_unwritten(time_point now);
  void succeeded();
  void failed(store_status status, time_point now);
  std::string row_key() const;
  std::string task_key(const char* state, const task_id& task) const;
  std::string task_prefix(const char* state) const;

  partition_id m_partition;
  instance_id m_self;
  const ownership_options& m_options;
  metrics& m_metrics;

  step m_step = step::none;
  std::optional<term_number> m_wanted;
  term_number m_term = 0; // owned; 0 while not an owner
  bool m_row_current = false;
  bool m_contested = false; // the row names another owner at this term or above
  bool m_needs_load = false;
  std::uint64_t m_row_version = 0;
  term_number m_writing_term = 0;
  std::string m_write_id;
  std::uint64_t m_write_count = 0;
  std::string m_load_after;
  bool m_needs_listing = false;
  std::string m_list_after;
  struct ended_row
  {
    std::string key;
    time_point until;
  };
  std::deque<ended_row> m_ended;       // in the table, oldest first
  std::vector<std::string> m_outdated; // deleted by the transaction that is under way
  std::vector<stored_task> m_loading;
  std::deque<pending_write> m_pending;
  std::deque<pending_write> m_batch; // in the transaction that is under way
  bool m_batch_maybe_written = false;
  std::deque<pending_write> m_to_find;
  std::optional<stored_task> m_known; // whose body is being read
  std::uint32_t m_failures = 0;
  bool m_down = false;
  time_point m_not_before{};
  time_point m_commit_due = k_never; // of what is pending
  partition_store_output m_output;
};
} // namespace yardhill::ownership
