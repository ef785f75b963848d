// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Instance/ConfigManager.h"

#include <algorithm>
#include <iomanip>
#include <sstream>
#include <utility>

#include "Common/Backoff.h"
#include "Common/ConfigParser.h"
#include "Common/Error.h"
#include "Common/Json.h"

namespace yardhill::instance
{
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(recorded_apply, id, version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(config_head, version, applies)

namespace
{
constexpr const char* k_head_key = "config/head";
constexpr std::size_t k_max_recorded_applies = 20;
constexpr duration k_apply_timeout = std::chrono::seconds{5};
constexpr std::uint32_t k_max_backoff_doublings = 6;

std::string document_key(std::uint64_t version)
{
  std::ostringstream key;
  key << "config/document/" << std::setw(12) << std::setfill('0') << version;
  return key.str();
}
// Parses the head row; nullopt if it is malformed.
std::optional<config_head> parse_head(const std::string& text)
{
  return parsed_or_none("read_head", "table",
                        [&text] { return json::parse(text).get<config_head>(); });
}
} // namespace

config_manager::config_manager(const ownership_options& options, metrics& counts)
    : m_options(options), m_metrics(counts)
{
}

bool config_manager::adopt(std::uint64_t version, const std::string& document)
{
  if (version <= m_cell.version)
    return false;
  problem_list problems;
  std::optional<cell_config> parsed = parse_cell_config({{"configuration", document}}, problems);
  if (!parsed)
    return false;
  m_cell = std::move(*parsed);
  m_cell.version = version;
  m_document = document;
  m_output.changed = true;
  m_metrics.add(counter::config_changes);
  m_metrics.set(gauge::config_version, version);
  return true;
}

void config_manager::receive_peer_version(std::uint64_t version, const std::string& document)
{
  adopt(version, document);
}

void config_manager::apply(const apply_request& request, time_point now)
{
  problem_list problems;
  if (!parse_cell_config({{"configuration", request.document}}, problems))
  {
    std::vector<std::string> lines;
    for (const file_problem& problem : problems)
      lines.push_back(to_text(problem));
    m_output.answers.push_back({request.number, apply_outcome::invalid, version(), lines});
    return;
  }
  m_pending_applies.push_back({request, now + k_apply_timeout});
  m_next_poll = time_point{};
}

void config_manager::call(ownership::store_call request, step next)
{
  m_step = next;
  m_output.call = std::move(request);
}

void config_manager::read_answered(const store_read_result& result, time_point now)
{
  m_metrics.add(counter::store_reads);
  const step answered = std::exchange(m_step, step::none);
  if (result.status != store_status::ok)
    retry_later(now);
  else if (answered == step::reading_head)
    handle_head_read(result, now);
  else if (answered == step::reading_document)
    handle_document_read(result, now);
}

void config_manager::handle_head_read(const store_read_result& result, time_point now)
{
  m_failures = 0;
  m_next_poll = now + m_options.config_poll;
  m_recorded_applies.clear();
  m_head_version = 0;
  m_head_row_version = 0;
  if (!result.rows.empty())
  {
    const std::optional<config_head> head = parse_head(result.rows.front().value);
    if (!head)
    {
      retry_later(now);
      return;
    }
    m_head_row_version = result.rows.front().version;
    m_head_version = head->version;
    m_recorded_applies = head->applies;
  }
  if (m_head_version > m_cell.version)
    call(store_read{document_key(m_head_version), {}, 1}, step::reading_document);
  else
    try_apply(now);
}

void config_manager::handle_document_read(const store_read_result& result, time_point now)
{
  if (!result.rows.empty())
    adopt(m_head_version, result.rows.front().value);
  try_apply(now);
}

void config_manager::try_apply(time_point now)
{
  if (m_pending_applies.empty())
    return;
  const apply_request& request = m_pending_applies.front().request;
  const auto past = std::ranges::find(m_recorded_applies, request.apply_id, &recorded_apply::id);
  if (past != m_recorded_applies.end())
  {
    adopt(past->version, request.document);
    reply_to_first_apply(apply_outcome::applied, {});
    return;
  }
  if (m_head_version != request.base)
  {
    reply_to_first_apply(apply_outcome::conflict, differing_fields(request.document, m_document));
    return;
  }
  if (now >= m_pending_applies.front().timeout_at)
  {
    reply_to_first_apply(apply_outcome::unclear, {});
    return;
  }
  write_config();
}

void config_manager::write_config()
{
  const apply_request& request = m_pending_applies.front().request;
  const std::uint64_t next = m_head_version + 1;
  config_head head{next, m_recorded_applies};
  head.applies.push_back({request.apply_id, next});
  if (head.applies.size() > k_max_recorded_applies)
    head.applies.erase(head.applies.begin());
  store_transaction transaction;
  transaction.checks.push_back({k_head_key, m_head_row_version});
  transaction.puts.push_back({k_head_key, json(head).dump()});
  transaction.puts.push_back({document_key(next), request.document});
  if (next > k_max_recorded_applies)
    transaction.puts.push_back({document_key(next - k_max_recorded_applies), std::nullopt});
  call(std::move(transaction), step::writing);
}

void config_manager::write_answered(const store_write_result& result, time_point now)
{
  if (std::exchange(m_step, step::none) != step::writing || m_pending_applies.empty())
    return;
  switch (result.status)
  {
  case store_status::ok:
    m_failures = 0;
    m_head_row_version = result.version;
    ++m_head_version;
    adopt(m_head_version, m_pending_applies.front().request.document);
    m_output.applied_locally = true;
    reply_to_first_apply(apply_outcome::applied, {});
    return;
  case store_status::conflict:
    m_next_poll = time_point{}; // read the head row again: it names the version that won
    return;
  case store_status::unclear:
    m_pending_applies.front().maybe_written = true;
    retry_later(now);
    return;
  case store_status::limited:
  case store_status::unavailable:
  case store_status::count:
    retry_later(now);
    return;
  }
}

void config_manager::reply_to_first_apply(apply_outcome result, std::vector<std::string> problems)
{
  m_output.answers.push_back(
      {m_pending_applies.front().request.number, result, version(), std::move(problems)});
  m_pending_applies.pop_front();
  if (!m_pending_applies.empty())
    m_next_poll = time_point{};
}

void config_manager::retry_later(time_point now)
{
  ++m_failures;
  const backoff pauses{m_options.store_retry_first, m_options.config_poll, k_max_backoff_doublings};
  m_next_poll = now + pauses.after(m_failures - 1);
}

void config_manager::advance(time_point now)
{
  while (!m_pending_applies.empty() && m_step == step::none &&
         now >= m_pending_applies.front().timeout_at)
    reply_to_first_apply(m_pending_applies.front().maybe_written ? apply_outcome::unclear
                                                                 : apply_outcome::unavailable,
                         {});
  if (m_step == step::none && !m_output.call && now >= m_next_poll)
    call(store_read{k_head_key, {}, 1}, step::reading_head);
}

time_point config_manager::next_timer() const
{
  return m_step == step::none ? m_next_poll : k_never;
}

config_output config_manager::take_output()
{
  return std::exchange(m_output, {});
}
} // namespace yardhill::instance
