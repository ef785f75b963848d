// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// A partition's rows in the table service: its term, and the records of its tasks.
//
// A deterministic state machine with at most one call to the table service outstanding. The
// partition's own row carries the term, the owner and the id of the latest write; every
// transaction checks that row's version and renews the row. So the write of a stale owner, or a
// write that was delayed and arrives late, conflicts; and after a lost reply the same transaction
// can be sent again, because the row tells whether the first transaction took effect.
//
// This class decides which call is next. Its members handle one concern each: the rows' keys and
// contents, the term, the waiting writes, the tasks to look up, the rows to load, the rows to
// delete, and the pacing of calls.

#include <cstdint>
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
#include "Ownership/EndedRows.h"
#include "Ownership/KnownTaskFinder.h"
#include "Ownership/OpenRows.h"
#include "Ownership/PartitionRows.h"
#include "Ownership/PartitionTerm.h"
#include "Ownership/StoreCallPacer.h"
#include "Ownership/WriteQueue.h"

namespace yardhill::ownership
{
using namespace common;

using store_call = std::variant<store_read, store_transaction, object_put, object_get>;

struct partition_store_output
{
  std::optional<store_call> call;      // its result goes to read_answered or write_answered
  std::optional<term_number> allotted; // the term that the table allotted
  std::optional<term_row> conflict;    // the partition's row, if it names another owner
  bool unavailable = false;            // a call failed while a term was requested
  std::vector<record_write_result> results;
  std::optional<std::vector<stored_task>> loaded; // all open tasks, after a takeover
  std::vector<std::string> malformed_rows;        // keys, for the log
};

class partition_store
{
public:
  partition_store(partition_id partition, instance_id self, const ownership_options& options,
                  metrics& counts);

  // Requests a term of at least this number from the table.
  void request_term(term_number term);
  // Called when this instance owns the partition at `term`, whether or not the table allotted
  // `term`.
  void begin_term(term_number term);
  void end_term();
  void append(const record_write& write, time_point now);
  // Makes all waiting writes due as soon as the pacing of calls allows, instead of at the end of
  // their commit delay.
  void flush();

  void read_answered(const store_read_result& result, time_point now);
  void write_answered(const store_write_result& result, time_point now);

  void advance(time_point now);
  time_point next_timer() const;
  partition_store_output take_output();

  // The table service is unavailable: a call failed for a reason other than its rate limit, and no
  // call has succeeded since.
  bool down() const { return m_pacer.down(); }
  // No write is waiting and no call is in flight.
  bool idle() const { return m_writes.idle() && m_step == step::none; }

private:
  enum class step
  {
    none,
    reading_row,
    writing_row,
    loading,
    listing_ended, // listing ended tasks' rows, so that their retention begins
    committing,
    checking_write, // reading the partition's row to see whether it holds the latest write
    finding_known,  // reading the rows of a task that may exist already
    putting_object,
    getting_object,
  };

  void call(store_call request, step next);
  void read_row(step next);
  // Returns whether the read failed, and handles the failure.
  bool read_failed(const store_read_result& result, time_point now);
  // Returns nothing, and handles the failure, if the row was not read or cannot be parsed.
  std::optional<term_row> read_term_row(const store_read_result& result, time_point now);
  void row_was_read(const store_read_result& result, time_point now);
  void row_was_written(const store_write_result& result, time_point now);
  void check_write(const store_read_result& result, time_point now);
  void check_row_write(const term_row& row, std::uint64_t version, time_point now);
  void check_batch_write(const term_row& row, std::uint64_t version, time_point now);
  void page_was_loaded(const store_read_result& result, time_point now);
  void ended_were_listed(const store_read_result& result, time_point now);
  void commit(time_point now);
  store_transaction make_transaction() const;
  void committed(const store_write_result& result, time_point now);
  void batch_was_written(time_point now);
  void look_up_task();
  void known_was_read(const store_read_result& result, time_point now);
  void object_was_read(const store_read_result& result, time_point now);
  bool put_next_object();
  void object_was_put(const store_write_result& result, time_point now);
  void report_unwritten(time_point now);
  void report_results(std::vector<record_write_result> results);
  void on_call_failed(store_status status, time_point now);

  metrics& m_metrics;
  partition_rows m_rows;
  partition_term m_term;
  write_queue m_writes;
  known_task_finder m_finder;
  open_rows m_open;
  ended_rows m_ended;
  store_call_pacer m_pacer;
  duration m_min_commit_interval; // least time between two transactions

  step m_step = step::none;
  partition_store_output m_output;
};
} // namespace yardhill::ownership
