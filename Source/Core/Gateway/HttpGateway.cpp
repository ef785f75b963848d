// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Gateway/HttpGateway.h"

#include <atomic>
#include <mutex>
#include <unordered_map>
#include <utility>
#include <variant>

#include <cpprest/http_listener.h>

#include "Gateway/AnswerForm.h"
#include "Gateway/RequestReader.h"

namespace yardhill::gateway
{
namespace
{
using web::http::http_request;
using web::http::http_response;
using web::http::methods;
using web::http::status_codes;
using web::http::experimental::listener::http_listener;

constexpr const char* k_json_type = "application/json";
constexpr const char* k_bytes_type = "application/octet-stream";
constexpr std::int64_t k_ms_per_second = 1000;

std::string url_of(const endpoint& where)
{
  return "http://" + to_text(where) + "/";
}

void reply_text(const http_request& request, int status, const std::string& body, const char* type)
{
  http_response response(static_cast<web::http::status_code>(status));
  response.set_body(body, type);
  request.reply(response).then(
      [](const pplx::task<void>& sent)
      {
        try
        {
          sent.get();
        }
        catch (const std::exception&) // NOLINT(bugprone-empty-catch): the caller disconnected
        {
        }
      });
}

void reply_answer(const http_request& request, const answer& value)
{
  const http_form form = form_of(value);
  http_response response(static_cast<web::http::status_code>(form.status));
  response.set_body(std::vector<unsigned char>(form.body.begin(), form.body.end()));
  response.headers().set_content_type(form.is_result ? k_bytes_type : k_json_type);
  auto& headers = response.headers();
  if (!value.task.empty())
    headers.add("Yardhill-Task", value.task.value);
  headers.add("Yardhill-Outcome", std::string(to_text(value.result)));
  headers.add("Yardhill-Attempts", value.attempts);
  headers.add("Yardhill-Waited-Us", value.waited.count());
  headers.add("Yardhill-Ran-Us", value.ran.count());
  if (value.retry_after > duration{0})
  {
    const auto ms = to_milliseconds(value.retry_after).count();
    headers.add("Retry-After", (ms + k_ms_per_second - 1) / k_ms_per_second);
  }
  request.reply(response).then(
      [](const pplx::task<void>& sent)
      {
        try
        {
          sent.get();
        }
        catch (const std::exception&) // NOLINT(bugprone-empty-catch): the caller disconnected
        {
        }
      });
}
} // namespace

class http_gateway::implementation
{
public:
  implementation(const instance_settings& settings, gateway_backend backend, metrics& counts)
      : m_settings(settings),
        m_backend(std::move(backend)),
        m_metrics(counts),
        m_listener(url_of(settings.http))
  {
    m_listener.support([this](const http_request& request) { handle(request); });
  }

  void open() { m_listener.open().wait(); }
  void close() { m_listener.close().wait(); }

  void reply_to_caller(std::uint64_t number, const answer& value)
  {
    if (auto request = take_waiting(number))
      reply_answer(*request, value);
  }

  void reply_to_operator(const instance::answer_apply& value)
  {
    const http_form form = form_of(value);
    if (auto request = take_waiting(value.number))
      reply_text(*request, form.status, form.body, k_json_type);
  }

  std::size_t waiting() const
  {
    const std::lock_guard lock(m_lock);
    return m_waiting.size();
  }

private:
  struct route
  {
    const web::http::method& method;
    const char* path;
    void (implementation::*handler)(const http_request& request);
  };

  void handle(const http_request& request)
  {
    const std::string path = web::uri::decode(request.relative_uri().path());
    static const route s_routes[] = {
        {methods::POST, "/v1/tasks", &implementation::submit},
        {methods::PUT, "/v1/config", &implementation::apply},
        {methods::GET, "/v1/config", &implementation::show_config},
        {methods::GET, "/v1/status", &implementation::show_status},
        {methods::POST, "/v1/drain", &implementation::drain},
        {methods::GET, "/healthz", &implementation::show_health},
        {methods::GET, "/readyz", &implementation::show_readiness},
        {methods::GET, "/metrics", &implementation::show_metrics},
    };
    for (const route& each : s_routes)
    {
      if (request.method() == each.method && path == each.path)
      {
        (this->*each.handler)(request);
        return;
      }
    }
    constexpr std::string_view tasks = "/v1/tasks/";
    const bool of_task = path.starts_with(tasks);
    if (of_task && request.method() == methods::GET)
      request_task(request, path.substr(tasks.size()), request_purpose::status);
    else if (of_task && request.method() == methods::DEL)
      request_task(request, path.substr(tasks.size()), request_purpose::cancel);
    else
      refuse_now(request, refusal_reason::unknown_task, "there is nothing at this path");
  }

  void refuse_now(const http_request& request, refusal_reason reason, const std::string& detail)
  {
    m_metrics.add(reason);
    reply_answer(request, bad_request(reason, detail));
  }

  // Reads the body and passes it to `then`. If Content-Length is missing or above the limit, or too
  // many requests are in flight, the request is refused without reading the body.
  template<class next>
  void with_body(const http_request& request, const next& then)
  {
    const auto length = request.headers().content_length();
    if (!request.headers().has("Content-Length"))
    {
      refuse_now(request, refusal_reason::malformed_request, "Content-Length is missing");
      return;
    }
    if (length > m_settings.most_body)
    {
      refuse_now(request, refusal_reason::request_too_large,
                 "the body may have at most " + std::to_string(m_settings.most_body) + " bytes");
      return;
    }
    if (waiting() >= m_settings.core.routing.max_pending_requests)
    {
      refuse_now(request, refusal_reason::queue_full, "too many requests are under way here");
      return;
    }
    http_request(request).extract_utf8string(true).then(
        [this, request, then](const pplx::task<std::string>& read)
        {
          try
          {
            then(read.get());
          }
          catch (const std::exception& error)
          {
            refuse_now(request, refusal_reason::malformed_request, error.what());
          }
        });
  }

  std::uint64_t add_waiting(const http_request& request)
  {
    const std::lock_guard lock(m_lock);
    const std::uint64_t number = m_next_number++;
    m_waiting.emplace(number, request);
    return number;
  }

  std::optional<http_request> take_waiting(std::uint64_t number)
  {
    const std::lock_guard lock(m_lock);
    const auto found = m_waiting.find(number);
    if (found == m_waiting.end())
      return std::nullopt;
    http_request request = found->second;
    m_waiting.erase(found);
    return request;
  }

  template<class request_type>
  void deliver(const http_request& request, std::variant<request_type, answer> read)
  {
    if (const answer* refusal = std::get_if<answer>(&read))
    {
      m_metrics.add(refusal->reason);
      reply_answer(request, *refusal);
      return;
    }
    request_type parsed_request = std::move(std::get<request_type>(read));
    parsed_request.number = add_waiting(request);
    m_backend.deliver(std::move(parsed_request));
  }

  void submit(const http_request& request)
  {
    with_body(request,
              [this, request](const std::string& body) { deliver(request, read_submit(body)); });
  }

  void apply(const http_request& request)
  {
    with_body(request,
              [this, request](const std::string& body) { deliver(request, read_apply(body)); });
  }

  void request_task(const http_request& request, const std::string& task, request_purpose purpose)
  {
    const std::size_t slash = task.find('/');
    if (slash == std::string::npos)
    {
      refuse_now(request, refusal_reason::malformed_request,
                 "a task is named by its workload, a slash and its key");
      return;
    }
    instance::caller_request task_request;
    task_request.purpose = purpose;
    task_request.workload = workload_id{task.substr(0, slash)};
    task_request.key = task.substr(slash + 1);
    task_request.number = add_waiting(request);
    m_backend.deliver(std::move(task_request));
  }

  void show_config(const http_request& request)
  {
    reply_text(request, status_codes::OK, m_backend.configuration(), k_json_type);
  }

  void show_status(const http_request& request)
  {
    reply_text(request, status_codes::OK, m_backend.status_page(), k_json_type);
  }

  void drain(const http_request& request)
  {
    m_backend.deliver(instance::stop_requested{});
    reply_text(request, status_codes::Accepted, "{\"code\":\"stopping\"}\n", k_json_type);
  }

  void show_health(const http_request& request)
  {
    reply_text(request, status_codes::OK, "ok\n", "text/plain");
  }

  void show_readiness(const http_request& request)
  {
    const bool ready = m_backend.ready();
    reply_text(request, ready ? status_codes::OK : status_codes::ServiceUnavailable,
               ready ? "ready\n" : "not ready\n", "text/plain");
  }

  void show_metrics(const http_request& request)
  {
    reply_text(request, status_codes::OK, m_metrics.exposition(), "text/plain; version=0.0.4");
  }

  const instance_settings& m_settings;
  gateway_backend m_backend;
  metrics& m_metrics;
  http_listener m_listener;
  mutable std::mutex m_lock;
  std::unordered_map<std::uint64_t, http_request> m_waiting;
  std::uint64_t m_next_number = 1;
};

http_gateway::http_gateway(const instance_settings& settings, gateway_backend backend,
                           metrics& counts)
    : m_implementation(std::make_unique<implementation>(settings, std::move(backend), counts))
{
}

http_gateway::~http_gateway() = default;

void http_gateway::open()
{
  m_implementation->open();
}

void http_gateway::close()
{
  m_implementation->close();
}

void http_gateway::reply_to_caller(const instance::answer_caller& reply)
{
  m_implementation->reply_to_caller(reply.number, reply.value);
}

void http_gateway::reply_to_operator(const instance::answer_apply& reply)
{
  m_implementation->reply_to_operator(reply);
}

std::size_t http_gateway::waiting() const
{
  return m_implementation->waiting();
}
} // namespace yardhill::gateway
