// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// What the subcommands ask of an instance over HTTP.

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include <nlohmann/json.hpp>

#include "Common/HttpCall.h"

namespace yardhill::cli
{
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

  // Waits for the answer. An instance that cannot be reached is reported on standard error.
  instance_answer call(const web::http::method& method, const std::string& path,
                       const std::string& body = {});

private:
  std::string m_url;
  web::http::client::http_client m_client;
};

// The configuration in force: {"version": n, "document": text}. Throws std::runtime_error.
nlohmann::json fetch_config(instance_client& client);
} // namespace yardhill::cli
