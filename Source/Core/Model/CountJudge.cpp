// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Model/CountJudge.h"

#include <set>
#include <utility>

#include <nlohmann/json.hpp>

#include "platform/WireNames.h"

namespace yardhill::model
{
namespace
{
using std::chrono::milliseconds;

constexpr milliseconds k_period{200};
// A job that was accepted this long ago must be counted: it is known after 3 s and reported within
// 2 s more.
constexpr milliseconds k_count_delay{5000};
constexpr const char* k_timeout_ms = "3000";
// A configuration must be in force this long after it was written.
constexpr milliseconds k_configuration_delay{3000};
} // namespace

count_judge::count_judge(explored_cell& cell, time_point end)
    : m_cell(cell), m_end(end), m_connectivity(cell)
{
  query_all();
}

void count_judge::query_all()
{
  if (m_cell.time().now() > m_end)
    return;
  for (explored_instance& each : m_cell.instances())
  {
    if (!m_connectivity.connected(each))
      continue;
    ask(each, k_urgent_prefix);
    ask(each, k_plain_prefix);
  }
  m_cell.time().schedule(k_period, [this] { query_all(); });
}

void count_judge::ask(explored_instance& which, const std::string& prefix)
{
  const time_point accepted_by = m_cell.time().now() - k_count_delay;
  const std::uint64_t due = m_cell.version_written_by(m_cell.time().now() - k_configuration_delay);
  std::vector<std::string> headers{k_timeout_ms};
  if (workspace_model* const workspaces = m_cell.workspaces())
  {
    const std::set<std::string> valid = workspaces->keys_always_valid(
        m_cell.time().now() - k_configuration_delay, m_cell.time().now());
    headers.push_back(valid.empty() ? std::string() : *valid.begin());
  }
  which.time->schedule(
      duration{0},
      [this, &which, prefix, accepted_by, due, headers = std::move(headers)]
      {
        which.core->handle(
            {http::method::get, k_host, prefix, "", headers},
            [this, &which, prefix, accepted_by, due](const http::outgoing_reply& answer)
            {
              on_answer(which, prefix, m_cell.callers().waiting(prefix, accepted_by), answer);
              if (answer.status == 200 && m_connectivity.connected(which))
                check_configuration(which, due);
            });
      });
}

void count_judge::on_answer(const explored_instance& which, const std::string& prefix,
                            std::uint64_t waiting, const http::outgoing_reply& answer)
{
  // The instance may have been disturbed while the query was in flight.
  if (!m_connectivity.connected(which))
    return;
  if (answer.status != 200)
  {
    ++m_unknown;
    return;
  }
  ++m_counted;
  const std::uint64_t reported =
      nlohmann::json::parse(answer.body).at(adapter::wire::k_pending).get<std::uint64_t>();
  if (2 * reported < waiting)
    m_violations.push_back("MIXED: " + which.name + " says that " + std::to_string(reported) +
                           " jobs of " + prefix + " wait, of " + std::to_string(waiting) +
                           now_text());
}

void count_judge::check_configuration(const explored_instance& which, std::uint64_t due)
{
  const std::uint64_t has = which.metrics->value(common::gauge::config_version);
  if (has < due)
    m_violations.push_back("CONFIG: " + which.name + " serves by version " + std::to_string(has) +
                           ", " + std::to_string(due) + " is due" + now_text());
}

std::string count_judge::now_text() const
{
  const auto now = std::chrono::duration_cast<milliseconds>(m_cell.time().now() - m_cell.begin());
  return " at " + std::to_string(now.count()) + " ms";
}
} // namespace yardhill::model
