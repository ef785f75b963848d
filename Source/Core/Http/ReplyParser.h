// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Parses an HTTP response and keeps its status and body. Header fields are checked for validity but
// not stored, since no caller of the client uses them.

#include <cstdint>
#include <string>

#include <boost/beast/http/basic_parser.hpp>

namespace yardhill::http
{
class reply_parser : public boost::beast::http::basic_parser<false>
{
public:
  explicit reply_parser(std::uint64_t max_body_bytes)
  {
    eager(true);
    body_limit(max_body_bytes);
  }

  unsigned status() const { return m_status; }
  std::string& body() { return m_body; }

private:
  using error_code = boost::beast::error_code;
  using string_view = boost::beast::string_view;

  void on_request_impl(boost::beast::http::verb, string_view, string_view, int,
                       error_code&) override
  {
  }
  void on_response_impl(int code, string_view, int, error_code&) override
  {
    m_status = static_cast<unsigned>(code);
  }
  void on_field_impl(boost::beast::http::field, string_view, string_view, error_code&) override {}
  void on_header_impl(error_code&) override {}
  void on_body_init_impl(const boost::optional<std::uint64_t>& length, error_code&) override
  {
    // The base parser has already rejected a Content-Length above the body limit.
    if (length)
      m_body.reserve(static_cast<std::size_t>(*length));
  }
  std::size_t on_body_impl(string_view part, error_code&) override { return append(part); }
  void on_chunk_header_impl(std::uint64_t, string_view, error_code&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, string_view part, error_code&) override
  {
    return append(part);
  }
  void on_finish_impl(error_code&) override {}

  std::size_t append(string_view part)
  {
    m_body.append(part.data(), part.size());
    return part.size();
  }

  unsigned m_status = 0;
  std::string m_body;
};
} // namespace yardhill::http
