// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The platform's side of a cell as one process on 127.0.0.1: the store, the advice service and the
// workers, each at an address of its own, as the platform's pages describe them. The models are the
// explorer's; what runs at the workers is judged by the explorer's judge.
//
// Where a test talks to it (admin address; bodies are JSON):
//   PUT  /configuration         the operator's row, as it is
//   POST /jobs/ID               a job that will be handed in, with the body that will be sent
//   POST /jobs/ID/answers/N     its caller was answered with status N
//   POST /jobs/ID/states/NAME   its caller was shown that state
//   POST /jobs/ID/cancel        its caller asks for the cancellation from now on
//   POST /jobs/ID/cancelled     its caller has been told that it is cancelled
//   PUT  /store/FAULT           works | unavailable | silent | loses_answers
//   PUT  /store/slow/MS         each transaction takes so long; 0: none
//   PUT  /store/limited/N       calls beyond N a second are turned away; 0: none
//   PUT  /store/parts/NAMES     calls about these parts (divided by commas) get no answer; none
//                               named: all parts answer
//   PUT  /store/forget          feeds that are behind have to read everything again
//   POST /workers/N/FAULT       crash | leave | drain | replace | silence | speak
//   POST /workers/N/restart/MS  starts again under its id, with a clock that shows MS
//   POST /workers/N/late/MS     carries starts and stops out so late; 0: at once
//   GET  /report                what is under way, what was counted, what the judge noted
//   GET  /runs                  tasks at work, and the jobs of which any task has begun
//
// A job whose text is "flaky" has tasks that fail now and then.

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "Common/Resources.h"

namespace yardhill::stand_ins
{
struct cell_options
{
  std::uint16_t first_port = 0;    // store; admin 2 on; advice from 80 on, then the workers
  std::uint16_t advice_ports = 20; // one for each instance
  std::vector<std::string> zones;
  std::uint32_t workers = 0; // over all zones in turn
  common::resources capacity;
  std::string service;
  double run_time_share = 1.0; // of a step's estimate
};

class cell_stand_in
{
public:
  // Throws boost::system::system_error when an address cannot be listened on.
  cell_stand_in(boost::asio::io_context& io, const cell_options& options);
  ~cell_stand_in();

private:
  class implementation;
  std::unique_ptr<implementation> m_implementation;
};
} // namespace yardhill::stand_ins
