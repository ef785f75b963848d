// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "StandIns/PlatformStandIn.h"

#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include <cpprest/http_listener.h>
#include <nlohmann/json.hpp>

#include "Platform/TableProtocol.h"
#include "StandIns/StandInHttp.h"

namespace yardhill::stand_ins
{
namespace
{
using nlohmann::json;
using platform::listed_instance;
using web::http::http_request;
using web::http::methods;
using web::http::status_codes;

struct platform_faults
{
  bool outage = false;
  duration answer_delay{0};
  std::uint64_t lose_answers = 0;            // number of transactions to apply without answering
  std::set<std::string> unreachable_callers; // callers that get no answer
};

web::http::status_code status_of(store_status status)
{
  switch (status)
  {
  case store_status::ok:
    return status_codes::OK;
  case store_status::conflict:
    return status_codes::Conflict;
  case store_status::limited:
    return status_codes::TooManyRequests;
  case store_status::unavailable:
  case store_status::unclear:
  case store_status::count:
    break;
  }
  return status_codes::ServiceUnavailable;
}

std::string caller_of(const http_request& request)
{
  const auto& headers = request.headers();
  const auto found = headers.find(platform::k_caller_header);
  return found == headers.end() ? std::string{} : found->second;
}
} // namespace

class platform_stand_in::implementation
{
public:
  explicit implementation(const platform_options& options)
      : m_options(options),
        m_table(options.limits),
        m_server(options.port, [this](const http_request& request) { handle(request); })
  {
  }

private:
  void handle(const http_request& request)
  {
    with_body(request,
              [this, request](const std::string& body)
              {
                const std::string path = request.relative_uri().path();
                if (path == "/faults")
                  set_faults(request, body);
                else if (path == "/load")
                  reply_load(request);
                else if (path == platform::k_instances_path && request.method() == methods::POST)
                  register_instances(request, body);
                else
                  serve(request, path, body);
              });
  }

  void set_faults(const http_request& request, const std::string& body)
  {
    const json in = json::parse(body);
    const std::lock_guard guard(m_lock);
    m_faults.outage = in.value("outage", m_faults.outage);
    m_faults.answer_delay = std::chrono::milliseconds{in.value(
        "slow_ms",
        std::chrono::duration_cast<std::chrono::milliseconds>(m_faults.answer_delay).count())};
    m_faults.lose_answers = in.value("lose_answers", m_faults.lose_answers);
    if (in.contains("cut"))
      m_faults.unreachable_callers = in["cut"].get<std::set<std::string>>();
    reply(request, status_codes::OK, "{}");
  }

  void reply_load(const http_request& request)
  {
    const std::lock_guard guard(m_lock);
    const replay::table_load& load = m_table.load();
    reply(request, status_codes::OK,
          json{{"reads", load.reads},
               {"writes", load.writes},
               {"rows", load.rows},
               {"limited", load.limited},
               {"conflicts", load.conflicts}}
              .dump());
  }

  void register_instances(const http_request& request, const std::string& body)
  {
    const std::lock_guard guard(m_lock);
    for (const listed_instance& entry : platform::instance_list_from(body))
      m_instances[entry.name] = entry;
    m_lists.emplace_back(monotonic_now(), current_list());
    reply(request, status_codes::OK, "{}");
  }

  std::vector<listed_instance> current_list() const
  {
    std::vector<listed_instance> list;
    for (const auto& [name, entry] : m_instances)
      list.push_back(entry);
    return list;
  }

  void serve(const http_request& request, const std::string& path, const std::string& body)
  {
    duration delay{0};
    {
      const std::lock_guard guard(m_lock);
      if (m_faults.unreachable_callers.contains(caller_of(request)))
        return; // no answer
      if (m_faults.outage)
      {
        reply(request, status_codes::ServiceUnavailable, "outage");
        return;
      }
      delay = m_faults.answer_delay;
    }
    const auto answer = [this, request, path, body] { serve_now(request, path, body); };
    if (delay > duration{0})
      after(delay, answer);
    else
      answer();
  }

  void serve_now(const http_request& request, const std::string& path, const std::string& body)
  {
    const std::lock_guard guard(m_lock);
    if (path == platform::k_read_path)
    {
      const store_read_result result =
          m_table.read(platform::store_read_from(body), monotonic_now());
      reply(request, status_of(result.status), platform::to_json_text(result));
    }
    else if (path == platform::k_transaction_path)
    {
      const store_write_result result =
          m_table.write(platform::store_transaction_from(body), monotonic_now());
      if (result.status == store_status::ok && m_faults.lose_answers > 0)
      {
        --m_faults.lose_answers;
        return; // the transaction took effect, but its answer is lost
      }
      reply(request, status_of(result.status), std::to_string(result.version));
    }
    else if (path.starts_with(platform::k_objects_path))
    {
      serve_object(request, path, body);
    }
    else if (path == platform::k_instances_path)
    {
      reply(request, status_codes::OK, platform::to_json_text(lagging_list()));
    }
    else
    {
      reply(request, status_codes::NotFound, "");
    }
  }

  void serve_object(const http_request& request, const std::string& path, const std::string& body)
  {
    if (request.method() == methods::PUT)
    {
      m_table.put({path, body});
      reply(request, status_codes::OK, "");
      return;
    }
    const store_read_result result = m_table.get({path});
    if (result.rows.empty())
      reply(request, status_codes::NotFound, "");
    else
      reply(request, status_codes::OK, result.rows.front().value);
  }

  std::vector<listed_instance> lagging_list()
  {
    const time_point listed_at = monotonic_now() - m_options.list_lag;
    while (m_lists.size() > 1 && m_lists[1].first <= listed_at)
      m_lists.pop_front();
    if (m_lists.empty() || m_lists.front().first > listed_at)
      return {};
    return m_lists.front().second;
  }

  platform_options m_options;
  std::mutex m_lock;
  platform_faults m_faults;
  replay::table_model m_table;
  std::map<std::string, listed_instance> m_instances;
  std::deque<std::pair<time_point, std::vector<listed_instance>>> m_lists;
  http_server m_server;
};

platform_stand_in::platform_stand_in(const platform_options& options)
    : m_implementation(std::make_unique<implementation>(options))
{
}

platform_stand_in::~platform_stand_in() = default;
} // namespace yardhill::stand_ins
