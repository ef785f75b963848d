// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Model/AdviceModel.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "Common/Hash.h"
#include "platform/WireNames.h"

namespace yardhill::model
{
namespace
{
using nlohmann::json;
namespace wire = adapter::wire;
constexpr std::uint64_t k_share_resolution = 1000;
} // namespace

advice_model::advice_model(common::timekeeper& time, std::uint64_t seed,
                           const advice_settings& settings)
    : m_time(time), m_seed(seed), m_settings(settings)
{
}

advice_settings advice_model::settings_for(const std::string& step) const
{
  const std::string job = step.substr(0, step.find('.'));
  return m_settings_of_job ? m_settings_of_job(job).value_or(m_settings) : m_settings;
}

bool advice_model::permits(const std::string& step, const std::string& incarnation) const
{
  return static_cast<double>(common::stable_hash(step + "/" + incarnation, m_seed) %
                             k_share_resolution) <
         settings_for(step).permitted_share * static_cast<double>(k_share_resolution);
}

void advice_model::handle(const std::string& machine, const http::request& call,
                          http::reply_handler done)
{
  const json body = json::parse(call.body, nullptr, false);
  const std::size_t named =
      body.is_object() ? body.value(wire::k_workers, json::array()).size() : 0;
  const advice_settings settings =
      body.is_object() ? settings_for(body.value(wire::k_step_name, std::string())) : m_settings;
  const common::duration takes = settings.per_call + settings.per_worker * named;
  common::time_point& free_at = m_free_at[machine];
  free_at = std::max(free_at, m_time.now()) + takes;
  m_time.schedule(free_at - m_time.now(),
                  [this, text = call.body, done = std::move(done)] { done(answer(text)); });
}

http::reply advice_model::answer(const std::string& body)
{
  const json in = json::parse(body, nullptr, false);
  if (!in.is_object())
    return {400, {}, {}, false};
  const std::string step = in.at(wire::k_step_name);
  const std::chrono::milliseconds valid_for = settings_for(step).valid;
  json good = json::array();
  for (const json& each : in.at(wire::k_workers))
  {
    const std::string worker = each;
    const auto known = m_incarnations.find(worker);
    const std::string& incarnation = known == m_incarnations.end() ? worker : known->second;
    if (!permits(step, incarnation) || (m_withheld && m_withheld(step, incarnation)))
      continue;
    const std::string ticket = "t" + std::to_string(m_tickets.size());
    m_tickets[ticket] = {step, incarnation, m_time.now() + valid_for};
    good.push_back({worker, ticket});
  }
  return {200,
          json{{wire::k_permitted_workers, std::move(good)}, {wire::k_valid_ms, valid_for.count()}}
              .dump(),
          {},
          false};
}

bool advice_model::valid(const std::string& ticket, const std::string& step,
                         const std::string& incarnation) const
{
  const auto found = m_tickets.find(ticket);
  return found != m_tickets.end() && found->second.step == step &&
         found->second.incarnation == incarnation && m_time.now() <= found->second.until;
}
} // namespace yardhill::model
