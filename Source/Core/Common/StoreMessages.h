// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Requests of an instance to the platform's table service and object store, and their results.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace yardhill::common
{
struct store_row
{
  std::string key;
  std::uint64_t version = 0; // increases with every write of the row; 0: there is no such row
  std::string value;
};

// Holds if the row's version in the table is `version`.
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

// All puts take effect atomically if every check holds; otherwise none does.
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
  unavailable, // refused, or the service was not reached; nothing was written
  unclear,     // no answer: the transaction may have taken effect
  count
};

std::string_view to_text(store_status status);

struct store_write_result
{
  store_status status = store_status::unclear;
  std::uint64_t version = 0; // if ok: the new version of every row put
};

// Writes an object to the object store, which holds values too large for a row. An existing object
// with the same key is replaced.
struct object_put
{
  std::string key;
  std::string bytes;
};

// Reads an object. The result is that of a store_read: one row with the bytes as its value, or no
// row.
struct object_get
{
  std::string key;
};

// Reads rows whose key starts with `prefix` and is greater than `after`, in the order of their
// keys.
struct store_read
{
  std::string prefix;
  std::string after;
  std::uint32_t limit = 1000;
  bool keys_only = false; // omit the values
};

struct store_read_result
{
  store_status status = store_status::unclear;
  std::vector<store_row> rows;
  bool more = false; // there are further rows after the last one
};
} // namespace yardhill::common
