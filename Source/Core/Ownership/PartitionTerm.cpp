// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Ownership/PartitionTerm.h"

#include <algorithm>
#include <utility>

namespace yardhill::ownership
{
partition_term::partition_term(partition_rows rows, instance_id self)
    : m_rows(std::move(rows)), m_self(std::move(self))
{
}

bool partition_term::give_up_wanted()
{
  if (!m_wanted)
    return false;
  m_wanted.reset();
  m_contested = false;
  return true;
}

void partition_term::begin(term_number term)
{
  // The row that was written for this very term is current; any other has to be caught up.
  m_row_current = m_row_current && m_writing_term == term;
  m_term = term;
}

void partition_term::end()
{
  m_term = 0;
  m_row_current = false;
  m_contested = false;
}

partition_term::row_reading partition_term::row_read(const term_row& row, std::uint64_t version)
{
  m_row_version = version;
  if (m_wanted)
    return {write_row(std::max(*m_wanted, row.term + 1)), std::nullopt};
  if (!owned())
    return {};
  if (row.term == m_term && row.owner == m_self)
  {
    m_row_current = true;
    m_writing_term = m_term;
    return {};
  }
  if (row.owner != m_self && row.term >= m_term)
  {
    // Whose partition it is the workers have to say; until then nothing is written.
    m_contested = true;
    return {std::nullopt, row};
  }
  // Catching the row up with a term that the workers allotted while the table was away.
  return {write_row(std::max(m_term, row.term)), std::nullopt};
}

std::optional<term_number> partition_term::row_written(std::uint64_t version)
{
  m_row_version = version;
  m_row_current = true;
  m_contested = false;
  m_wanted.reset();
  if (m_writing_term == m_term)
    return std::nullopt;
  return m_writing_term;
}

std::optional<term_row> partition_term::row_refused(const term_row& row)
{
  m_row_current = false;
  const bool somebody_else = row.owner != m_self && row.term >= m_writing_term;
  if (!somebody_else || !m_wanted)
    return std::nullopt;
  m_wanted.reset();
  return row;
}

store_transaction partition_term::transaction() const
{
  return transaction_at(m_term);
}

void partition_term::new_write()
{
  m_write_id = m_self.value + "/" + std::to_string(++m_write_count);
}

store_transaction partition_term::write_row(term_number term)
{
  m_writing_term = term;
  new_write();
  return transaction_at(term);
}

store_transaction partition_term::transaction_at(term_number term) const
{
  store_transaction transaction;
  transaction.checks.push_back({m_rows.own_key(), m_row_version});
  transaction.puts.push_back(m_rows.own_row({term, m_self, m_write_id}));
  return transaction;
}
} // namespace yardhill::ownership
