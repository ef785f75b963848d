// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Numbers for the calls that one process sends to its peers.
//
// A peer addresses its reply to an instance's name, and by then another process may bear that name.
// So the numbers of each process begin at a value of its own: the reply to a call of an earlier
// process matches no call of the present one, whatever version of the software the peer runs.

#include <cstdint>
#include <string_view>

namespace yardhill::common
{
class call_numbers
{
public:
  // `incarnation`: the identifier of this process, different at each start.
  explicit call_numbers(std::string_view incarnation);

  std::uint64_t next() { return ++m_last; }

private:
  std::uint64_t m_last;
};
} // namespace yardhill::common
