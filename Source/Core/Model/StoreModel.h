// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Model of the platform's store as documented: conditional transactions, reads, feeds.

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "Common/Timekeeper.h"
#include "Http/HttpMessage.h"
#include "platform/StoreClient.h"

namespace yardhill::model
{
class store_model
{
public:
  explicit store_model(common::timekeeper& time);

  // Handles a call; the answer may come later.
  void handle(const http::request& call, http::reply_handler done);
  // Writes by the operator and the workers, which take effect at once.
  void put(const adapter::row_key& at, const std::string& value);
  void remove(const adapter::row_key& at);
  // The row's present value; none if there is no such row.
  std::optional<std::string> value(const adapter::row_key& at) const;
  // Calls that concern one of these parts get no answer and have no effect, as in a partial outage
  // of the store; feeds continue.
  void silence_parts(std::set<std::string> parts) { m_silent = std::move(parts); }
  // Each transaction takes this long (zero: no time), and those of one part run one after the
  // other; while more than a second of them is queued, further ones are rejected. Reads take as
  // long.
  void set_transaction_time(common::duration each) { m_transaction_time = each; }
  // Whether the store is slow or silent at present.
  bool disturbed() const { return m_transaction_time.count() != 0 || !m_silent.empty(); }
  // From now on transactions that write this row are refused as invalid.
  void refuse_row(const adapter::row_key& at) { m_refused.insert(at); }
  // A reply of a feed has at most so many rows (0: any number); the next call continues there.
  void limit_feed_replies(std::size_t rows) { m_max_feed_rows = rows; }
  // Drops the history, so that feeds that are behind have to read everything again.
  void discard_history();
  // Deletes all rows of a table, as if they had never been written.
  void forget_rows(const std::string& table);

private:
  struct stored
  {
    std::string value; // base64
    adapter::row_version version = 0;
  };

  struct change
  {
    adapter::row_key at;
    adapter::row_version version = 0;
    bool removed = false;
    std::string value;
  };

  struct waiting_feed
  {
    std::string table;
    adapter::row_version since = 0;
    http::reply_handler done;
    common::timekeeper::entry timeout = 0;
  };

  // Whether the transaction is within the store's limits and writes no row of refuse_row().
  bool accepts(const std::string& body) const;
  http::reply transact(const std::string& body);
  // Runs the action after `wait`, or at once if that is zero.
  void run_after(common::duration wait, const std::function<void()>& action);
  void transact_in_turn(const std::string& body, http::reply_handler done);
  http::reply read(const std::map<std::string, std::string>& query) const;
  void feed(const std::map<std::string, std::string>& query, http::reply_handler done);
  std::string feed_answer(const std::string& table, adapter::row_version since) const;
  bool has_updates(const std::string& table, adapter::row_version since) const;
  void write(const adapter::row_key& at, const std::string* value, adapter::row_version version);
  void answer_feeds();
  bool concerns_silent_part(const http::request& call) const;
  std::int64_t clock_ms() const;

  common::timekeeper& m_time;
  std::map<adapter::row_key, stored> m_rows;
  std::deque<change> m_history;
  std::list<waiting_feed> m_feeds;
  std::set<std::string> m_silent;
  std::set<adapter::row_key> m_refused;
  std::size_t m_max_feed_rows = 0;
  common::duration m_transaction_time{};
  std::map<std::string, common::time_point> m_busy_until; // by part of the store
  adapter::row_version m_version = 0;
  adapter::row_version m_oldest = 0; // older changes are no longer in the history
};
} // namespace yardhill::model
