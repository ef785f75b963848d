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

bool partition_term::abandon_request()
{
  if (!m_requested_term)
    return false;
  m_requested_term.reset();
  m_contested = false;
  return true;
}

void partition_term::begin(term_number term)
{
  // The row is current only if it was written for this term; otherwise it has to be updated.
  m_row_current = m_row_current && m_writing_term == term;
  m_term = term;
}

void partition_term::end()
{
  m_term = 0;
  m_row_current = false;
  m_contested = false;
}

partition_term::row_read_result partition_term::row_read(const term_row& row, std::uint64_t version)
{
  m_row_version = version;
  if (m_requested_term)
    return {write_row(std::max(*m_requested_term, row.term + 1)), std::nullopt};
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
    // The workers decide which instance owns the partition; nothing is written until then.
    m_contested = true;
    return {std::nullopt, row};
  }
  // Update the row to a term that the workers allotted while the table was unavailable.
  return {write_row(std::max(m_term, row.term)), std::nullopt};
}

std::optional<term_number> partition_term::row_written(std::uint64_t version)
{
  m_row_version = version;
  m_row_current = true;
  m_contested = false;
  m_requested_term.reset();
  if (m_writing_term == m_term)
    return std::nullopt;
  return m_writing_term;
}

std::optional<term_row> partition_term::row_overwritten(const term_row& row)
{
  m_row_current = false;
  const bool held_by_other = row.owner != m_self && row.term >= m_writing_term;
  if (!held_by_other || !m_requested_term)
    return std::nullopt;
  m_requested_term.reset();
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
