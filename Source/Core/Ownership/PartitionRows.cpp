// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Ownership/PartitionRows.h"

#include "Common/Error.h"
#include "Common/Json.h"

namespace yardhill::ownership
{
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(term_row, term, owner, write)

std::string partition_rows::own_key() const
{
  return "partition/" + to_text(m_partition);
}

std::string partition_rows::open_prefix() const
{
  return "task/" + to_text(m_partition) + "/open/";
}

std::string partition_rows::ended_prefix() const
{
  return "task/" + to_text(m_partition) + "/ended/";
}

std::string partition_rows::open_key(const task_id& task) const
{
  return open_prefix() + task.value;
}

std::string partition_rows::ended_key(const task_id& task) const
{
  return ended_prefix() + task.value;
}

std::string partition_rows::result_key(const task_id& task) const
{
  return "result/" + to_text(m_partition) + "/" + task.value;
}

row_put partition_rows::own_row(const term_row& row) const
{
  return {own_key(), json(row).dump()};
}

void partition_rows::add_change(store_transaction& transaction, const record_write& write) const
{
  const std::string open = open_key(write.task.spec.id);
  const std::string ended = ended_key(write.task.spec.id);
  switch (write.change)
  {
  case record_change::accept:
    transaction.checks.push_back({open, 0});
    transaction.checks.push_back({ended, 0});
    transaction.puts.push_back({open, to_json_text(write.task)});
    return;
  case record_change::intent:
    transaction.puts.push_back({open, to_json_text(write.task)});
    return;
  case record_change::end:
    transaction.puts.push_back({open, std::nullopt});
    transaction.puts.push_back({ended, to_json_text(write.task)});
    return;
  case record_change::forget:
    transaction.puts.push_back({open, std::nullopt});
    return;
  case record_change::find:
  case record_change::count:
    return;
  }
}

std::optional<term_row> parse_term_row(const store_read_result& result)
{
  if (result.rows.empty())
    return term_row{};
  return parsed_or_none("read_row", "table",
                        [&result]
                        { return json::parse(result.rows.front().value).get<term_row>(); });
}

std::uint64_t term_row_version(const store_read_result& result)
{
  return result.rows.empty() ? 0 : result.rows.front().version;
}

std::optional<stored_task> parse_task_row(const store_row& row)
{
  return parsed_or_none("read_task", "table", [&row] { return stored_task_from(row.value); });
}
} // namespace yardhill::ownership
