// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Narrows commits that the store refuses for good down to the part at fault, so that one part that
// cannot be stored does not keep all others from being written. No I/O.
//
// After a refusal commits have fewer and fewer parts, and renewals of the owner's row are written
// by themselves. A part that is refused alone, twice, while the store takes renewals, is at fault.

#include <cstddef>

namespace yardhill::node
{
class commit_isolation
{
public:
  explicit commit_isolation(std::size_t most_parts) : m_most_parts(most_parts), m_limit(most_parts)
  {
  }

  // How many parts the next commit may have.
  std::size_t limit() const { return m_limit; }
  bool active() const { return m_limit < m_most_parts; }
  // Whether a renewal should be written now, to see whether the store takes anything.
  bool wants_renewal() const { return active() && !m_renewed; }

  // `parts`: of the commit, beside a renewal.
  void written(std::size_t parts);
  // Returns whether the commit's only part is at fault.
  bool refused(std::size_t parts);

private:
  std::size_t m_most_parts;
  std::size_t m_limit;
  bool m_renewed = false;       // a renewal was written since the latest refusal
  unsigned m_refused_alone = 0; // of one part, with a renewal written after each
};
} // namespace yardhill::node
