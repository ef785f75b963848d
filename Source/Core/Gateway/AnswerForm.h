// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// How an answer looks over HTTP.

#include <string>

#include "Common/Task.h"
#include "Instance/InstanceCommands.h"

namespace yardhill::gateway
{
using namespace common;

struct http_form
{
  int status = 0;
  std::string body;
  bool is_result = false; // the body is the task's result, byte for byte; else it is JSON
};

// `done` gives the result's bytes; all else is JSON with code, reason, step, peer, retry_after_ms.
http_form form_of(const answer& value);
http_form form_of(const instance::answer_apply& value);
// For a request that never became a task.
answer bad_request(refusal_reason reason, std::string detail);
} // namespace yardhill::gateway
