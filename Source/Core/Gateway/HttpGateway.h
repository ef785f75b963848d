// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The HTTP interface for callers and operators. docs/API.md describes its paths and formats.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "Common/InstanceSettings.h"
#include "Common/Metrics.h"
#include "Instance/InstanceCommands.h"
#include "Instance/InstanceEvents.h"

namespace yardhill::gateway
{
using namespace common;

// The functions of the instance that the gateway calls. Each may be called from any thread.
struct gateway_backend
{
  std::function<void(instance::event)> deliver;
  std::function<bool()> ready;
  std::function<std::string()> status_page;   // JSON
  std::function<std::string()> configuration; // JSON: version and document
};

class http_gateway
{
public:
  http_gateway(const instance_settings& settings, gateway_backend backend, metrics& counts);
  ~http_gateway();

  // Starts to listen. Throws if it cannot listen on the configured address.
  void open();
  void close();

  void reply_to_caller(const instance::answer_caller& reply);
  void reply_to_operator(const instance::answer_apply& reply);
  // Returns the number of requests that have not been answered yet.
  std::size_t waiting() const;

private:
  class implementation;
  std::unique_ptr<implementation> m_implementation;
};
} // namespace yardhill::gateway
