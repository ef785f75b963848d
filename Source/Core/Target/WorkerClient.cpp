// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Target/WorkerClient.h"

#include <utility>

#include "Common/Error.h"
#include "Common/HttpCall.h"
#include "Common/Json.h"
#include "Common/JsonLog.h"

namespace yardhill::target
{
namespace
{
using web::http::methods;
using web::http::status_codes;

start_end end_of(const call_result& result)
{
  switch (result.end)
  {
  case call_end::answered:
    return result.status == status_codes::OK ? start_end::answered : start_end::unclear;
  case call_end::unsent:
    return start_end::unsent;
  case call_end::unclear:
    break;
  }
  return start_end::unclear;
}
} // namespace

struct http_worker_protocol::connection
{
  connection(const std::string& address, duration timeout)
      : client(address, client_config(to_milliseconds(timeout)))
  {
  }

  web::http::client::http_client client;
};

http_worker_protocol::http_worker_protocol(duration timeout, metrics& counts)
    : m_timeout(timeout), m_metrics(counts)
{
}

http_worker_protocol::~http_worker_protocol() = default;

std::shared_ptr<http_worker_protocol::connection>
http_worker_protocol::connection_to(const std::string& address)
{
  const std::lock_guard lock(m_lock);
  std::shared_ptr<connection>& known = m_connections[address];
  if (!known)
    known = std::make_shared<connection>(address, m_timeout);
  return known;
}

void http_worker_protocol::claim(const std::string& address, const claim_request& request,
                                 std::function<void(std::optional<claim_answer>)> done)
{
  m_metrics.add(counter::worker_calls);
  const auto connected = connection_to(address);
  call_http(connected->client, methods::POST, k_claim_path, to_json_text(request),
            [connected, address, done = std::move(done)](const call_result& result)
            {
              if (end_of(result) != start_end::answered)
              {
                done(std::nullopt);
                return;
              }
              done(value_or<std::optional<claim_answer>>(
                  [&]() -> common::result<std::optional<claim_answer>>
                  {
                    return parsed(
                        "claim", address,
                        [&result]
                        { return std::optional<claim_answer>(claim_answer_from(result.body)); });
                  },
                  [](const step_error& error)
                  {
                    log_warning({error.step, error.peer, {}, 0, error.detail});
                    return std::optional<claim_answer>{}; // treated like a missing answer
                  }));
            });
}

void http_worker_protocol::start(const std::string& address, const start_request& request,
                                 std::function<void(start_end, start_answer)> done)
{
  m_metrics.add(counter::worker_calls);
  const auto connected = connection_to(address);
  call_http(connected->client, methods::POST, k_start_path, to_json_text(request),
            [connected, address, done = std::move(done)](const call_result& result)
            {
              start_end end = end_of(result);
              start_answer answer;
              if (end == start_end::answered)
                answer = value_or<start_answer>(
                    [&] {
                      return parsed("start", address,
                                    [&result] { return start_answer_from(result.body); });
                    },
                    [&end](const step_error& error)
                    {
                      log_warning({error.step, error.peer, {}, 0, error.detail});
                      end = start_end::unclear;
                      return start_answer{};
                    });
              done(end, std::move(answer));
            });
}

void http_worker_protocol::stop(const std::string& address, const stop_request& request)
{
  m_metrics.add(counter::worker_calls);
  const auto connected = connection_to(address);
  // The answer is ignored: if the stop request is lost, it is sent again when the next claim still
  // names the attempt.
  call_http(connected->client, methods::POST, k_stop_path, to_json_text(request),
            [connected](const call_result& /*result*/) {});
}
} // namespace yardhill::target
