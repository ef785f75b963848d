// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Decides when the next call to the table service may be sent, with exponential backoff after
// failures.

#include <cstdint>

#include "Common/Ids.h"
#include "Common/Options.h"
#include "Common/StoreMessages.h"
#include "Common/Time.h"

namespace yardhill::ownership
{
using namespace common;

class store_call_pacer
{
public:
  store_call_pacer(instance_id self, const ownership_options& options);

  void succeeded();
  void failed(store_status status, time_point now);

  // A call failed for a reason other than the service's rate limit, and no call has succeeded
  // since.
  bool down() const { return m_down; }
  time_point not_before() const { return m_not_before; }
  void wait_until(time_point then) { m_not_before = then; }
  // Lets the next call be sent at once.
  void skip_wait() { m_not_before = time_point{}; }

private:
  instance_id m_self;
  const ownership_options& m_options;
  std::uint32_t m_failures = 0; // consecutive
  bool m_down = false;
  time_point m_not_before{};
};
} // namespace yardhill::ownership
