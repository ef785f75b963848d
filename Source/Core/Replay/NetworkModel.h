// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Which messages of a virtual cell are lost, and how long the others take.

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

  // Messages from the one to the other are lost.
  void cut(const std::string& from, const std::string& to) { m_cuts.insert({from, to}); }
  void heal(const std::string& from, const std::string& to) { m_cuts.erase({from, to}); }
  bool is_cut(const std::string& from, const std::string& to) const;

  // Every so many-th message is late by up to some seconds; 0: none is.
  void set_late_every(std::int64_t messages) { m_late_every = messages; }
  // Of the next message: between half of the usual one and one and a half of it.
  duration next_delay(duration usual);

private:
  std::mt19937_64 m_random;
  std::set<std::pair<std::string, std::string>> m_cuts; // from, to
  std::int64_t m_late_every = 0;
};
} // namespace yardhill::replay
