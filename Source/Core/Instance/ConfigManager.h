// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The configuration in force at this instance. It is polled from the table service, received from
// peers and applied on behalf of operators. Its version never decreases.

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
  bool changed = false;         // a newer version came into force
  bool applied_locally = false; // it was applied through this instance: push it to the peers
};

// An operator's apply request, recorded so that a repeat of the same request is not applied twice.
struct recorded_apply
{
  std::string id;
  std::uint64_t version = 0;
};

// The table row that names the version in force.
struct config_head
{
  std::uint64_t version = 0;
  std::vector<recorded_apply> applies; // the most recent ones
};

class config_manager
{
public:
  config_manager(const ownership_options& options, metrics& counts);

  // Adopts a peer's version if it is higher than this instance's. Malformed documents are ignored.
  void receive_peer_version(std::uint64_t version, const std::string& document);
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

  struct pending_apply
  {
    apply_request request;
    time_point timeout_at;
    bool maybe_written = false;
  };

  bool adopt(std::uint64_t version, const std::string& document);
  void handle_head_read(const store_read_result& result, time_point now);
  void handle_document_read(const store_read_result& result, time_point now);
  void try_apply(time_point now);
  void write_config();
  void reply_to_first_apply(apply_outcome result, std::vector<std::string> problems);
  void retry_later(time_point now);
  void call(ownership::store_call request, step next);

  const ownership_options& m_options;
  metrics& m_metrics;
  cell_config m_cell;
  std::string m_document;
  step m_step = step::none;
  time_point m_next_poll{};
  std::uint64_t m_head_row_version = 0; // the table service's version of the head row
  std::uint64_t m_head_version = 0;     // the configuration version that the head row names
  std::vector<recorded_apply> m_recorded_applies;
  std::deque<pending_apply> m_pending_applies;
  std::uint32_t m_failures = 0;
  config_output m_output;
};
} // namespace yardhill::instance
