// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Http/HttpListener.h"

#include <optional>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace yardhill::http
{
namespace
{
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

// Delay before the next accept after a failed one, for example when no file descriptors are left.
constexpr std::chrono::milliseconds k_accept_retry_delay{50};
// The connection of a caller that does not receive its reply within this time is closed.
constexpr std::chrono::seconds k_write_timeout{5};

struct listener_state
{
  listener_limits limits;
  std::vector<std::string> captured_headers;
  request_handler handle;
  std::size_t connections = 0;
  std::size_t in_flight = 0;
  bool closing = false;
};

method method_of(bhttp::verb verb)
{
  switch (verb)
  {
  case bhttp::verb::get:
    return method::get;
  case bhttp::verb::post:
    return method::post;
  case bhttp::verb::put:
    return method::put;
  case bhttp::verb::delete_:
    return method::remove;
  default:
    return method::other;
  }
}

// One caller's connection: reads a request, passes it to the handler, writes the reply, and
// repeats.
class session : public std::enable_shared_from_this<session>
{
public:
  session(tcp::socket socket, std::shared_ptr<listener_state> state)
      : m_stream(std::move(socket)), m_state(std::move(state))
  {
    ++m_state->connections;
    error_code ignored;
    m_stream.socket().set_option(tcp::no_delay(true), ignored);
  }
  ~session() { --m_state->connections; }

  void read()
  {
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(m_state->limits.max_header_bytes));
    m_parser->body_limit(m_state->limits.max_body_bytes);
    m_stream.expires_after(m_state->limits.idle_timeout);
    bhttp::async_read_header(m_stream, m_buffer, *m_parser,
                             [self = shared_from_this()](const error_code& failed, std::size_t)
                             { self->read_body(failed); });
  }

private:
  void read_body(const error_code& failed)
  {
    if (failed)
    {
      reject(failed);
      return;
    }
    m_stream.expires_after(m_state->limits.header_timeout);
    bhttp::async_read(m_stream, m_buffer, *m_parser,
                      [self = shared_from_this()](const error_code& broken, std::size_t)
                      {
                        if (broken)
                          self->reject(broken);
                        else
                          self->dispatch();
                      });
  }

  // Replies with an error if the request was too large or arrived too slowly. After any other
  // error, such as a closed connection, no reply is sent.
  void reject(const error_code& error)
  {
    m_keep_alive = false;
    if (error == bhttp::error::body_limit)
      write({413, R"({"error":"the body is too large"})", "application/json", {}});
    else if (error == bhttp::error::header_limit)
      write({431, R"({"error":"the header is too large"})", "application/json", {}});
    else if (error == beast::error::timeout && m_parser->got_some())
      write({408, R"({"error":"the request did not arrive in time"})", "application/json", {}});
  }

  void dispatch()
  {
    auto message = m_parser->release();
    m_keep_alive = message.keep_alive();
    m_stream.expires_never();
    incoming_request request;
    request.verb = method_of(message.method());
    request.host = std::string(message[bhttp::field::host]);
    request.target = std::string(message.target());
    for (const std::string& name : m_state->captured_headers)
      request.captured_headers.emplace_back(message[name]);
    request.body = std::move(message.body());
    ++m_state->in_flight;
    m_request_in_flight = true;
    m_state->handle(std::move(request), [self = shared_from_this()](outgoing_reply answer)
                    { self->write(std::move(answer)); });
  }

  void write(outgoing_reply answer)
  {
    if (m_request_in_flight)
      --m_state->in_flight;
    m_request_in_flight = false;
    m_reply = {};
    m_reply.version(11);
    m_reply.result(answer.status);
    m_reply.set(bhttp::field::content_type, answer.content_type);
    for (const auto& [name, value] : answer.headers)
      m_reply.set(name, value);
    m_reply.body() = std::move(answer.body);
    m_reply.keep_alive(m_keep_alive && !m_state->closing && !answer.close);
    m_reply.prepare_payload();
    m_stream.expires_after(k_write_timeout);
    bhttp::async_write(m_stream, m_reply,
                       [self = shared_from_this()](const error_code& failed, std::size_t)
                       {
                         if (!failed && self->m_reply.keep_alive())
                         {
                           self->read();
                           return;
                         }
                         error_code ignored;
                         self->m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
                       });
  }

  beast::tcp_stream m_stream;
  std::shared_ptr<listener_state> m_state;
  beast::flat_buffer m_buffer;
  std::optional<bhttp::request_parser<bhttp::string_body>> m_parser;
  bhttp::response<bhttp::string_body> m_reply;
  bool m_keep_alive = false;
  bool m_request_in_flight = false;
};
} // namespace

class http_listener::implementation : public std::enable_shared_from_this<implementation>
{
public:
  implementation(asio::io_context& io, const common::endpoint& where,
                 std::vector<std::string> captured_headers, request_handler handle)
      : m_acceptor(io, tcp::endpoint(asio::ip::make_address(where.address), where.port)),
        m_accept_timer(io),
        m_state(std::make_shared<listener_state>())
  {
    m_state->captured_headers = std::move(captured_headers);
    m_state->handle = std::move(handle);
  }

  void accept()
  {
    m_acceptor.async_accept(
        [self = shared_from_this()](const error_code& failed, tcp::socket socket)
        {
          if (failed == asio::error::operation_aborted)
            return;
          if (failed)
          {
            self->retry_accept_later();
            return;
          }
          if (self->m_state->connections < self->m_state->limits.max_connections)
            std::make_shared<session>(std::move(socket), self->m_state)->read();
          self->accept();
        });
  }

  void close()
  {
    error_code ignored;
    m_acceptor.close(ignored);
    m_accept_timer.cancel();
  }

  listener_state& state() { return *m_state; }

private:
  void retry_accept_later()
  {
    m_accept_timer.expires_after(k_accept_retry_delay);
    m_accept_timer.async_wait(
        [self = shared_from_this()](const error_code& ended)
        {
          if (!ended)
            self->accept();
        });
  }

  tcp::acceptor m_acceptor;
  asio::steady_timer m_accept_timer;
  std::shared_ptr<listener_state> m_state;
};

http_listener::http_listener(asio::io_context& io, const common::endpoint& where,
                             std::vector<std::string> captured_headers, request_handler handle)
    : m_implementation(std::make_shared<implementation>(io, where, std::move(captured_headers),
                                                        std::move(handle)))
{
  m_implementation->accept();
}

http_listener::~http_listener()
{
  m_implementation->close();
}

void http_listener::set_limits(const listener_limits& limits)
{
  m_implementation->state().limits = limits;
}

void http_listener::close_after_replies()
{
  m_implementation->state().closing = true;
}

std::size_t http_listener::requests_in_flight() const
{
  return m_implementation->state().in_flight;
}
} // namespace yardhill::http
