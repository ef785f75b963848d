// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Instance/ConfigKeeper.h"

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
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(past_apply, id, version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(config_head, version, applies)

namespace
{
constexpr const char* k_head_key = "config/head";
constexpr std::size_t k_remembered_applies = 20;
constexpr duration k_apply_patience = std::chrono::seconds{5};
constexpr std::uint32_t k_most_doublings = 6;

std::string document_key(std::uint64_t version)
{
  std::ostringstream key;
  key << "config/document/" << std::setw(12) << std::setfill('0') << version;
  return key.str();
}
// What the head's row says; nothing where it cannot be read.
std::optional<config_head> parse_head(const std::string& text)
{
  return parsed_or_none("read_head", "table",
                        [&text] { return json::parse(text).get<config_head>(); });
}
} // namespace

config_keeper::config_keeper(const ownership_options& options, metrics& counts)
    : m_options(options), m_metrics(counts)
{
}

bool config_keeper::take(std::uint64_t version, const std::string& document)
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

void config_keeper::offered(std::uint64_t version, const std::string& document)
{
  take(version, document);
}

void config_keeper::apply(const apply_request& request, time_point now)
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
  m_applies.push_back({request, now + k_apply_patience});
  m_next_poll = time_point{};
}

void config_keeper::call(ownership::store_call request, step next)
{
  m_step = next;
  m_output.call = std::move(request);
}

void config_keeper::read_answered(const store_read_result& result, time_point now)
{
  m_metrics.add(counter::store_reads);
  const step answered = std::exchange(m_step, step::none);
  if (result.status != store_status::ok)
    failed(now);
  else if (answered == step::reading_head)
    head_was_read(result, now);
  else if (answered == step::reading_document)
    document_was_read(result, now);
}

void config_keeper::head_was_read(const store_read_result& result, time_point now)
{
  m_failures = 0;
  m_next_poll = now + m_options.config_poll;
  m_past.clear();
  m_head = 0;
  m_head_row = 0;
  if (!result.rows.empty())
  {
    const std::optional<config_head> head = parse_head(result.rows.front().value);
    if (!head)
    {
      failed(now);
      return;
    }
    m_head_row = result.rows.front().version;
    m_head = head->version;
    m_past = head->applies;
  }
  if (m_head > m_cell.version)
    call(store_read{document_key(m_head), {}, 1}, step::reading_document);
  else
    try_apply(now);
}

void config_keeper::document_was_read(const store_read_result& result, time_point now)
{
  if (!result.rows.empty())
    take(m_head, result.rows.front().value);
  try_apply(now);
}

void config_keeper::try_apply(time_point now)
{
  if (m_applies.empty())
    return;
  const apply_request& request = m_applies.front().request;
  const auto past = std::ranges::find(m_past, request.apply_id, &past_apply::id);
  if (past != m_past.end())
  {
    take(past->version, request.document);
    answer_first(apply_outcome::applied, {});
    return;
  }
  if (m_head != request.base)
  {
    answer_first(apply_outcome::conflict, differing_fields(request.document, m_document));
    return;
  }
  if (now >= m_applies.front().give_up)
  {
    answer_first(apply_outcome::unclear, {});
    return;
  }
  write_config();
}

void config_keeper::write_config()
{
  const apply_request& request = m_applies.front().request;
  const std::uint64_t next = m_head + 1;
  config_head head{next, m_past};
  head.applies.push_back({request.apply_id, next});
  if (head.applies.size() > k_remembered_applies)
    head.applies.erase(head.applies.begin());
  store_transaction transaction;
  transaction.checks.push_back({k_head_key, m_head_row});
  transaction.puts.push_back({k_head_key, json(head).dump()});
  transaction.puts.push_back({document_key(next), request.document});
  if (next > k_remembered_applies)
    transaction.puts.push_back({document_key(next - k_remembered_applies), std::nullopt});
  call(std::move(transaction), step::writing);
}

void config_keeper::write_answered(const store_write_result& result, time_point now)
{
  if (std::exchange(m_step, step::none) != step::writing || m_applies.empty())
    return;
  switch (result.status)
  {
  case store_status::ok:
    m_failures = 0;
    m_head_row = result.version;
    ++m_head;
    take(m_head, m_applies.front().request.document);
    m_output.applied_here = true;
    answer_first(apply_outcome::applied, {});
    return;
  case store_status::conflict:
    m_next_poll = time_point{}; // read the head again: it names who won
    return;
  case store_status::unclear:
    m_applies.front().maybe_written = true;
    failed(now);
    return;
  case store_status::limited:
  case store_status::unavailable:
  case store_status::count:
    failed(now);
    return;
  }
}

void config_keeper::answer_first(apply_outcome result, std::vector<std::string> problems)
{
  m_output.answers.push_back(
      {m_applies.front().request.number, result, version(), std::move(problems)});
  m_applies.pop_front();
  if (!m_applies.empty())
    m_next_poll = time_point{};
}

void config_keeper::failed(time_point now)
{
  ++m_failures;
  const backoff pauses{m_options.store_retry_first, m_options.config_poll, k_most_doublings};
  m_next_poll = now + pauses.after(m_failures - 1);
}

void config_keeper::advance(time_point now)
{
  while (!m_applies.empty() && m_step == step::none && now >= m_applies.front().give_up)
    answer_first(
        m_applies.front().maybe_written ? apply_outcome::unclear : apply_outcome::unavailable, {});
  if (m_step == step::none && !m_output.call && now >= m_next_poll)
    call(store_read{k_head_key, {}, 1}, step::reading_head);
}

time_point config_keeper::next_timer() const
{
  return m_step == step::none ? m_next_poll : k_never;
}

config_output config_keeper::take_output()
{
  return std::exchange(m_output, {});
}
} // namespace yardhill::instance
