// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// A recorded run: the requests and faults from outside the cell, in order of time, as JSON lines.
// The first line describes the cell; each other line is one action.

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
  apply,         // who: instance; the built-in configuration with `number` replicas of `watcher`
  kill,          // who: instance
  start,         // who: instance; starts without any state
  stop,          // who: instance; a planned stop
  pause,         // who: instance; its unsent commands are sent when it resumes
  resume,        // who: instance
  cut,           // who, other: messages from `who` to `other` are lost
  heal,          // who, other
  store_outage,  // number: 1 down, 0 up
  store_slow,    // number: latency in us
  store_lose,    // number: how many replies to committed writes are lost
  worker_kill,   // who: worker
  worker_reboot, // who: worker, also after a kill
  worker_fail,   // who: worker, number: 1 every task fails, 0 normal
  worker_leave,  // who: worker, number: 1 leaving, 0 not leaving
  slow_messages, // number: on average one in `number` messages is late by seconds; 0 none
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
  std::uint64_t seed = 1; // of the message delays
  std::uint32_t zones = 1;
  std::uint32_t partitions = 1; // per zone
  std::uint32_t instances = 2;  // per zone
  std::uint32_t workers = 5;    // per zone
  std::string config;           // configuration file next to the trace; empty: the built-in one
  duration until{0};
};

struct trace
{
  trace_header header;
  std::vector<trace_action> actions; // sorted by time
};

std::string to_json_line(const trace_action& action);
std::string to_json_lines(const trace& recorded);
// Throws std::runtime_error with the line number if a line is malformed.
trace parse_trace(const std::string& text);
} // namespace yardhill::replay
