// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Explain/LogLine.h"

#include <array>
#include <charconv>

namespace yardhill::explain
{
namespace
{
using nlohmann::json;

// Parses "2026-12-02T15:50:36.332+00:00". The offset is ignored, since the log is written in UTC.
std::optional<log_time> time_from(const std::string& text)
{
  struct part
  {
    std::size_t begin;
    std::size_t length;
  };
  static constexpr std::array<part, 7> k_parts{
      {{0, 4}, {5, 2}, {8, 2}, {11, 2}, {14, 2}, {17, 2}, {20, 3}}};
  std::array<int, k_parts.size()> numbers{};
  for (std::size_t i = 0; i < k_parts.size(); ++i)
  {
    if (text.size() < k_parts[i].begin + k_parts[i].length)
      return std::nullopt;
    const char* const begin = text.data() + k_parts[i].begin;
    const char* const end = begin + k_parts[i].length;
    if (std::from_chars(begin, end, numbers[i]).ptr != end)
      return std::nullopt;
  }
  const auto [year, month, day, hour, minute, second, milli] = numbers;
  const std::chrono::year_month_day date{std::chrono::year(year),
                                         std::chrono::month(static_cast<unsigned>(month)),
                                         std::chrono::day(static_cast<unsigned>(day))};
  if (!date.ok())
    return std::nullopt;
  return std::chrono::sys_days(date) + std::chrono::hours(hour) + std::chrono::minutes(minute) +
         std::chrono::seconds(second) + std::chrono::milliseconds(milli);
}

std::string text_in(const json& object, const char* field)
{
  const auto found = object.find(field);
  return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}
} // namespace

std::string log_line::text(const char* field) const
{
  return text_in(fields, field);
}

double log_line::number(const char* field) const
{
  const auto found = fields.find(field);
  return found != fields.end() && found->is_number() ? found->get<double>() : 0.0;
}

std::optional<log_line> log_line_from(std::string_view text)
{
  const std::size_t begin = text.find('{');
  if (begin == std::string_view::npos)
    return std::nullopt;
  json object = json::parse(text.substr(begin), nullptr, false);
  if (!object.is_object())
    return std::nullopt;
  const auto at = time_from(text_in(object, "time"));
  log_line line;
  line.process = text_in(object, "process");
  line.event = text_in(object, "event");
  line.request = text_in(object, "request");
  if (!at || line.event.empty())
    return std::nullopt;
  line.at = *at;
  for (const char* field : {"time", "process", "event", "request"})
    object.erase(field);
  line.fields = std::move(object);
  return line;
}
} // namespace yardhill::explain
