// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Common/CallNumbers.h"

#include "Common/Hash.h"

namespace yardhill::common
{
// In the lower half of the range, so that numbers do not wrap and later calls have higher ones.
call_numbers::call_numbers(std::string_view incarnation) : m_last(stable_hash(incarnation) >> 1) {}
} // namespace yardhill::common
