// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Model/KeyJudge.h"

#include <iterator>

namespace yardhill::model
{
namespace
{
using std::chrono::milliseconds;

constexpr milliseconds k_period{200};
constexpr const char* k_timeout_ms = "3000";
// A configuration must be in force this long after it was written.
constexpr milliseconds k_configuration_delay{3000};
constexpr unsigned k_unauthorized = 401;
} // namespace

key_judge::key_judge(explored_cell& cell, time_point end)
    : m_cell(cell), m_end(end), m_connectivity(cell)
{
  call_all();
}

std::string key_judge::one_of(const std::set<std::string>& keys)
{
  return *std::next(keys.begin(), static_cast<std::ptrdiff_t>(++m_calls % keys.size()));
}

void key_judge::call_all()
{
  const time_point now = m_cell.time().now();
  if (now > m_end)
    return;
  const workspace_model& workspaces = *m_cell.workspaces();
  const std::set<std::string> valid =
      workspaces.keys_always_valid(now - k_configuration_delay, now);
  const std::set<std::string> revoked = workspaces.keys_revoked(now - k_configuration_delay, now);
  for (explored_instance& each : m_cell.instances())
  {
    if (!each.up())
      continue;
    call(each, m_calls % 2 == 0 ? std::string() : workspace_model::unknown_key(),
         key_status::unknown);
    if (!m_connectivity.connected(each))
      continue;
    if (!valid.empty())
      call(each, one_of(valid), key_status::valid);
    if (!revoked.empty())
      call(each, one_of(revoked), key_status::revoked);
  }
  m_cell.time().schedule(k_period, [this] { call_all(); });
}

void key_judge::call(explored_instance& which, const std::string& key, key_status status)
{
  which.time->schedule(duration{0},
                       [this, &which, key, status]
                       {
                         which.core->handle(
                             {http::method::get, k_host, k_plain_prefix, "", {k_timeout_ms, key}},
                             [this, &which, status](const http::outgoing_reply& answer)
                             { on_answer(which, status, answer.status); });
                       });
}

void key_judge::on_answer(const explored_instance& which, key_status status, unsigned answer)
{
  const bool served = answer == 200;
  m_served += served && status == key_status::valid ? 1 : 0;
  m_refused += !served && status != key_status::valid ? 1 : 0;
  if (status == key_status::unknown && served)
    violate("ROUTE", which, "served a call with a key that no configuration ever held");
  // The instance may have been disturbed while the call was in flight.
  if (!m_connectivity.connected(which))
    return;
  if (status == key_status::revoked && served)
    violate("CONFIG", which, "served a call with a revoked key");
  if (status == key_status::valid && answer == k_unauthorized)
    violate("CONFIG", which, "refused a call with a valid key");
}

void key_judge::violate(const std::string& rule, const explored_instance& which,
                        const std::string& message)
{
  const auto now = std::chrono::duration_cast<milliseconds>(m_cell.time().now() - m_cell.begin());
  m_violations.push_back(rule + ": " + which.name + " " + message + " at " +
                         std::to_string(now.count()) + " ms");
}
} // namespace yardhill::model
