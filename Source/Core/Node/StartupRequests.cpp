// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/StartupRequests.h"

#include <utility>

namespace yardhill::node
{
namespace
{
// The configuration is one read away; the slowest store measured takes 240 ms for it.
constexpr std::chrono::milliseconds k_patience{400};
} // namespace

startup_requests::startup_requests(common::timekeeper& time) : m_patience(time)
{
  m_patience.start(k_patience, [this] { release(); });
}

bool startup_requests::hold(std::function<void()> call)
{
  if (m_released)
    return false;
  m_held.push_back(std::move(call));
  return true;
}

void startup_requests::release()
{
  m_released = true;
  m_patience.cancel();
  for (const auto& call : std::exchange(m_held, {}))
    call();
}
} // namespace yardhill::node
