// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Errors that name the step that failed and the peer that it failed with.

#include <exception>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include <tl/expected.hpp>

namespace yardhill::common
{
struct step_error
{
  std::string step; // the operation that failed, e.g. "read_row"
  std::string peer; // its counterpart, e.g. "table", an address or a file
  std::string detail;
};

template<class value_type>
using result = tl::expected<value_type, step_error>;

inline tl::unexpected<step_error> new_error(step_error error)
{
  return tl::unexpected<step_error>(std::move(error));
}

inline std::string to_text(const step_error& error)
{
  return error.step + ": " + error.peer + ": " + error.detail;
}

// Returns the result of parse(), or an error with `step` and `peer` if parse() throws.
template<class parse_function>
auto parsed(const std::string& step, const std::string& peer, const parse_function& parse)
    -> result<decltype(parse())>
{
  try
  {
    return parse();
  }
  catch (const std::exception& error)
  {
    return new_error({step, peer, error.what()});
  }
}

// Returns the value of attempt(), or on_error(error) if attempt() fails.
template<class value_type, class error_function>
value_type value_or(const std::function<result<value_type>()>& attempt,
                    const error_function& on_error)
{
  result<value_type> outcome = attempt();
  return outcome ? *std::move(outcome) : on_error(outcome.error());
}

// Returns the result of parse(), or none if parse() throws.
template<class parse_function>
auto parsed_or_none(const std::string& step, const std::string& peer, const parse_function& parse)
    -> std::optional<decltype(parse())>
{
  using maybe = std::optional<decltype(parse())>;
  auto outcome = parsed(step, peer, parse);
  return outcome ? maybe(*std::move(outcome)) : maybe{};
}
} // namespace yardhill::common
