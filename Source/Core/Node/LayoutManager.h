// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Reads into how many partitions the cell is divided, and decides it in a new cell.
//
// The number is stored in one row, which is written once, on the condition that it does not exist.
// If the whole cell has an owner and that row does not exist, the owner runs an earlier software
// version: the cell then has one partition.

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
  std::size_t instances = 0; // reachable ones, this one included
  std::size_t workers = 0;   // with an entry; counted while needs_worker_count()
};

class layout_manager
{
public:
  // `fixed`: the number of partitions of a new cell; 0: derived from the cell's size.
  layout_manager(common::timekeeper& time, adapter::store_client& store, std::size_t fixed);
  ~layout_manager();
  layout_manager(const layout_manager&) = delete;
  layout_manager& operator=(const layout_manager&) = delete;

  // Processes a row of the owners' table.
  void take_in(const adapter::row& row);
  // To be called when all rows that may contain the layout have been read.
  void rows_read() { m_rows_read = true; }
  // None until the layout is known.
  const std::optional<cell_layout>& layout() const { return m_layout; }

  // Whether the workers have to be counted before the layout can be decided.
  bool needs_worker_count() const { return m_counting_since && !m_layout; }
  // Called often by an instance that may own partitions.
  void tick(const cell_size& size);

private:
  void set(std::size_t partitions, const char* why);
  std::optional<std::size_t> decide(const cell_size& size, common::time_point now);
  void write(std::size_t partitions);
  void on_written(const adapter::transaction_result& result, std::size_t partitions);

  common::timekeeper& m_time;
  adapter::store_client& m_store;
  std::size_t m_fixed;
  std::optional<cell_layout> m_layout;
  bool m_rows_read = false;
  bool m_writing = false;
  std::optional<common::time_point> m_instances_stable_since;
  std::size_t m_instances = 0;
  std::optional<common::time_point> m_counting_since; // since when workers are counted
  std::size_t m_workers = 0;
  common::time_point m_workers_grew_at{};
  common::time_point m_next_attempt{};
  std::shared_ptr<int> m_alive;
};
} // namespace yardhill::node
