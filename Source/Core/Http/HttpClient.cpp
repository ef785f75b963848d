// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Http/HttpClient.h"

#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include <netinet/tcp.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>

#include "Common/BootClock.h"
#include "Http/ReplyParser.h"
#include "Http/RequestText.h"
#include "Http/TimerQueue.h"

namespace yardhill::http
{
namespace
{
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;
using clock = timer_queue::clock;

// TCP closes a connection whose sent bytes stay unacknowledged for this time. It detects a peer
// that lost power even if the call's own timeout is longer. The value is twice the longest round
// trip of a slow link.
constexpr int k_tcp_user_timeout_ms = 3000;
// A connection that has been idle for longer is closed instead of reused, because peers close their
// idle connections after 15 s.
constexpr std::chrono::seconds k_max_idle_time{10};
constexpr std::size_t k_max_read_bytes = 65536;

using peer_key = std::pair<std::string, std::uint16_t>;

struct waiting_call
{
  request call;
  clock::time_point expires;
  reply_handler done;
};

struct connection;

struct peer_pool
{
  explicit peer_pool(const peer_key& key)
      : address(key.first), port(key.second), host(key.first + ":" + std::to_string(key.second))
  {
  }

  std::string address;
  std::uint16_t port;
  std::string host;
  std::vector<std::shared_ptr<connection>> idle;
  std::deque<waiting_call> waiting;
  std::size_t busy = 0;
};

struct connection
{
  explicit connection(asio::io_context& io) : socket(io) {}

  tcp::socket socket;
  beast::flat_buffer buffer;
  common::time_point idle_since;
  // The members below belong to the call in flight. `pool` stays valid during the call, since a
  // pool is only removed while it has no calls.
  peer_pool* pool = nullptr;
  std::string outgoing;
  std::optional<reply_parser> incoming;
  std::optional<long_reply> expects;
  std::optional<timer_queue::entry> deadline;
  bool expired = false;
  reply_handler done;
};

using connection_pointer = std::shared_ptr<connection>;
} // namespace

class http_client::implementation : public std::enable_shared_from_this<implementation>
{
public:
  implementation(asio::io_context& io, const client_options& options)
      : m_io(io), m_options(options), m_deadlines(io)
  {
  }

  void send(const peer_key& key, waiting_call call)
  {
    peer_pool& pool = m_pools.try_emplace(key, key).first->second;
    if (pool.busy >= m_options.max_connections)
    {
      if (pool.waiting.size() >= m_options.max_waiting)
        asio::post(m_io,
                   [done = std::move(call.done)] {
                     done({0, {}, "too many calls wait for this peer", true});
                   });
      else
        pool.waiting.push_back(std::move(call));
      return;
    }
    start_call(pool, std::move(call));
  }

  void forget(const peer_key& key)
  {
    const auto found = m_pools.find(key);
    if (found == m_pools.end())
      return;
    found->second.idle.clear();
    if (found->second.busy == 0 && found->second.waiting.empty())
      m_pools.erase(found);
  }

private:
  void start_call(peer_pool& pool, waiting_call call)
  {
    ++pool.busy;
    connection_pointer link = take_idle(pool);
    const bool connected = link != nullptr;
    if (!connected)
      link = std::make_shared<connection>(m_io);
    link->pool = &pool;
    link->done = std::move(call.done);
    link->expects = std::move(call.call.expects);
    write_request(link->outgoing, pool.host, call.call);
    set_deadline(*link, call.expires);
    if (connected)
      write(link);
    else
      connect(link);
  }

  void set_deadline(connection& link, clock::time_point when)
  {
    clear_deadline(link);
    link.deadline = m_deadlines.add(when, [&link] { expire(link); });
  }

  void clear_deadline(connection& link)
  {
    if (link.deadline)
      m_deadlines.remove(*link.deadline);
    link.deadline.reset();
  }

  // Closes the socket, so that the pending asynchronous operation completes with an error.
  static void expire(connection& link)
  {
    link.deadline.reset();
    link.expired = true;
    error_code ignored;
    link.socket.close(ignored);
  }

  connection_pointer take_idle(peer_pool& pool)
  {
    while (!pool.idle.empty())
    {
      connection_pointer link = std::move(pool.idle.back());
      pool.idle.pop_back();
      if (common::boot_time() - link->idle_since < k_max_idle_time && !closed_by_peer(*link))
        return link;
    }
    return nullptr;
  }

  // Whether an idle connection is unusable. No data may arrive on an idle connection, so end of
  // file or unexpected bytes rule out its reuse.
  static bool closed_by_peer(connection& link)
  {
    char probe = 0;
    const auto got = ::recv(link.socket.native_handle(), &probe, 1, MSG_PEEK | MSG_DONTWAIT);
    return got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  }

  void connect(const connection_pointer& link)
  {
    error_code error;
    const auto address = asio::ip::make_address(link->pool->address, error);
    if (error)
    {
      post_finish(link, {0, {}, "bad address", true});
      return;
    }
    link->socket.async_connect(tcp::endpoint(address, link->pool->port),
                               [self = shared_from_this(), link](const error_code& failed)
                               { self->on_connected(link, failed); });
  }

  void on_connected(const connection_pointer& link, const error_code& failed)
  {
    if (failed || link->expired)
    {
      finish(link, {0, {}, "connect: " + error_text(*link, failed), true}, false);
      return;
    }
    error_code ignored;
    link->socket.non_blocking(true, ignored);
    link->socket.set_option(tcp::no_delay(true), ignored);
    link->socket.set_option(
        asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(k_tcp_user_timeout_ms),
        ignored);
    write(link);
  }

  // Tries a direct write first: a request usually fits into the socket's send buffer, which saves
  // an iteration of the event loop.
  void write(const connection_pointer& link)
  {
    error_code failed;
    const std::size_t sent = link->socket.write_some(asio::buffer(link->outgoing), failed);
    if (failed && failed != asio::error::would_block)
    {
      post_finish(link, {0, {}, "send: " + error_text(*link, failed), false});
      return;
    }
    if (sent == link->outgoing.size())
    {
      read(link);
      return;
    }
    asio::async_write(
        link->socket, asio::buffer(link->outgoing) + sent,
        [self = shared_from_this(), link](const error_code& broken, std::size_t)
        {
          if (broken)
            self->finish(link, {0, {}, "send: " + error_text(*link, broken), false}, false);
          else
            self->read(link);
        });
  }

  void read(const connection_pointer& link)
  {
    link->incoming.emplace(link->expects && link->expects->most_bytes > 0
                               ? link->expects->most_bytes
                               : m_options.max_body_bytes);
    read_some(link);
  }

  void read_some(const connection_pointer& link)
  {
    link->socket.async_read_some(
        link->buffer.prepare(beast::read_size(link->buffer, k_max_read_bytes)),
        [self = shared_from_this(), link](const error_code& failed, std::size_t bytes)
        {
          link->buffer.commit(bytes);
          self->on_read(link, failed);
        });
  }

  void on_read(const connection_pointer& link, error_code failed)
  {
    reply_parser& answer = *link->incoming;
    std::size_t parsed_bytes = 0;
    if (failed == asio::error::eof && answer.got_some())
      answer.put_eof(failed);
    else if (failed == asio::error::eof)
      failed = bhttp::error::end_of_stream;
    else if (!failed)
    {
      parsed_bytes = answer.put(link->buffer.data(), failed);
      link->buffer.consume(parsed_bytes);
      if (failed == bhttp::error::need_more)
        failed = {};
    }
    if (failed == bhttp::error::body_limit && link->expects)
    {
      reply too_long;
      too_long.status = answer.status();
      too_long.too_long = true;
      finish(link, std::move(too_long), false);
      return;
    }
    if (failed)
    {
      finish(link, {0, {}, "receive: " + error_text(*link, failed) + received_part(*link), false},
             false);
      return;
    }
    if (parsed_bytes > 0 && link->expects && link->expects->coming)
      link->expects->coming();
    if (!answer.is_done())
    {
      if (parsed_bytes > 0 && link->expects)
        set_deadline(*link, clock::now() + link->expects->max_pause);
      read_some(link);
      return;
    }
    const bool reuse = answer.keep_alive() && !link->expired && link->buffer.size() == 0;
    finish(link, {answer.status(), std::move(answer.body()), {}, false}, reuse);
  }

  static std::string error_text(const connection& link, const error_code& failed)
  {
    return link.expired ? make_error_code(beast::error::timeout).message() : failed.message();
  }

  // Describes how much of the reply's body arrived before the call failed; empty if nothing did.
  // This distinguishes a silent peer from a link that is too slow for the timeout.
  static std::string received_part(connection& link)
  {
    const std::size_t received = link.incoming->body().size();
    if (received == 0)
      return {};
    const auto total = link.incoming->content_length();
    return " after " + std::to_string(received) + " of " +
           (total ? std::to_string(*total) : std::string("an unknown number of")) + " bytes";
  }

  // Ends a call that failed immediately; its `done` handler still runs from the event loop.
  void post_finish(const connection_pointer& link, reply answer)
  {
    asio::post(m_io, [self = shared_from_this(), link, answer = std::move(answer)]() mutable
               { self->finish(link, std::move(answer), false); });
  }

  void finish(const connection_pointer& link, reply answer, bool reuse)
  {
    reply_handler done = std::move(link->done);
    link->done = nullptr;
    clear_deadline(*link);
    link->incoming.reset();
    peer_pool& pool = *std::exchange(link->pool, nullptr);
    --pool.busy;
    if (reuse)
    {
      link->idle_since = common::boot_time();
      pool.idle.push_back(link);
    }
    else
    {
      error_code ignored;
      link->socket.close(ignored);
    }
    start_waiting_calls(pool);
    done(std::move(answer));
  }

  void start_waiting_calls(peer_pool& pool)
  {
    while (!pool.waiting.empty() && pool.busy < m_options.max_connections)
    {
      waiting_call call = std::move(pool.waiting.front());
      pool.waiting.pop_front();
      if (call.expires > clock::now())
      {
        start_call(pool, std::move(call));
        continue;
      }
      asio::post(m_io,
                 [done = std::move(call.done)] {
                   done({0, {}, "no connection became free in time", true});
                 });
    }
  }

  asio::io_context& m_io;
  client_options m_options;
  timer_queue m_deadlines;
  std::map<peer_key, peer_pool> m_pools;
};

http_client::http_client(asio::io_context& io, const client_options& options)
    : m_implementation(std::make_shared<implementation>(io, options))
{
}

http_client::~http_client() = default;

void http_client::send(const common::endpoint& peer, request call, common::duration timeout,
                       reply_handler done)
{
  m_implementation->send({peer.address, peer.port},
                         {std::move(call), clock::now() + timeout, std::move(done)});
}

void http_client::forget(const common::endpoint& peer)
{
  m_implementation->forget({peer.address, peer.port});
}
} // namespace yardhill::http
