// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// One request to the store that was sent twice, directly and through a peer.
//
// A rejection of one copy says nothing about the other: if the rejection were reported as the
// outcome, a caller could be refused although the other copy has stored its job.

#include <optional>

#include "Http/RequestSender.h"

namespace yardhill::node
{
// Whether the store has certainly not executed the request that got this reply.
bool certainly_not_executed(const http::reply& answer);

class duplicated_request
{
public:
  // `done` is called once: with a reply that shows the outcome of one copy; else with a reply that
  // neither copy was executed; else with a reply that leaves the outcome unknown.
  explicit duplicated_request(http::reply_handler done);

  // The reply to either copy; called once per copy.
  void answered(const http::reply& answer);

private:
  http::reply_handler m_done; // empty once it has been called
  std::optional<http::reply> m_first_reply;
};
} // namespace yardhill::node
