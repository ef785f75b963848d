// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// In-memory model of the platform's table service: transactions with compare-and-set, rate limits.

#include <cstdint>
#include <map>
#include <string>

#include "Common/StoreMessages.h"
#include "Common/Time.h"

namespace yardhill::replay
{
using namespace common;

struct table_limits
{
  double writes_per_second = 300;
  double reads_per_second = 2000;
};

struct table_load
{
  std::uint64_t reads = 0;
  std::uint64_t writes = 0; // committed transactions
  std::uint64_t rows = 0;   // rows written or deleted by committed transactions
  std::uint64_t limited = 0;
  std::uint64_t conflicts = 0;
};

class table_model
{
public:
  explicit table_model(const table_limits& limits) : m_limits(limits) {}

  store_read_result read(const store_read& request, time_point now);
  store_write_result write(const store_transaction& request, time_point now);

  // The object store next to the table service; it has no rate limits.
  store_write_result put(const object_put& request);
  store_read_result get(const object_get& request) const;

  const table_load& load() const { return m_load; }
  const std::map<std::string, store_row>& rows() const { return m_rows; }

private:
  // Allows bursts of up to one second's worth of calls.
  struct token_bucket
  {
    double tokens = 0;
    time_point refilled_at{};
    bool started = false;

    bool take(double per_second, time_point now);
  };

  table_limits m_limits;
  std::map<std::string, store_row> m_rows;
  std::map<std::string, std::string> m_objects;
  std::uint64_t m_version = 0;
  token_bucket m_reads;
  token_bucket m_writes;
  table_load m_load;
};
} // namespace yardhill::replay
