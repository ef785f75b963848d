// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Follows one table of the store for as long as the feed exists: reads the whole table, then waits
// for changes.
//
// After a gap in the store's history it reads the whole table again. A call is not given up while
// its reply is still arriving: over a narrow link, a row may take longer than any fixed timeout.

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Common/Timekeeper.h"
#include "platform/StoreClient.h"

namespace yardhill::node
{
struct feed_handlers
{
  // All rows of the table; rows that are not included no longer exist.
  std::function<void(const std::vector<adapter::row>&)> snapshot;
  std::function<void(const std::vector<adapter::row>&)> changed;
  // If set, called instead of reading the table again when the store no longer has the history
  // since the last known version; the feed has ended then.
  std::function<void()> expired;
  // After changes have arrived, the feed waits this long before its next call, so that further
  // changes are fetched together.
  common::duration batch_window{0};
  // Only the newest state of each row matters. If the changes are larger than the table itself, the
  // table is read instead: a history grows with each version of a row that was missed, the table
  // does not (five versions of a row that takes 0.9 s each take 4.5 s, reading the table takes 0.9
  // s).
  bool newest_only = false;
};

class table_feed
{
public:
  table_feed(common::timekeeper& time, adapter::store_client& store, std::string table,
             std::vector<std::string> parts, feed_handlers handlers);
  ~table_feed();
  table_feed(const table_feed&) = delete;
  table_feed& operator=(const table_feed&) = delete;

  // Reads the whole table, then follows it. Also restarts a paused feed.
  void start();
  // Sets the parts of the table that are read from the next start on.
  void set_parts(std::vector<std::string> parts);
  // Sends no calls and ignores replies until the feed is started again.
  void pause();
  // Sets feed_handlers::batch_window.
  void set_batch_window(common::duration window);
  // Follows the table from a version up to which the rows are known already.
  void start_after(adapter::row_version version);
  // To be called when the store answers again after a silence: gives up the call in flight and
  // sends it again, unless its reply is arriving.
  void ask_again();
  // Since when replies have arrived without a failure in between; none while they fail.
  std::optional<common::time_point> healthy_since() const;
  // Up to when all changes are known here, except those in a reply that has just been lost.
  common::time_point known_until() const;
  // Since when changes have been in transit to this instance, or may have been missed; none while
  // all that the store has reported is known.
  std::optional<common::time_point> behind_since() const;
  bool loaded() const;

private:
  class implementation;
  std::shared_ptr<implementation> m_implementation;
};
} // namespace yardhill::node
