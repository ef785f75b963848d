// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Common/FieldReader.h"

#include <array>
#include <charconv>
#include <utility>

namespace yardhill::common
{
namespace
{
using nlohmann::json;

constexpr const char* k_time_span_format = "a number and a unit, such as 250ms, 5s, 2min, 1h or 3d";
constexpr const char* k_memory_format = "a whole number and a unit, such as 512MiB or 4GiB";

struct unit
{
  std::string_view name;
  std::int64_t factor;
};

constexpr std::array<unit, 6> k_time_units{{{"us", 1},
                                            {"ms", 1000},
                                            {"s", 1000 * 1000},
                                            {"min", 60LL * 1000 * 1000},
                                            {"h", 3600LL * 1000 * 1000},
                                            {"d", 86400LL * 1000 * 1000}}};
constexpr std::array<unit, 3> k_memory_units{{{"MiB", 1}, {"GiB", 1024}, {"TiB", 1024 * 1024}}};

template<std::size_t size>
std::optional<std::int64_t> parse_with_unit(const std::string& text,
                                            const std::array<unit, size>& units)
{
  std::int64_t amount = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, amount);
  constexpr std::int64_t max_amount = 1'000'000'000;
  if (error != std::errc{} || amount < 0 || amount > max_amount)
    return std::nullopt;
  const std::string_view name(rest, static_cast<std::size_t>(end - rest));
  for (const unit& known : units)
  {
    if (known.name == name)
      return amount * known.factor;
  }
  return std::nullopt;
}

std::string range_text(double least, double most)
{
  return json(least).dump() + " to " + json(most).dump();
}
} // namespace

std::optional<duration> parse_time_span(const std::string& text)
{
  const std::optional<std::int64_t> microseconds = parse_with_unit(text, k_time_units);
  if (!microseconds)
    return std::nullopt;
  return duration{*microseconds};
}

std::optional<json> parse_with_comments(const std::string& text, const std::string& file,
                                        problem_list& problems)
{
  try
  {
    return json::parse(text, nullptr, true, true);
  }
  catch (const json::parse_error& error)
  {
    std::string what = error.what();
    const std::size_t start = what.find("parse error at ");
    if (start != std::string::npos)
      what = "not JSON: " + what.substr(start);
    problems.push_back({file, "", what, "JSON with comments"});
    return std::nullopt;
  }
}

field_reader::field_reader(const json& object, std::string file, std::string path,
                           problem_list& problems)
    : m_object(&object), m_file(std::move(file)), m_path(std::move(path)), m_problems(&problems)
{
}

std::string field_reader::path_of(const std::string& name) const
{
  return m_path.empty() ? name : m_path + "." + name;
}

void field_reader::problem(const std::string& name, const std::string& what,
                           const std::string& allowed)
{
  m_problems->push_back({m_file, path_of(name), what, allowed});
}

bool field_reader::has(const char* name) const
{
  return m_object->is_object() && m_object->contains(name);
}

const json* field_reader::find(const char* name, bool required, const char* allowed)
{
  m_known_fields.insert(name);
  if (has(name))
    return &m_object->at(name);
  if (required)
    problem(name, "is missing", allowed);
  return nullptr;
}

std::string field_reader::text(const char* name)
{
  const json* value = find(name, true, "text");
  if (value == nullptr)
    return {};
  if (value->is_string() && !value->get_ref<const std::string&>().empty())
    return value->get<std::string>();
  problem(name, "is not a text", "a text that is not empty");
  return {};
}

std::string field_reader::text(const char* name, const std::string& fallback)
{
  if (has(name))
    return text(name);
  m_known_fields.insert(name);
  return fallback;
}

std::string field_reader::optional_text(const char* name)
{
  const json* value = find(name, false, "text");
  if (value == nullptr)
    return {};
  if (value->is_string())
    return value->get<std::string>();
  problem(name, "is not a text", "a text, which may be empty");
  return {};
}

std::int64_t field_reader::integer(const char* name, integer_range range,
                                   std::optional<std::int64_t> fallback)
{
  const std::string allowed =
      "a whole number from " + std::to_string(range.least) + " to " + std::to_string(range.most);
  const json* value = find(name, !fallback, allowed.c_str());
  if (value == nullptr)
    return fallback.value_or(range.least);
  if (value->is_number_integer())
  {
    const auto number = value->get<std::int64_t>();
    if (number >= range.least && number <= range.most)
      return number;
  }
  problem(name, "is " + value->dump(), allowed);
  return fallback.value_or(range.least);
}

double field_reader::number(const char* name, number_range range, std::optional<double> fallback)
{
  const std::string allowed = "a number from " + range_text(range.least, range.most);
  const json* value = find(name, !fallback, allowed.c_str());
  if (value == nullptr)
    return fallback.value_or(range.least);
  if (value->is_number())
  {
    const auto number = value->get<double>();
    if (number >= range.least && number <= range.most)
      return number;
  }
  problem(name, "is " + value->dump(), allowed);
  return fallback.value_or(range.least);
}

bool field_reader::boolean(const char* name, bool fallback)
{
  const json* value = find(name, false, "");
  if (value == nullptr)
    return fallback;
  if (value->is_boolean())
    return value->get<bool>();
  problem(name, "is " + value->dump(), "true or false");
  return fallback;
}

duration field_reader::time_span(const char* name, duration least, std::optional<duration> fallback)
{
  const json* value = find(name, !fallback, k_time_span_format);
  if (value == nullptr)
    return fallback.value_or(least);
  std::optional<duration> parsed;
  if (value->is_string())
    parsed = parse_time_span(value->get<std::string>());
  if (parsed && *parsed >= least)
    return *parsed;
  const std::string at_least =
      least > duration{0} ? ", at least " + std::to_string(least.count() / 1000) + "ms" : "";
  problem(name, "is " + value->dump(), k_time_span_format + at_least);
  return fallback.value_or(least);
}

std::int64_t field_reader::memory_mib(const char* name, std::optional<std::int64_t> fallback)
{
  const json* value = find(name, !fallback, k_memory_format);
  if (value == nullptr)
    return fallback.value_or(0);
  std::optional<std::int64_t> parsed;
  if (value->is_string())
    parsed = parse_with_unit(value->get<std::string>(), k_memory_units);
  if (parsed)
    return *parsed;
  problem(name, "is " + value->dump(), k_memory_format);
  return fallback.value_or(0);
}

std::vector<std::string> field_reader::texts(const char* name)
{
  std::vector<std::string> result;
  const json* value = find(name, false, "");
  if (value == nullptr)
    return result;
  if (!value->is_array())
  {
    problem(name, "is not a list", "a list of texts");
    return result;
  }
  for (const json& entry : *value)
  {
    if (entry.is_string())
      result.push_back(entry.get<std::string>());
    else
      problem(name, "holds " + entry.dump(), "a list of texts");
  }
  return result;
}

std::vector<field_reader> field_reader::objects(const char* name)
{
  std::vector<field_reader> result;
  const json* value = find(name, false, "");
  if (value == nullptr)
    return result;
  if (!value->is_array())
  {
    problem(name, "is not a list", "a list of objects");
    return result;
  }
  for (std::size_t index = 0; index < value->size(); ++index)
  {
    const std::string path = path_of(name) + "[" + std::to_string(index) + "]";
    if (value->at(index).is_object())
      result.emplace_back(value->at(index), m_file, path, *m_problems);
    else
      m_problems->push_back({m_file, path, "is not an object", "an object"});
  }
  return result;
}

std::optional<field_reader> field_reader::object(const char* name, bool required)
{
  const json* value = find(name, required, "an object");
  if (value == nullptr)
    return std::nullopt;
  if (value->is_object())
    return field_reader(*value, m_file, path_of(name), *m_problems);
  problem(name, "is not an object", "an object");
  return std::nullopt;
}

void field_reader::finish()
{
  if (!m_object->is_object())
    return;
  for (const auto& [name, value] : m_object->items())
  {
    if (m_known_fields.contains(name))
      continue;
    std::string known;
    for (const std::string& field : m_known_fields)
      known += (known.empty() ? "" : ", ") + field;
    problem(name, "is not a known field", known);
  }
}
} // namespace yardhill::common
