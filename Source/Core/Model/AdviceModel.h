// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Model of the platform's advice service, which says on which workers a policy permits a step and
// issues a ticket for each of them.

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

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
  // The seed determines which steps the policy permits on which workers.
  advice_model(common::timekeeper& time, std::uint64_t seed, const advice_settings& settings);

  // Jobs for which the function returns settings are subject to these instead.
  using settings_lookup = std::function<std::optional<advice_settings>(const std::string& job)>;
  void set_job_settings(settings_lookup settings) { m_settings_of_job = std::move(settings); }
  // No reply contains a ticket for a worker for which the function returns true.
  using ticket_filter =
      std::function<bool(const std::string& step, const std::string& incarnation)>;
  void withhold_tickets(ticket_filter withheld) { m_withheld = std::move(withheld); }
  // Handles a call from `machine`. The calls of one machine are answered one after the other.
  void handle(const std::string& machine, const http::request& call, http::reply_handler done);
  // Sets the present incarnation of the worker with that id.
  void set_incarnation(const std::string& id, const std::string& incarnation)
  {
    m_incarnations[id] = incarnation;
  }
  // Whether the ticket is valid now for starting the step on that incarnation of a worker.
  bool valid(const std::string& ticket, const std::string& step,
             const std::string& incarnation) const;
  // Whether the policy permits the step on that incarnation of a worker.
  bool permits(const std::string& step, const std::string& incarnation) const;

private:
  struct issued
  {
    std::string step;
    std::string incarnation; // of the worker
    common::time_point until;
  };

  advice_settings settings_for(const std::string& step) const;
  http::reply answer(const std::string& body);

  common::timekeeper& m_time;
  std::uint64_t m_seed;
  advice_settings m_settings;
  settings_lookup m_settings_of_job;
  ticket_filter m_withheld;
  // By machine: when the last of its calls is answered.
  std::map<std::string, common::time_point> m_free_at;
  std::map<std::string, std::string> m_incarnations; // by worker id
  std::map<std::string, issued> m_tickets;
};
} // namespace yardhill::model
