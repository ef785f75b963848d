// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The term at which this instance owns a partition, and the partition's own row, which records that
// term in the table. Every transaction checks that row's version and renews the row with a write id
// of the transaction's own.

#include <cstdint>
#include <optional>
#include <string>

#include "Common/Ids.h"
#include "Common/StoreMessages.h"
#include "Ownership/PartitionRows.h"

namespace yardhill::ownership
{
using namespace common;

class partition_term
{
public:
  partition_term(partition_rows rows, instance_id self);

  // Requests a term of at least this number from the table.
  void request_at_least(term_number term) { m_requested_term = term; }
  // Drops the term request because a call to the table failed. Returns whether there was a request.
  bool abandon_request();
  // Called when this instance owns the partition at `term`, whether or not the table allotted
  // `term`.
  void begin(term_number term);
  void end();

  bool owned() const { return m_term != 0; }
  // The row has to be read, and written if it is out of date, before any other call.
  bool needs_row() const { return m_requested_term || (owned() && !m_row_current); }
  // The row names another owner; nothing is written until the workers have decided which instance
  // owns the partition.
  bool blocked() const { return m_contested && !m_requested_term; }

  struct row_read_result
  {
    std::optional<store_transaction> write; // writes this instance's term to the row
    std::optional<term_row> conflict;       // the row, if it names another owner
  };
  row_read_result row_read(const term_row& row, std::uint64_t version);
  // The row's write took effect. Returns the term if the table allotted a new one by it.
  std::optional<term_number> row_written(std::uint64_t version);
  // The row does not hold the latest write of this instance. Returns `row` if another owner's term
  // in it rules out the requested term.
  std::optional<term_row> row_overwritten(const term_row& row);

  // The beginning of a transaction: checks and renews the row. The same write id is used until the
  // next new_write, so that a transaction whose reply was lost can be sent again.
  store_transaction transaction() const;
  void new_write();
  void transaction_written(std::uint64_t version) { m_row_version = version; }
  // The row was changed by another writer and has to be read again.
  void invalidate_row() { m_row_current = false; }

  bool holds_latest_write(const term_row& row) const { return row.write == m_write_id; }
  bool unchanged(std::uint64_t version) const { return version == m_row_version; }

private:
  store_transaction write_row(term_number term);
  store_transaction transaction_at(term_number term) const;

  partition_rows m_rows;
  instance_id m_self;
  std::optional<term_number> m_requested_term;
  term_number m_term = 0; // the owned term; 0 if this instance is not the owner
  term_number m_writing_term = 0;
  bool m_row_current = false;
  bool m_contested = false; // the row names another owner at this term or above
  std::uint64_t m_row_version = 0;
  std::string m_write_id;
  std::uint64_t m_write_count = 0;
};
} // namespace yardhill::ownership
