// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/StartupRequests.h"

#include <utility>

namespace yardhill::node
{
namespace
{
// The configuration takes one read of the store, which a slow store answers in 240 ms.
constexpr std::chrono::milliseconds k_configuration_timeout{400};
} // namespace

startup_requests::startup_requests(common::timekeeper& time) : m_timeout(time)
{
  m_timeout.start(k_configuration_timeout, [this] { release(); });
}

bool startup_requests::enqueue(std::function<void()> call)
{
  if (m_released)
    return false;
  m_queued.push_back(std::move(call));
  return true;
}

void startup_requests::release()
{
  m_released = true;
  m_timeout.cancel();
  for (const auto& call : std::exchange(m_queued, {}))
    call();
}
} // namespace yardhill::node
