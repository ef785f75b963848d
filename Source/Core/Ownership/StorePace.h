// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// When the next call to the table service may go out: with exponential backoff after failures.

#include <cstdint>

#include "Common/Ids.h"
#include "Common/Options.h"
#include "Common/StoreMessages.h"
#include "Common/Time.h"

namespace yardhill::ownership
{
using namespace common;

class store_pace
{
public:
  store_pace(instance_id self, const ownership_options& options);

  void succeeded();
  void failed(store_status status, time_point now);

  // The table service has not answered for a while.
  bool down() const { return m_down; }
  time_point not_before() const { return m_not_before; }
  void wait_until(time_point then) { m_not_before = then; }
  // The next call does not wait.
  void skip_wait() { m_not_before = time_point{}; }

private:
  instance_id m_self;
  const ownership_options& m_options;
  std::uint32_t m_failures = 0; // in a row
  bool m_down = false;
  time_point m_not_before{};
};
} // namespace yardhill::ownership
