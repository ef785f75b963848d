// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Reads the fields of a JSON object that a person wrote, and notes every mistake on the way.
//
// Each getter returns the field's value, or the fallback after noting what is wrong. finish()
// notes the fields that nobody asked for.

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
  // A getter without fallback takes the field as required.
  std::string text(const char* name);
  std::string text(const char* name, const std::string& fallback);
  // A text that may be empty or missing.
  std::string optional_text(const char* name);
  std::int64_t integer(const char* name, integer_range range,
                       std::optional<std::int64_t> fallback = std::nullopt);
  double number(const char* name, number_range range,
                std::optional<double> fallback = std::nullopt);
  bool boolean(const char* name, bool fallback);
  // Text with a unit: "250ms", "5s", "2min", "1h", "3d".
  duration time_span(const char* name, duration least,
                     std::optional<duration> fallback = std::nullopt);
  // Text with a unit: "512MiB", "4GiB". The result is in MiB.
  std::int64_t memory_mib(const char* name, std::optional<std::int64_t> fallback = std::nullopt);
  std::vector<std::string> texts(const char* name);
  std::vector<field_reader> objects(const char* name);
  std::optional<field_reader> object(const char* name, bool required);

  void problem(const std::string& name, const std::string& what, const std::string& allowed);
  const std::string& path() const { return m_path; }
  void finish();

private:
  const nlohmann::json* find(const char* name, bool required, const char* allowed);
  std::string path_of(const std::string& name) const;

  const nlohmann::json* m_object;
  std::string m_file;
  std::string m_path;
  problem_list* m_problems;
  std::set<std::string> m_asked;
};

// The JSON value of a text with comments; a mistake is noted with its line and column.
std::optional<nlohmann::json> parse_with_comments(const std::string& text, const std::string& file,
                                                  problem_list& problems);
// None when the text is not a number and a unit of time.
std::optional<duration> parse_time_span(const std::string& text);
} // namespace yardhill::common
