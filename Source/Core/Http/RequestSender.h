// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// A way to one HTTP service, whichever it is.

#include "Common/InstanceSettings.h"
#include "Common/Time.h"
#include "Http/HttpMessage.h"

namespace yardhill::http
{
class request_sender
{
public:
  virtual ~request_sender() = default;

  // `done` is called exactly once, from the event loop.
  virtual void send(request call, common::duration timeout, reply_handler done) = 0;
};

// A way to any HTTP service, by its address.
class peer_sender
{
public:
  virtual ~peer_sender() = default;

  virtual void send(const common::endpoint& peer, request call, common::duration timeout,
                    reply_handler done) = 0;
};
} // namespace yardhill::http
