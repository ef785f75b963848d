// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Calls for advice, one at a time, since the service takes this instance's calls in turn: the
// shortest first, so that what somebody waits for is not held up by long ones.

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

  void ask(scheduling::advice_command question, answer_handler done);
  // How long the calls in line and under way take together.
  std::chrono::milliseconds backlog() const;

private:
  struct waiting
  {
    scheduling::advice_command question;
    answer_handler done;
    common::time_point asked;
  };

  void next();

  common::timekeeper& m_time;
  adapter::advice_client& m_client;
  std::multimap<std::chrono::milliseconds, waiting> m_waiting; // by expected time
  std::chrono::milliseconds m_under_way{0};
  bool m_busy = false;
};
} // namespace yardhill::node
