// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Yardhill/InstanceClient.h"

#include <cstdio>
#include <stdexcept>

namespace yardhill::cli
{
namespace
{
// No shorter than the longest time for which an instance may keep a caller waiting.
constexpr std::chrono::minutes k_request_timeout{11};
} // namespace

instance_client::instance_client(const std::string& url)
    : m_url(url), m_client(url, common::client_config(k_request_timeout))
{
}

instance_client::~instance_client() = default;

instance_answer instance_client::call(const web::http::method& method, const std::string& path,
                                      const std::string& body)
{
  web::http::http_request request(method);
  request.set_request_uri(web::uri(web::uri::encode_uri(path)));
  if (!body.empty())
    request.set_body(body, "application/json");
  instance_answer answer;
  try
  {
    web::http::http_response response = m_client.request(request).get();
    const std::vector<unsigned char> bytes = response.extract_vector().get();
    answer.reached = true;
    answer.status = response.status_code();
    answer.body.assign(bytes.begin(), bytes.end());
    for (const auto& [name, value] : response.headers())
      answer.headers[name] = value;
  }
  catch (const std::exception& error)
  {
    std::fprintf(stderr, "yardhill: %s: %s\n", m_url.c_str(), error.what());
  }
  return answer;
}

nlohmann::json fetch_config(instance_client& client)
{
  const instance_answer answer = client.call(web::http::methods::GET, "/v1/config");
  if (!answer.ok())
    throw std::runtime_error("the configuration in force could not be read");
  return nlohmann::json::parse(answer.body);
}
} // namespace yardhill::cli
