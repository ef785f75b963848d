// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Interfaces for sending HTTP requests, independent of the transport.

#include "Common/InstanceSettings.h"
#include "Common/Time.h"
#include "Http/HttpMessage.h"

namespace yardhill::http
{
// Sends requests to one HTTP service; the implementation knows its address.
class request_sender
{
public:
  virtual ~request_sender() = default;

  // `done` is called exactly once, from the event loop.
  virtual void send(request call, common::duration timeout, reply_handler done) = 0;
};

// Sends requests to any HTTP service, given its address.
class peer_sender
{
public:
  virtual ~peer_sender() = default;

  virtual void send(const common::endpoint& peer, request call, common::duration timeout,
                    reply_handler done) = 0;
};
} // namespace yardhill::http
