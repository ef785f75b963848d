// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The interface towards callers and operators, over HTTP. docs/API.md describes it.

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

// What the gateway needs of the instance behind it. All may be called from any thread.
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

  // Throws on an address that cannot be listened on.
  void open();
  void close();

  void reply_to_caller(const instance::answer_caller& reply);
  void reply_to_operator(const instance::answer_apply& reply);
  std::size_t waiting() const;

private:
  class implementation;
  std::unique_ptr<implementation> m_implementation;
};
} // namespace yardhill::gateway
