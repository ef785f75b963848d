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
//
// This class decides which call is next. A part each knows the rows' keys and contents, the term,
// the writes that wait, the tasks to look up, the rows to load and to delete, and the calls' pace.

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
#include "Ownership/StorePace.h"
#include "Ownership/WriteQueue.h"

namespace yardhill::ownership
{
using namespace common;

using store_call = std::variant<store_read, store_transaction, object_put, object_get>;

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
  void request_term(term_number term);
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
  bool down() const { return m_pace.down(); }
  // Nothing is to be written, and nothing is on its way.
  bool idle() const { return m_writes.idle() && m_step == step::none; }

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

  void call(store_call request, step next);
  void read_row(step next);
  // Notes a failure.
  bool read_failed(const store_read_result& result, time_point now);
  // Nothing, and the failure is noted, where the row was not read or is not ours.
  std::optional<term_row> read_term_row(const store_read_result& result, time_point now);
  void row_was_read(const store_read_result& result, time_point now);
  void row_was_written(const store_write_result& result, time_point now);
  void settle(const store_read_result& result, time_point now);
  void settle_row(const term_row& row, std::uint64_t version, time_point now);
  void settle_batch(const term_row& row, std::uint64_t version, time_point now);
  void page_was_loaded(const store_read_result& result, time_point now);
  void ended_were_listed(const store_read_result& result, time_point now);
  void commit(time_point now);
  store_transaction make_transaction() const;
  void committed(const store_write_result& result, time_point now);
  void batch_was_written(time_point now);
  void find_known();
  void known_was_read(const store_read_result& result, time_point now);
  void object_was_read(const store_read_result& result, time_point now);
  bool put_next_object();
  void object_was_put(const store_write_result& result, time_point now);
  void give_up_unwritten(time_point now);
  void tell(std::vector<record_write_result> results);
  void failed(store_status status, time_point now);

  metrics& m_metrics;
  partition_rows m_rows;
  partition_term m_term;
  write_queue m_writes;
  known_task_finder m_finder;
  open_rows m_open;
  ended_rows m_ended;
  store_pace m_pace;
  duration m_commit_pause; // between two transactions

  step m_step = step::none;
  partition_store_output m_output;
};
} // namespace yardhill::ownership
