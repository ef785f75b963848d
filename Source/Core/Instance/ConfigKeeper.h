// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The configuration in force at this instance: polled from the table service, learned from peers,
// applied for operators. Its version only ever grows.

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "Common/CellConfig.h"
#include "Common/Metrics.h"
#include "Common/Options.h"
#include "Instance/InstanceCommands.h"
#include "Instance/InstanceEvents.h"

namespace yardhill::instance
{
struct config_output
{
  std::optional<ownership::store_call> call;
  std::vector<answer_apply> answers;
  bool changed = false;      // another version is in force now
  bool applied_here = false; // and it came from an operator of this instance: tell the peers
};

// An operator's apply, remembered so that the same one sent again is not applied twice.
struct past_apply
{
  std::string id;
  std::uint64_t version = 0;
};

// The row that names the version in force.
struct config_head
{
  std::uint64_t version = 0;
  std::vector<past_apply> applies; // the latest ones
};

class config_keeper
{
public:
  config_keeper(const ownership_options& options, metrics& counts);

  // A peer's version; taken when it is higher. Malformed documents are ignored.
  void offered(std::uint64_t version, const std::string& document);
  void apply(const apply_request& request, time_point now);

  void read_answered(const store_read_result& result, time_point now);
  void write_answered(const store_write_result& result, time_point now);
  void advance(time_point now);
  time_point next_timer() const;
  config_output take_output();

  std::uint64_t version() const { return m_cell.version; }
  const cell_config& cell() const { return m_cell; }
  const std::string& document() const { return m_document; }

private:
  enum class step
  {
    none,
    reading_head,
    reading_document,
    writing
  };

  struct waiting_apply
  {
    apply_request request;
    time_point give_up;
    bool maybe_written = false;
  };

  bool take(std::uint64_t version, const std::string& document);
  void head_was_read(const store_read_result& result, time_point now);
  void document_was_read(const store_read_result& result, time_point now);
  void try_apply(time_point now);
  void write_config();
  void answer_first(apply_outcome result, std::vector<std::string> problems);
  void failed(time_point now);
  void call(ownership::store_call request, step next);

  const ownership_options& m_options;
  metrics& m_metrics;
  cell_config m_cell;
  std::string m_document;
  step m_step = step::none;
  time_point m_next_poll{};
  std::uint64_t m_head_row = 0; // version of the table's row
  std::uint64_t m_head = 0;     // the configuration version that it names
  std::vector<past_apply> m_past;
  std::deque<waiting_apply> m_applies;
  std::uint32_t m_failures = 0;
  config_output m_output;
};
} // namespace yardhill::instance
