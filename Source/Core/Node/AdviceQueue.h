// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Sends calls to the advice service one at a time, since the service handles the calls of one
// instance in turn. The call with the shortest expected time goes first, so that calls for which
// somebody is waiting are not held up by long ones.

#include <functional>
#include <map>

#include "Common/Timekeeper.h"
#include "platform/AdviceClient.h"

namespace yardhill::node
{
class advice_queue
{
public:
  using answer_handler = std::function<void(scheduling::advice_answer)>;

  advice_queue(common::timekeeper& time, adapter::advice_client& client);

  void ask(scheduling::advice_command command, answer_handler done);
  // The expected time of all queued calls and of the call in flight together.
  std::chrono::milliseconds backlog() const;

private:
  struct queued_call
  {
    scheduling::advice_command command;
    answer_handler done;
    common::time_point queued_at;
  };

  void start_next();

  common::timekeeper& m_time;
  adapter::advice_client& m_client;
  std::multimap<std::chrono::milliseconds, queued_call> m_queue; // by expected service time
  std::chrono::milliseconds m_in_flight{0}; // expected time of the call in flight
  bool m_busy = false;
};
} // namespace yardhill::node
