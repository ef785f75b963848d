// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// A recorded run: what the outside world did, in order, as JSON lines. The first line describes the
// cell, each other line is one action.

#include <cstdint>
#include <string>
#include <vector>

#include "Common/Ids.h"
#include "Common/Time.h"

namespace yardhill::replay
{
using namespace common;

enum class action_kind
{
  submit,        // who: instance, workload, key (may be empty), number: run time in us
  cancel,        // who: instance, workload, key
  apply,         // who: instance; the declared set with `number` as its watcher replicas
  kill,          // who: instance
  start,         // who: instance, as a new one that knows nothing
  stop,          // who: instance, as planned
  pause,         // who: instance; what it was about to send goes out when it resumes
  resume,        // who: instance
  cut,           // who, other: messages from the one to the other are lost
  heal,          // who, other
  store_outage,  // number: 1 down, 0 up
  store_slow,    // number: latency in us
  store_lose,    // number: so many answers of writes are lost
  worker_kill,   // who: worker
  worker_reboot, // who: worker, also after a kill
  worker_fail,   // who: worker, number: 1 fails everything, 0 works
  worker_leave,  // who: worker, number: 1 or 0
  slow_messages, // number: every so many-th message is late by seconds; 0 none
  count
};

struct trace_action
{
  time_point at{};
  action_kind kind = action_kind::submit;
  std::string who;
  std::string other;
  std::string workload;
  std::string key;
  std::int64_t number = 0;
};

struct trace_header
{
  std::uint64_t seed = 1; // of delays
  std::uint32_t zones = 1;
  std::uint32_t partitions = 1; // per zone
  std::uint32_t instances = 2;  // per zone
  std::uint32_t workers = 5;    // per zone
  std::string config; // a file of the declared set beside the trace; else the built-in one
  duration until{0};
};

struct trace
{
  trace_header header;
  std::vector<trace_action> actions; // in the order of their times
};

std::string to_json_line(const trace_action& action);
std::string to_json_lines(const trace& recorded);
// Throws std::runtime_error naming the line.
trace parse_trace(const std::string& text);
} // namespace yardhill::replay
