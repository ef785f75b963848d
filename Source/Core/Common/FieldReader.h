// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Reads the fields of a hand-written JSON object and collects every mistake instead of stopping at
// the first.
//
// Each getter returns the field's value. If the value is invalid, the getter appends a problem to
// the list and returns the fallback. finish() reports the fields that no getter has read.

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "Common/Problem.h"
#include "Common/Time.h"

namespace yardhill::common
{
struct integer_range
{
  std::int64_t least;
  std::int64_t most;
};

struct number_range
{
  double least;
  double most;
};

class field_reader
{
public:
  field_reader(const nlohmann::json& object, std::string file, std::string path,
               problem_list& problems);

  bool has(const char* name) const;
  // For a getter without a fallback the field is required.
  std::string text(const char* name);
  std::string text(const char* name, const std::string& fallback);
  // A string that may be empty; empty if the field is missing.
  std::string optional_text(const char* name);
  std::int64_t integer(const char* name, integer_range range,
                       std::optional<std::int64_t> fallback = std::nullopt);
  double number(const char* name, number_range range,
                std::optional<double> fallback = std::nullopt);
  bool boolean(const char* name, bool fallback);
  // A string with a unit: "250ms", "5s", "2min", "1h", "3d".
  duration time_span(const char* name, duration least,
                     std::optional<duration> fallback = std::nullopt);
  // A string with a unit: "512MiB", "4GiB". The result is in MiB.
  std::int64_t memory_mib(const char* name, std::optional<std::int64_t> fallback = std::nullopt);
  std::vector<std::string> texts(const char* name);
  std::vector<field_reader> objects(const char* name);
  std::optional<field_reader> object(const char* name, bool required);

  // Reports the field `name`: `what` is wrong with it, `allowed` would be right.
  void problem(const std::string& name, const std::string& what, const std::string& allowed);
  const std::string& path() const { return m_path; }
  // Reports each field of the object that no getter was called for as unknown.
  void finish();

private:
  const nlohmann::json* find(const char* name, bool required, const char* allowed);
  std::string path_of(const std::string& name) const;

  const nlohmann::json* m_object;
  std::string m_file;
  std::string m_path;
  problem_list* m_problems;
  std::set<std::string> m_known_fields; // the names that getters were called for
};

// Parses JSON that may hold comments. A syntax error is appended to `problems` with its line and
// column.
std::optional<nlohmann::json> parse_with_comments(const std::string& text, const std::string& file,
                                                  problem_list& problems);
// Parses a number and a unit of time, such as "250ms"; none for any other text.
std::optional<duration> parse_time_span(const std::string& text);
} // namespace yardhill::common
