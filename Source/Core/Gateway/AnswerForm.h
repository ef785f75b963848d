// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Converts answers to HTTP responses: status code and body.

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

// The body for outcome `done` is the bytes of the result. For every other outcome the body is JSON
// with code, reason, step, peer, retry_after_ms and further fields.
http_form form_of(const answer& value);
http_form form_of(const instance::answer_apply& value);
// Builds the refusal of a request for which no task was created.
answer bad_request(refusal_reason reason, std::string detail);
} // namespace yardhill::gateway
