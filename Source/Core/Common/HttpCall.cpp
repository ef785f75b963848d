// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Common/HttpCall.h"

namespace yardhill::common
{
namespace
{
// Whether the exception shows that no byte of the request can have been sent: checks the message
// texts and the error code that cpprest uses for that case.
bool never_connected(const web::http::http_exception& error)
{
  const std::string message = error.what();
  return message.find("Failed to connect") != std::string::npos ||
         message.find("Failed to resolve") != std::string::npos ||
         error.error_code() == std::errc::connection_refused;
}

call_result result_of(const pplx::task<call_result>& finished)
{
  try
  {
    return finished.get();
  }
  catch (const web::http::http_exception& error)
  {
    return {never_connected(error) ? call_end::unsent : call_end::unclear, 0, error.what()};
  }
  catch (const std::exception& error)
  {
    return {call_end::unclear, 0, error.what()};
  }
}
} // namespace

web::http::client::http_client_config client_config(std::chrono::milliseconds timeout)
{
  web::http::client::http_client_config config;
  config.set_timeout(timeout);
  return config;
}

void call_http(web::http::client::http_client& client, const web::http::method& method,
               const std::string& path, const std::string& body, const call_done& done)
{
  web::http::http_request request(method);
  request.set_request_uri(web::uri(path));
  if (!body.empty())
  {
    request.set_body(std::vector<unsigned char>(body.begin(), body.end()));
    request.headers().set_content_type("application/json");
  }
  client.request(request)
      .then(
          [](web::http::http_response response)
          {
            const int status = response.status_code();
            // Read as bytes, not as text: a stored object need not be UTF-8.
            return response.extract_vector().then(
                [status](const std::vector<unsigned char>& bytes) {
                  return call_result{call_end::answered, status, {bytes.begin(), bytes.end()}};
                });
          })
      .then([done](const pplx::task<call_result>& finished) { done(result_of(finished)); });
}
} // namespace yardhill::common
