// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The term at which this instance owns a partition, and the partition's own row that says so in the
// table. Every transaction checks that row's version and renews it with an id of its own.

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

  // Ask the table for a term of at least this number.
  void want(term_number term) { m_wanted = term; }
  // The table does not answer. Returns whether a term was wanted.
  bool give_up_wanted();
  // This instance owns the partition at `term`, whether or not the table allotted it.
  void begin(term_number term);
  void end();

  bool owned() const { return m_term != 0; }
  // The row has to be read, and perhaps written, before anything else.
  bool needs_row() const { return m_wanted || (owned() && !m_row_current); }
  // Another owner has the row; nothing is written until the workers have said whose it is.
  bool blocked() const { return m_contested && !m_wanted; }

  struct row_reading
  {
    std::optional<store_transaction> write; // puts this instance's term into the row
    std::optional<term_row> conflict;       // another owner has the row
  };
  row_reading row_read(const term_row& row, std::uint64_t version);
  // Returns the term if the table allotted a new one.
  std::optional<term_number> row_written(std::uint64_t version);
  // The row holds somebody else's write instead. Returns it if it refuses the wanted term.
  std::optional<term_row> row_refused(const term_row& row);

  // The beginning of a transaction: checks the row and renews it. The same id is written until
  // new_write, so that a transaction whose answer was lost can be sent again.
  store_transaction transaction() const;
  void new_write();
  void transaction_written(std::uint64_t version) { m_row_version = version; }
  // The row was changed by another.
  void row_lost() { m_row_current = false; }

  bool holds_latest_write(const term_row& row) const { return row.write == m_write_id; }
  bool unchanged(std::uint64_t version) const { return version == m_row_version; }

private:
  store_transaction write_row(term_number term);
  store_transaction transaction_at(term_number term) const;

  partition_rows m_rows;
  instance_id m_self;
  std::optional<term_number> m_wanted;
  term_number m_term = 0; // owned; 0 while not an owner
  term_number m_writing_term = 0;
  bool m_row_current = false;
  bool m_contested = false; // the row names another owner at this term or above
  std::uint64_t m_row_version = 0;
  std::string m_write_id;
  std::uint64_t m_write_count = 0;
};
} // namespace yardhill::ownership
