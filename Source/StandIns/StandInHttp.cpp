// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "StandIns/StandInHttp.h"

#include <chrono>
#include <memory>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <pplx/threadpool.h>

namespace yardhill::stand_ins
{
namespace
{
std::string url_of(std::uint16_t port)
{
  return "http://127.0.0.1:" + std::to_string(port) + "/";
}
} // namespace

http_server::http_server(std::uint16_t port,
                         std::function<void(const web::http::http_request&)> handler)
    : m_listener(url_of(port))
{
  m_listener.support(std::move(handler));
  m_listener.open().wait();
}

http_server::~http_server()
{
  try
  {
    m_listener.close().wait();
  }
  catch (const std::exception&) // NOLINT(bugprone-empty-catch): the process ends anyway
  {
  }
}

void reply(const web::http::http_request& request, web::http::status_code status,
           const std::string& body)
{
  web::http::http_response response(status);
  response.set_body(std::vector<unsigned char>(body.begin(), body.end()));
  response.headers().set_content_type("application/json");
  request.reply(response).then(
      [](const pplx::task<void>& sent)
      {
        try
        {
          sent.get();
        }
        catch (const std::exception&) // NOLINT(bugprone-empty-catch): the caller hung up
        {
        }
      });
}

void with_body(const web::http::http_request& request, std::function<void(const std::string&)> then)
{
  web::http::http_request(request).extract_vector().then(
      [request, then = std::move(then)](const pplx::task<std::vector<unsigned char>>& read)
      {
        try
        {
          const std::vector<unsigned char> bytes = read.get();
          then(std::string(bytes.begin(), bytes.end()));
        }
        catch (const std::exception& error)
        {
          reply(request, web::http::status_codes::BadRequest, error.what());
        }
      });
}

void after(duration delay, std::function<void()> then)
{
  const auto timer = std::make_shared<boost::asio::steady_timer>(
      crossplat::threadpool::shared_instance().service(), delay);
  timer->async_wait([timer, then = std::move(then)](const boost::system::error_code&) { then(); });
}

time_point monotonic_now()
{
  const auto since_boot = std::chrono::steady_clock::now().time_since_epoch();
  return time_point{std::chrono::duration_cast<duration>(since_boot)};
}
} // namespace yardhill::stand_ins
