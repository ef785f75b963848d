// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// HTTP client of the platform's table service, object store and instance list.

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
  // `timeout` bounds each call. A write that times out is reported as `unclear`. `caller` is the
  // name of this instance, which each call sends in the header k_caller_header.
  platform_client(const std::string& base_url, const std::string& caller, duration timeout,
                  metrics& counts);
  ~platform_client();

  // Each callback, except that of list_instances, is called exactly once. All are called on a
  // thread of the HTTP library.
  void read(const store_read& request, std::function<void(store_read_result)> done);
  void write(const store_transaction& request, std::function<void(store_write_result)> done);
  void put(const object_put& request, std::function<void(store_write_result)> done);
  void get(const object_get& request, std::function<void(store_read_result)> done);
  // The callback is not called if the platform does not answer with status 200. If that answer
  // cannot be parsed, the callback gets an empty list.
  void list_instances(std::function<void(std::vector<listed_instance>)> done);

private:
  struct connection;
  std::shared_ptr<connection> m_connection;
  metrics& m_metrics;
};
} // namespace yardhill::platform
