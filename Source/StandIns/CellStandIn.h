// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Simulates the platform's side of a cell in one process on 127.0.0.1: the store, the advice
// service and the workers, each at an address of its own, as the platform's documentation describes
// them. The models of the three, and the judge that checks what runs at the workers, are those of
// the explorer.
//
// Calls by which tests control the simulation (admin address; bodies are JSON):
//   PUT  /configuration         stores the body unchanged as the operator's configuration row
//   POST /jobs/ID               announces a job; the body is the one that will be submitted
//   POST /jobs/ID/answers/N     the job's caller was answered with HTTP status N
//   POST /jobs/ID/states/NAME   the job's caller was shown the state NAME
//   POST /jobs/ID/cancel        the job's caller has begun to request the cancellation
//   POST /jobs/ID/cancelled     the job's caller was answered that the job is cancelled
//   PUT  /store/FAULT           works | unavailable | silent | loses_answers
//   PUT  /store/slow/MS         each transaction takes MS milliseconds; 0: no delay
//   PUT  /store/limited/N       calls beyond N a second get status 429; 0: no limit
//   PUT  /store/parts/NAMES     calls about these parts (separated by commas) get no answer;
//                               without names, all parts answer
//   PUT  /store/forget          drops the feeds' history: feeds that are behind must
//                               read everything again
//   POST /workers/N/FAULT       crash | leave | drain | replace | silence | speak
//   POST /workers/N/restart/MS  starts again under its id, with its clock at MS milliseconds
//   POST /workers/N/late/MS     handles start and stop requests MS milliseconds late; 0: at once
//   POST /workers/N/room/SHARE  has SHARE percent of its configured capacity from now on
//   GET  /report                active runs, counters of calls, jobs and starts, and the
//                               violations that the judge found
//   GET  /runs                  running tasks, and the jobs of which any task has started
//
// The payload of a job selects a fault: tasks of a "flaky" job fail now and then; the first task of
// a "crashing" job crashes each worker that starts it.

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
  std::uint16_t first_port = 0;    // of the store; +2: admin; from +80: advice, then workers
  std::uint16_t advice_ports = 20; // one per instance
  std::vector<std::string> zones;
  std::uint32_t workers = 0; // in all, assigned to the zones in turn
  common::resources capacity;
  std::string service;
  double run_time_share = 1.0; // of a step's estimated run time
};

class cell_stand_in
{
public:
  // Throws boost::system::system_error if it cannot listen on an address.
  cell_stand_in(boost::asio::io_context& io, const cell_options& options);
  ~cell_stand_in();

private:
  class implementation;
  std::unique_ptr<implementation> m_implementation;
};
} // namespace yardhill::stand_ins
