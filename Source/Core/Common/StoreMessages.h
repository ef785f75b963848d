// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// What an instance asks of the platform's table service.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace yardhill::common
{
struct store_row
{
  std::string key;
  std::uint64_t version = 0; // grows with every write of the row; 0 means there is no such row
  std::string value;
};

struct row_check
{
  std::string key;
  std::uint64_t version = 0;
};

struct row_put
{
  std::string key;
  std::optional<std::string> value; // none deletes the row
};

// Takes effect whole when every check holds, else not at all.
struct store_transaction
{
  std::vector<row_check> checks;
  std::vector<row_put> puts;
};

enum class store_status
{
  ok,
  conflict,    // a check failed; nothing was written
  limited,     // over the rate limit; nothing was written
  unavailable, // refused or never reached; nothing was written
  unclear,     // no answer: it may have taken effect
  count
};

std::string_view to_text(store_status status);

struct store_write_result
{
  store_status status = store_status::unclear;
  std::uint64_t version = 0; // ok: the version that every row put now has
};

// The object store, for what is too large for a row. Writing the same key again replaces it.
struct object_put
{
  std::string key;
  std::string bytes;
};

// Answered like a read: one row with the bytes as its value, or none.
struct object_get
{
  std::string key;
};

// Rows whose key starts with `prefix` and is above `after`, in the order of their keys.
struct store_read
{
  std::string prefix;
  std::string after;
  std::uint32_t limit = 1000;
  bool keys_only = false; // leave the values out
};

struct store_read_result
{
  store_status status = store_status::unclear;
  std::vector<store_row> rows;
  bool more = false; // there are rows above the last one
};
} // namespace yardhill::common
