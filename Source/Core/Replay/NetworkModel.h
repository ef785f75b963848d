// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Decides which messages of a virtual cell are lost and how long the others take.

#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "Common/Time.h"

namespace yardhill::replay
{
using namespace common;

class network_model
{
public:
  // The same seed gives the same delays.
  explicit network_model(std::uint64_t seed) : m_random(seed) {}

  // Messages from `from` to `to` are lost until heal(); the other direction is not affected.
  void cut(const std::string& from, const std::string& to) { m_cuts.insert({from, to}); }
  void heal(const std::string& from, const std::string& to) { m_cuts.erase({from, to}); }
  bool is_cut(const std::string& from, const std::string& to) const;

  // On average one in `messages` messages is late by up to 12 s more; 0 turns this off.
  void set_late_message_interval(std::int64_t messages) { m_late_message_interval = messages; }
  // The delay of the next message: 0.5 to 1.5 times `usual`, plus the extra delay if it is late.
  duration next_delay(duration usual);

private:
  std::mt19937_64 m_random;
  std::set<std::pair<std::string, std::string>> m_cuts; // from, to
  std::int64_t m_late_message_interval = 0;
};
} // namespace yardhill::replay
