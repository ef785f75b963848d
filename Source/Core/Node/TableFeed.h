// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Follows one table of the store: reads it whole, then waits for changes, for as long as it lives.
//
// After a gap in the history it reads the table whole again. No answer is given up while it is
// still coming: a row may take a narrow link longer than any fixed time.

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
  // All rows of the table; what is not among them is gone.
  std::function<void(const std::vector<adapter::row>&)> snapshot;
  std::function<void(const std::vector<adapter::row>&)> changed;
  // Where given, called instead of reading the table again when the history was lost; the feed
  // has ended then.
  std::function<void()> expired;
  // Changes that come within this time of others are fetched together with them.
  common::duration batch_window{0};
  // Only the newest state counts. Changes that are longer than the table itself are not taken:
  // it is read instead. A history grows with each version of a row that was missed, the table does
  // not (five versions of a row of 0.9 s: 4.5 s, read 0.9 s).
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

  // Also after a pause: everything is read anew.
  void start();
  // Reads these parts from the next start on.
  void set_parts(std::vector<std::string> parts);
  // Asks for nothing, and takes in no answer, until it is started again.
  void pause();
  // From now on changes are gathered for so long.
  void set_batch_window(common::duration time);
  // Continues behind a version up to which the rows are known already.
  void start_after(adapter::row_version version);
  // The store is back after a silence: whatever call waits for it is given up and made anew.
  void ask_again();
  // Since when answers have come without a failure in between; none while they do not come.
  std::optional<common::time_point> healthy_since() const;
  // Up to when all changes are known here, but for an answer that has just been lost.
  common::time_point known_until() const;
  // Since when changes have been on their way here, or may have been missed; none while all that
  // the store has told is known.
  std::optional<common::time_point> behind_since() const;
  bool loaded() const;

private:
  class implementation;
  std::shared_ptr<implementation> m_implementation;
};
} // namespace yardhill::node
