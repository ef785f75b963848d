// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// One call to the store that was sent twice, directly and through a peer.
//
// That one copy was turned away says nothing of the other: a caller that is told "not done" then
// may be refused although its job is kept.

#include <optional>

#include "Http/RequestSender.h"

namespace yardhill::node
{
// Whether the store has certainly not carried the call out.
bool certainly_not_executed(const http::reply& answer);

class duplicated_request
{
public:
  // `done` is told once: what one copy has brought about, else that neither was carried out, else
  // that the outcome is not known.
  explicit duplicated_request(http::reply_handler done);

  // Of either copy; each is told once.
  void answered(const http::reply& answer);

private:
  http::reply_handler m_done; // none once it has been told
  std::optional<http::reply> m_first;
};
} // namespace yardhill::node
