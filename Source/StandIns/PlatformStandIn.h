// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The platform's table service and instance list as a process, with faults set over HTTP.
//
//   POST /table/read, /table/transaction, GET /instances   as Platform/TableProtocol.h says
//   POST /instances   puts an entry into the list, by name
//   POST /faults      {"outage": bool, "slow_ms": n, "lose_answers": n, "cut": [caller...]}
//   GET  /load        what the table was asked, as JSON

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
  duration list_lag{0};
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
