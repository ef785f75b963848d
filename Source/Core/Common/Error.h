// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Errors that carry the step and the peer at which they arose, by Boost.LEAF.

#include <exception>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include <boost/leaf.hpp>

namespace yardhill::common
{
namespace leaf = boost::leaf;

struct step_error
{
  std::string step; // what was being done, e.g. "read_row"
  std::string peer; // with whom, e.g. "table", an address or a file
  std::string detail;
};

inline std::string to_text(const step_error& error)
{
  return error.step + ": " + error.peer + ": " + error.detail;
}

// What `parse` makes of a text that came from `peer`; an error where it throws.
template<class parse_function>
auto parsed(const std::string& step, const std::string& peer, const parse_function& parse)
    -> leaf::result<decltype(parse())>
{
  try
  {
    return parse();
  }
  catch (const std::exception& error)
  {
    return leaf::new_error(step_error{step, peer, error.what()});
  }
}

// The result's value, or what `on_error` makes of the error.
template<class value_type, class error_function>
value_type value_or(const std::function<leaf::result<value_type>()>& attempt,
                    const error_function& on_error)
{
  return leaf::try_handle_all(
      attempt, [&on_error](const step_error& error) { return on_error(error); },
      [&on_error] {
        return on_error(step_error{"unknown", "", "no details"});
      });
}

// What `parse` makes of a text that came from `peer`; nothing where it throws.
template<class parse_function>
auto parsed_or_none(const std::string& step, const std::string& peer, const parse_function& parse)
    -> std::optional<decltype(parse())>
{
  using maybe = std::optional<decltype(parse())>;
  return value_or<maybe>([&]() -> leaf::result<maybe>
                         { return parsed(step, peer, [&parse] { return maybe(parse()); }); },
                         [](const step_error&) { return maybe{}; });
}
} // namespace yardhill::common
