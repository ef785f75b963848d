// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Model/StoreModel.h"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "Common/Json.h"
#include "platform/WireNames.h"

namespace yardhill::model
{
namespace
{
using nlohmann::json;
namespace wire = adapter::wire;
// A part that has more than this queued rejects further transactions.
constexpr std::chrono::seconds k_max_transaction_wait{1};
// The platform's limits of a transaction and of a row's value.
constexpr std::size_t k_max_entries = 100;
constexpr std::size_t k_max_transaction_bytes = 1'000'000;
constexpr std::size_t k_max_row_bytes = 65536;
using query_map = std::map<std::string, std::string>;

std::string unescaped(const std::string& text)
{
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i)
  {
    if (text[i] == '%' && i + 2 < text.size())
    {
      out.push_back(static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16)));
      i += 2;
    }
    else
    {
      out.push_back(text[i]);
    }
  }
  return out;
}

query_map query_of(const std::string& target)
{
  query_map query;
  std::size_t at = target.find('?');
  while (at != std::string::npos)
  {
    const std::size_t next = target.find('&', at + 1);
    const std::string pair =
        target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
    const std::size_t equals = pair.find('=');
    if (equals != std::string::npos)
      query[pair.substr(0, equals)] = unescaped(pair.substr(equals + 1));
    at = next;
  }
  return query;
}

std::string value_of(const query_map& query, const char* name, const std::string& usual = {})
{
  const auto found = query.find(name);
  return found == query.end() ? usual : found->second;
}

adapter::row_key key_from(const json& in)
{
  return {in.at(wire::k_table), in.value(wire::k_part, std::string()), in.at(wire::k_key)};
}

json row_json(const adapter::row_key& at, const std::string& value, adapter::row_version version)
{
  return {{wire::k_table, at.table},
          {wire::k_part, at.part},
          {wire::k_key, at.key},
          {wire::k_value, value},
          {wire::k_row_version, version}};
}
} // namespace

store_model::store_model(common::timekeeper& time) : m_time(time) {}

std::int64_t store_model::clock_ms() const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(m_time.now().time_since_epoch())
      .count();
}

void store_model::handle(const http::request& call, http::reply_handler done)
{
  const std::string path = call.target.substr(0, call.target.find('?'));
  try
  {
    if (!m_silent.empty() && concerns_silent_part(call))
      return;
    if (path == wire::k_transact_path)
      transact_in_turn(call.body, std::move(done));
    else if (path == wire::k_read_path)
      run_after(m_transaction_time, [this, query = query_of(call.target), done = std::move(done)]
                { done(read(query)); });
    else if (path == wire::k_feed_path)
      feed(query_of(call.target), std::move(done));
    else
      done({404, {}, {}, false});
  }
  catch (const std::exception& error)
  {
    done({400, error.what(), {}, false});
  }
}

bool store_model::concerns_silent_part(const http::request& call) const
{
  if (call.verb == http::method::get)
    return m_silent.contains(value_of(query_of(call.target), wire::k_part));
  const json in = json::parse(call.body);
  for (const char* const list : {wire::k_conditions, wire::k_puts, wire::k_removes})
  {
    for (const json& each : in.value(list, json::array()))
    {
      if (m_silent.contains(each.value(wire::k_part, std::string())))
        return true;
    }
  }
  return false;
}

void store_model::transact_in_turn(const std::string& body, http::reply_handler done)
{
  const json in = json::parse(body);
  const json& puts = in.value(wire::k_puts, json::array());
  const std::string part =
      puts.empty() ? std::string() : puts[0].value(wire::k_part, std::string());
  common::time_point& busy_until = m_busy_until[part];
  if (busy_until - m_time.now() > k_max_transaction_wait)
  {
    done({429, {}, {}, false});
    return;
  }
  busy_until = std::max(busy_until, m_time.now()) + m_transaction_time;
  run_after(busy_until - m_time.now(),
            [this, body, done = std::move(done)] { done(transact(body)); });
}

void store_model::run_after(common::duration wait, const std::function<void()>& action)
{
  if (wait.count() == 0)
    action();
  else
    m_time.schedule(wait, action);
}

bool store_model::accepts(const std::string& body) const
{
  const json in = json::parse(body);
  std::size_t entries = 0;
  for (const char* const list : {wire::k_conditions, wire::k_puts, wire::k_removes})
  {
    if (const auto found = in.find(list); found != in.end())
      entries += found->size();
  }
  if (entries > k_max_entries || body.size() > k_max_transaction_bytes)
    return false;
  const auto puts = in.find(wire::k_puts);
  return puts == in.end() || std::all_of(puts->begin(), puts->end(),
                                         [this](const json& each)
                                         {
                                           const auto& value =
                                               each.at(wire::k_value).get_ref<const std::string&>();
                                           return value.size() / 4 * 3 <= k_max_row_bytes + 2 &&
                                                  !m_refused.contains(key_from(each));
                                         });
}

http::reply store_model::transact(const std::string& body)
{
  const json in = json::parse(body);
  if (!accepts(body))
    return {400, "the transaction is too large or has a refused row", {}, false};
  json conflicting = json::array();
  bool holds = true;
  for (const json& each : in.value(wire::k_conditions, json::array()))
  {
    const adapter::row_key at = key_from(each);
    const auto found = m_rows.find(at);
    const adapter::row_version actual = found == m_rows.end() ? 0 : found->second.version;
    holds = holds && actual == each.at(wire::k_row_version).get<adapter::row_version>();
    if (found != m_rows.end())
      conflicting.push_back(row_json(at, found->second.value, actual));
  }
  json answer{{wire::k_row_version, m_version}, {wire::k_store_clock_ms, clock_ms()}};
  if (!holds)
  {
    answer[wire::k_rows] = std::move(conflicting);
    return {412, answer.dump(), {}, false};
  }
  ++m_version;
  for (const json& each : in.value(wire::k_puts, json::array()))
  {
    const std::string value = each.at(wire::k_value);
    write(key_from(each), &value, m_version);
  }
  for (const json& each : in.value(wire::k_removes, json::array()))
    write(key_from(each), nullptr, m_version);
  answer[wire::k_row_version] = m_version;
  answer_feeds();
  return {200, answer.dump(), {}, false};
}

void store_model::write(const adapter::row_key& at, const std::string* value,
                        adapter::row_version version)
{
  if (value == nullptr)
    m_rows.erase(at);
  else
    m_rows[at] = {*value, version};
  m_history.push_back({at, version, value == nullptr, value == nullptr ? std::string() : *value});
}

void store_model::put(const adapter::row_key& at, const std::string& value)
{
  const std::string encoded = common::to_base64(value);
  write(at, &encoded, ++m_version);
  answer_feeds();
}

void store_model::remove(const adapter::row_key& at)
{
  if (!m_rows.contains(at))
    return;
  write(at, nullptr, ++m_version);
  answer_feeds();
}

std::optional<std::string> store_model::value(const adapter::row_key& at) const
{
  const auto found = m_rows.find(at);
  if (found == m_rows.end())
    return std::nullopt;
  return common::from_base64(found->second.value);
}

void store_model::discard_history()
{
  m_history.clear();
  m_oldest = m_version;
  for (waiting_feed& each : std::exchange(m_feeds, {}))
  {
    m_time.cancel(each.timeout);
    each.done({410, {}, {}, false});
  }
}

void store_model::forget_rows(const std::string& table)
{
  std::erase_if(m_rows, [&table](const auto& each) { return each.first.table == table; });
}

http::reply store_model::read(const query_map& query) const
{
  const std::string table = value_of(query, wire::k_table);
  const std::string part = value_of(query, wire::k_part);
  const std::string end = value_of(query, wire::k_end_key);
  const std::size_t limit = std::stoul(value_of(query, wire::k_limit, "500"));
  json rows = json::array();
  bool more = false;
  for (auto each = m_rows.lower_bound({table, part, value_of(query, wire::k_first_key)});
       each != m_rows.end() && each->first.table == table && each->first.part == part &&
       (end.empty() || each->first.key < end);
       ++each)
  {
    if (rows.size() >= limit)
    {
      more = true;
      break;
    }
    rows.push_back(row_json(each->first, each->second.value, each->second.version));
  }
  const json answer{{wire::k_rows, std::move(rows)},
                    {wire::k_more, more},
                    {wire::k_row_version, m_version},
                    {wire::k_store_clock_ms, clock_ms()}};
  return {200, answer.dump(), {}, false};
}

bool store_model::has_updates(const std::string& table, adapter::row_version since) const
{
  for (auto each = m_history.rbegin(); each != m_history.rend() && each->version > since; ++each)
  {
    if (each->at.table == table)
      return true;
  }
  return false;
}

std::string store_model::feed_answer(const std::string& table, adapter::row_version since) const
{
  json rows = json::array();
  adapter::row_version version = m_version;
  for (const change& each : m_history)
  {
    if (each.version <= since || each.at.table != table)
      continue;
    if (m_max_feed_rows > 0 && rows.size() == m_max_feed_rows)
    {
      version = each.version - 1;
      break;
    }
    json row = row_json(each.at, each.value, each.version);
    if (each.removed)
      row[wire::k_row_removed] = true;
    rows.push_back(std::move(row));
  }
  return json{{wire::k_rows, std::move(rows)},
              {wire::k_row_version, version},
              {wire::k_store_clock_ms, clock_ms()}}
      .dump();
}

void store_model::feed(const query_map& query, http::reply_handler done)
{
  const std::string table = value_of(query, wire::k_table);
  const adapter::row_version since = std::stoull(value_of(query, wire::k_since_version, "0"));
  if (since < m_oldest)
  {
    done({410, {}, {}, false});
    return;
  }
  if (has_updates(table, since))
  {
    done({200, feed_answer(table, since), {}, false});
    return;
  }
  const auto wait = std::chrono::milliseconds(std::stol(value_of(query, wire::k_wait_ms, "0")));
  m_feeds.push_back({table, since, std::move(done), 0});
  const auto entry = std::prev(m_feeds.end());
  entry->timeout =
      m_time.schedule(wait,
                      [this, entry]
                      {
                        const waiting_feed feed = std::move(*entry);
                        m_feeds.erase(entry);
                        feed.done({200, feed_answer(feed.table, feed.since), {}, false});
                      });
}

void store_model::answer_feeds()
{
  std::list<waiting_feed> due;
  for (auto each = m_feeds.begin(); each != m_feeds.end();)
  {
    const auto next = std::next(each);
    if (has_updates(each->table, each->since))
      due.splice(due.end(), m_feeds, each);
    each = next;
  }
  for (waiting_feed& each : due)
  {
    m_time.cancel(each.timeout);
    each.done({200, feed_answer(each.table, each.since), {}, false});
  }
}
} // namespace yardhill::model
