// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The platform's advice service: which workers a policy permits for a step, with tickets.

#include <map>
#include <set>
#include <string>

#include "Common/Timekeeper.h"
#include "Http/HttpMessage.h"

namespace yardhill::model
{
struct advice_settings
{
  std::chrono::milliseconds per_call{19};
  std::chrono::microseconds per_worker{280};
  std::chrono::milliseconds valid{2500};
  double permitted_share = 0.85;
};

class advice_model
{
public:
  // The policy follows from the seed.
  advice_model(common::timekeeper& time, std::uint64_t seed, const advice_settings& settings);

  // A call of that machine; the calls of one machine are answered in turn.
  void handle(const std::string& machine, const http::request& call, http::reply_handler done);
  // From now on that is the life of the worker with that id.
  void worker_begins(const std::string& id, const std::string& life) { m_lives[id] = life; }
  // Whether the ticket serves for the step at that life of a worker now.
  bool valid(const std::string& ticket, const std::string& step, const std::string& life) const;

private:
  struct issued
  {
    std::string step;
    std::string life; // of the worker
    common::time_point until;
  };

  bool permits(const std::string& step, const std::string& life) const;
  http::reply answer(const std::string& body);

  common::timekeeper& m_time;
  std::uint64_t m_seed;
  advice_settings m_settings;
  std::map<std::string, common::time_point> m_free_at; // by machine
  std::map<std::string, std::string> m_lives;          // by id
  std::map<std::string, issued> m_tickets;
};
} // namespace yardhill::model
