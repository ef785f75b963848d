// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Learns into how many partitions the cell is divided, and decides it in a new cell.
//
// The number stands in one row, which is written once, under the condition that there is none. An
// owner of the whole cell without that row is one of an earlier version: the cell has one partition
// then.

#include <cstdint>
#include <functional>
#include <optional>

#include "Common/Timekeeper.h"
#include "Node/CellLayout.h"
#include "platform/StoreClient.h"

namespace yardhill::node
{
// What an instance knows of its cell's size.
struct cell_size
{
  std::size_t instances = 0; // that can be reached, this one included
  std::size_t workers = 0;   // with an entry; counted while needs_worker_count()
};

class layout_manager
{
public:
  // `fixed`: the number of partitions of a new cell; 0: it follows from the cell's size.
  layout_manager(common::timekeeper& time, adapter::store_client& store, std::size_t fixed);
  ~layout_manager();
  layout_manager(const layout_manager&) = delete;
  layout_manager& operator=(const layout_manager&) = delete;

  // A row of the owners' table.
  void take_in(const adapter::row& row);
  // All rows that may tell the layout have been read.
  void rows_read() { m_rows_read = true; }
  // None as long as it is not known.
  const std::optional<cell_layout>& layout() const { return m_layout; }

  // Whether the workers have to be counted before the layout can be decided.
  bool needs_worker_count() const { return m_counting_since && !m_layout; }
  // Called often by an instance that may own partitions.
  void tick(const cell_size& size);

private:
  void set(std::size_t partitions, const char* why);
  std::optional<std::size_t> decision(const cell_size& size, common::time_point now);
  void write(std::size_t partitions);
  void on_written(const adapter::transaction_result& result, std::size_t partitions);

  common::timekeeper& m_time;
  adapter::store_client& m_store;
  std::size_t m_fixed;
  std::optional<cell_layout> m_layout;
  bool m_rows_read = false;
  bool m_writing = false;
  std::optional<common::time_point> m_began; // since when no further instance has been found
  std::size_t m_instances = 0;
  std::optional<common::time_point> m_counting_since; // workers
  std::size_t m_workers = 0;
  common::time_point m_grew_at{};
  common::time_point m_try_after{};
  std::shared_ptr<int> m_alive;
};
} // namespace yardhill::node
