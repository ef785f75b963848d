// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The protocol between an instance and its workers: an interface, so that the protocol can be
// replaced, and its implementation over HTTP.

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "Common/Metrics.h"
#include "Common/Time.h"
#include "Common/WorkerMessages.h"

namespace yardhill::target
{
using namespace common;

enum class start_end
{
  answered,
  unsent, // the request was not sent, so the worker has not seen it
  unclear // the worker may have received the request
};

// A protocol without claims would leave only two safeguards: the owner's own lease, and waiting
// until a worker's lease has expired. A strategy that implements such a protocol must state this in
// docs/DESIGN.md.
class worker_protocol
{
public:
  virtual ~worker_protocol() = default;

  // Each callback is called exactly once, on any thread. `claim` passes nullopt if no valid answer
  // arrived within the timeout.
  virtual void claim(const std::string& address, const claim_request& request,
                     std::function<void(std::optional<claim_answer>)> done) = 0;
  virtual void start(const std::string& address, const start_request& request,
                     std::function<void(start_end, start_answer)> done) = 0;
  virtual void stop(const std::string& address, const stop_request& request) = 0;
};

// Paths below a worker's base URL. All take POST.
inline constexpr const char* k_claim_path = "/claim";
inline constexpr const char* k_start_path = "/start";
inline constexpr const char* k_stop_path = "/stop";

class http_worker_protocol : public worker_protocol
{
public:
  http_worker_protocol(duration timeout, metrics& counts);
  ~http_worker_protocol() override;

  void claim(const std::string& address, const claim_request& request,
             std::function<void(std::optional<claim_answer>)> done) override;
  void start(const std::string& address, const start_request& request,
             std::function<void(start_end, start_answer)> done) override;
  void stop(const std::string& address, const stop_request& request) override;

private:
  struct connection;

  std::shared_ptr<connection> connection_to(const std::string& address);

  duration m_timeout;
  metrics& m_metrics;
  std::mutex m_lock;
  std::map<std::string, std::shared_ptr<connection>> m_connections;
};
} // namespace yardhill::target
