// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The platform's table service and instance list over HTTP.

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "Common/Metrics.h"
#include "Common/StoreMessages.h"
#include "Common/Time.h"
#include "Platform/TableProtocol.h"

namespace yardhill::platform
{
class platform_client
{
public:
  // `timeout` bounds each call; past it a write counts as unclear. `caller` names this instance in
  // the header k_caller_header.
  platform_client(const std::string& base_url, const std::string& caller, duration timeout,
                  metrics& counts);
  ~platform_client();

  // The callbacks come on a thread of the HTTP library, exactly once.
  void read(const store_read& request, std::function<void(store_read_result)> done);
  void write(const store_transaction& request, std::function<void(store_write_result)> done);
  void put(const object_put& request, std::function<void(store_write_result)> done);
  void get(const object_get& request, std::function<void(store_read_result)> done);
  // Not called back when the list could not be had.
  void list_instances(std::function<void(std::vector<listed_instance>)> done);

private:
  struct connection;
  std::shared_ptr<connection> m_connection;
  metrics& m_metrics;
};
} // namespace yardhill::platform
