// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The HTTP client with which the subcommands call an instance.

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>

#include "Common/HttpCall.h"

namespace yardhill::cli
{
// Status, body and headers are set only if `reached`.
struct instance_answer
{
  bool reached = false;
  int status = 0;
  std::string body;
  std::map<std::string, std::string> headers;

  bool ok() const { return reached && status == 200; }
};

class instance_client
{
public:
  explicit instance_client(const std::string& url);
  ~instance_client();

  // Sends a request and blocks until the answer or a timeout. A failed call is reported on standard
  // error and returned with `reached` false. A body is sent as application/json.
  instance_answer call(const web::http::method& method, const std::string& path,
                       const std::string& body = {});

private:
  std::string m_url;
  web::http::client::http_client m_client;
};

// The configuration in force: {"version": n, "document": text}. Throws std::runtime_error if the
// instance does not answer with status 200.
nlohmann::json fetch_config(instance_client& client);
} // namespace yardhill::cli
