// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Simulates the platform's table service and instance list. Faults are set over HTTP.
//
//   POST /table/read, /table/transaction, GET /instances   as in Platform/TableProtocol.h
//   POST /instances   adds an entry to the list or replaces the one of that name
//   POST /faults      {"outage": bool, "slow_ms": n, "lose_answers": n, "cut": [caller...]}
//                     (`cut`: callers that get no answer)
//   GET  /load        counters of the calls to the table, as JSON

#include <cstdint>
#include <memory>

#include "Common/Time.h"
#include "Replay/TableModel.h"

namespace yardhill::stand_ins
{
using namespace common;

struct platform_options
{
  std::uint16_t port = 0;
  replay::table_limits limits;
  duration list_lag{0}; // age of the instance list that callers get
};

class platform_stand_in
{
public:
  explicit platform_stand_in(const platform_options& options);
  ~platform_stand_in();

private:
  class implementation;
  std::unique_ptr<implementation> m_implementation;
};
} // namespace yardhill::stand_ins
