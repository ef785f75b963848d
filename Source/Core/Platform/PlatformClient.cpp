// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Platform/PlatformClient.h"

#include <chrono>
#include <utility>

#include "Common/Error.h"
#include "Common/HttpCall.h"
#include "Common/JsonLog.h"

namespace yardhill::platform
{
namespace
{
using web::http::methods;
using web::http::status_codes;

constexpr const char* k_platform = "platform";

store_status status_of(const call_result& result)
{
  if (result.end == call_end::unsent)
    return store_status::unavailable;
  if (result.end == call_end::unclear)
    return store_status::unclear;
  switch (result.status)
  {
  case status_codes::OK:
    return store_status::ok;
  case status_codes::Conflict:
    return store_status::conflict;
  case status_codes::TooManyRequests:
    return store_status::limited;
  case status_codes::ServiceUnavailable:
    return store_status::unavailable;
  default:
    return store_status::unclear;
  }
}
result<store_read_result> read_result_of(const call_result& result)
{
  const store_status status = status_of(result);
  if (status != store_status::ok)
    return store_read_result{status, {}, false};
  return parsed("read", k_platform, [&result] { return store_read_result_from(result.body); });
}

result<store_write_result> write_result_of(const call_result& result)
{
  const store_status status = status_of(result);
  if (status != store_status::ok)
    return store_write_result{status, 0};
  return parsed("write", k_platform,
                [&result] {
                  return store_write_result{store_status::ok, std::stoull(result.body)};
                });
}

std::string object_path(const std::string& key)
{
  return k_objects_path + web::uri::encode_data_string(key);
}

// A reply that cannot be parsed is logged and treated like a missing reply.
void log_malformed(const step_error& error)
{
  log_warning({error.step, error.peer, {}, 0, error.detail});
}

store_read_result malformed_read(const step_error& error)
{
  log_malformed(error);
  return {store_status::unclear, {}, false};
}

store_write_result malformed_write(const step_error& error)
{
  log_malformed(error);
  return {store_status::unclear, 0};
}

std::vector<listed_instance> malformed_list(const step_error& error)
{
  log_malformed(error);
  return {};
}
} // namespace

struct platform_client::connection
{
  connection(const std::string& base_url, const std::string& caller, duration timeout)
      : client(base_url, client_config(to_milliseconds(timeout)))
  {
    client.add_handler(
        [caller](web::http::http_request request,
                 const std::shared_ptr<web::http::http_pipeline_stage>& next)
        {
          request.headers().add(k_caller_header, caller);
          return next->propagate(request);
        });
  }

  web::http::client::http_client client;
};

platform_client::platform_client(const std::string& base_url, const std::string& caller,
                                 duration timeout, metrics& counts)
    : m_connection(std::make_shared<connection>(base_url, caller, timeout)), m_metrics(counts)
{
}

platform_client::~platform_client() = default;

void platform_client::read(const store_read& request, std::function<void(store_read_result)> done)
{
  const std::string body = to_json_text(request);
  m_metrics.add(counter::store_bytes, body.size());
  const auto sent_at = std::chrono::steady_clock::now();
  call_http(
      m_connection->client, methods::POST, k_read_path, body,
      [this, sent_at, done = std::move(done)](const call_result& result)
      {
        m_metrics.add(counter::store_bytes, result.body.size());
        m_metrics.record(timing::store_latency, std::chrono::duration_cast<duration>(
                                                    std::chrono::steady_clock::now() - sent_at));
        done(value_or<store_read_result>([&] { return read_result_of(result); }, malformed_read));
      });
}

void platform_client::write(const store_transaction& request,
                            std::function<void(store_write_result)> done)
{
  const std::string body = to_json_text(request);
  m_metrics.add(counter::store_writes);
  m_metrics.add(counter::store_rows_written, request.puts.size());
  m_metrics.add(counter::store_bytes, body.size());
  const auto sent_at = std::chrono::steady_clock::now();
  call_http(m_connection->client, methods::POST, k_transaction_path, body,
            [this, sent_at, done = std::move(done)](const call_result& result)
            {
              m_metrics.record(
                  timing::store_latency,
                  std::chrono::duration_cast<duration>(std::chrono::steady_clock::now() - sent_at));
              done(value_or<store_write_result>([&] { return write_result_of(result); },
                                                malformed_write));
            });
}

void platform_client::put(const object_put& request, std::function<void(store_write_result)> done)
{
  m_metrics.add(counter::store_bytes, request.bytes.size());
  call_http(m_connection->client, methods::PUT, object_path(request.key), request.bytes,
            [done = std::move(done)](const call_result& result) {
              done(store_write_result{status_of(result), 0});
            });
}

void platform_client::get(const object_get& request, std::function<void(store_read_result)> done)
{
  call_http(m_connection->client, methods::GET, object_path(request.key), {},
            [this, key = request.key, done = std::move(done)](const call_result& result)
            {
              m_metrics.add(counter::store_bytes, result.body.size());
              store_read_result read{status_of(result), {}, false};
              if (read.status == store_status::ok)
                read.rows.push_back({key, 1, result.body});
              done(std::move(read));
            });
}

void platform_client::list_instances(std::function<void(std::vector<listed_instance>)> done)
{
  call_http(m_connection->client, methods::GET, k_instances_path, {},
            [done = std::move(done)](const call_result& result)
            {
              if (status_of(result) == store_status::ok)
                done(value_or<std::vector<listed_instance>>(
                    [&]
                    {
                      return parsed("list_instances", k_platform,
                                    [&result] { return instance_list_from(result.body); });
                    },
                    malformed_list));
            });
}
} // namespace yardhill::platform
