// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Http/HttpClient.h"

#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include <netinet/tcp.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "Common/BootClock.h"

namespace yardhill::http
{
namespace
{
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;
using clock = std::chrono::steady_clock;

// Unacknowledged bytes end a connection after this time, so that a peer without power is noticed
// even where the call itself would wait longer. Twice the longest round trip of a slow link.
constexpr int k_user_timeout_ms = 3000;
// An idle connection older than this is closed instead of used: peers close theirs after 15 s.
constexpr std::chrono::seconds k_longest_idle{10};

bhttp::verb verb_of(method verb)
{
  switch (verb)
  {
  case method::post:
    return bhttp::verb::post;
  case method::put:
    return bhttp::verb::put;
  case method::remove:
    return bhttp::verb::delete_;
  default:
    return bhttp::verb::get;
  }
}

using peer_key = std::pair<std::string, std::uint16_t>;

struct waiting_call
{
  request call;
  clock::time_point expires;
  reply_handler done;
};

struct connection
{
  explicit connection(asio::io_context& io) : stream(io) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  common::time_point idle_since;
  // Of the call under way.
  bhttp::request<bhttp::string_body> outgoing;
  std::unique_ptr<bhttp::response_parser<bhttp::string_body>> incoming;
  std::optional<long_answer> expects;
  reply_handler done;
};

struct peer_pool
{
  std::vector<std::shared_ptr<connection>> idle;
  std::deque<waiting_call> waiting;
  std::size_t busy = 0;
};
} // namespace

class http_client::implementation : public std::enable_shared_from_this<implementation>
{
public:
  implementation(asio::io_context& io, const client_options& options) : m_io(io), m_options(options)
  {
  }

  void send(const peer_key& key, waiting_call call)
  {
    peer_pool& pool = m_pools[key];
    if (pool.busy >= m_options.most_connections)
    {
      if (pool.waiting.size() >= m_options.most_waiting)
        asio::post(m_io,
                   [done = std::move(call.done)] {
                     done({0, {}, "too many calls wait for this peer", true});
                   });
      else
        pool.waiting.push_back(std::move(call));
      return;
    }
    begin(key, pool, std::move(call));
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
  void begin(const peer_key& key, peer_pool& pool, waiting_call call)
  {
    ++pool.busy;
    std::shared_ptr<connection> link = take_idle(pool);
    const bool connected = link != nullptr;
    if (!connected)
      link = std::make_shared<connection>(m_io);
    link->done = std::move(call.done);
    link->expects = std::move(call.call.expects);
    link->outgoing = {};
    link->outgoing.method(verb_of(call.call.verb));
    link->outgoing.target(call.call.target);
    link->outgoing.version(11);
    link->outgoing.set(bhttp::field::host, key.first + ":" + std::to_string(key.second));
    for (const auto& [name, value] : call.call.headers)
      link->outgoing.set(name, value);
    link->outgoing.body() = std::move(call.call.body);
    link->outgoing.prepare_payload();
    link->stream.expires_at(call.expires);
    if (connected)
      write(key, link);
    else
      connect(key, link);
  }

  std::shared_ptr<connection> take_idle(peer_pool& pool)
  {
    while (!pool.idle.empty())
    {
      std::shared_ptr<connection> link = std::move(pool.idle.back());
      pool.idle.pop_back();
      if (common::boot_time() - link->idle_since < k_longest_idle && !closed_by_peer(*link))
        return link;
    }
    return nullptr;
  }

  // An idle connection has nothing to read; end of file or stray bytes mean it is of no use.
  static bool closed_by_peer(connection& link)
  {
    char probe = 0;
    const auto got =
        ::recv(link.stream.socket().native_handle(), &probe, 1, MSG_PEEK | MSG_DONTWAIT);
    return got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  }

  void connect(const peer_key& key, const std::shared_ptr<connection>& link)
  {
    error_code error;
    const auto address = asio::ip::make_address(key.first, error);
    if (error)
    {
      finish(key, link, {0, {}, "bad address", true}, false);
      return;
    }
    link->stream.async_connect(
        tcp::endpoint(address, key.second),
        [self = shared_from_this(), key, link](const error_code& failed)
        {
          if (failed)
          {
            self->finish(key, link, {0, {}, "connect: " + failed.message(), true}, false);
            return;
          }
          error_code ignored;
          link->stream.socket().set_option(tcp::no_delay(true), ignored);
          link->stream.socket().set_option(
              asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(
                  k_user_timeout_ms),
              ignored);
          self->write(key, link);
        });
  }

  void write(const peer_key& key, const std::shared_ptr<connection>& link)
  {
    bhttp::async_write(
        link->stream, link->outgoing,
        [self = shared_from_this(), key, link](const error_code& failed, std::size_t)
        {
          if (failed)
            self->finish(key, link, {0, {}, "send: " + failed.message(), false}, false);
          else
            self->read(key, link);
        });
  }

  void read(const peer_key& key, const std::shared_ptr<connection>& link)
  {
    link->incoming = std::make_unique<bhttp::response_parser<bhttp::string_body>>();
    link->incoming->eager(true);
    link->incoming->body_limit(link->expects && link->expects->most_bytes > 0
                                   ? link->expects->most_bytes
                                   : m_options.most_body);
    read_some(key, link);
  }

  void read_some(const peer_key& key, const std::shared_ptr<connection>& link)
  {
    bhttp::async_read_some(
        link->stream, link->buffer, *link->incoming,
        [self = shared_from_this(), key, link](const error_code& failed, std::size_t)
        { self->on_read(key, link, failed); });
  }

  void on_read(const peer_key& key, const std::shared_ptr<connection>& link,
               const error_code& failed)
  {
    if (failed == bhttp::error::body_limit && link->expects)
    {
      reply answer;
      answer.status = link->incoming->get().result_int();
      answer.too_long = true;
      finish(key, link, std::move(answer), false);
      return;
    }
    if (failed)
    {
      finish(key, link, {0, {}, "receive: " + failed.message() + came_of(*link), false}, false);
      return;
    }
    if (link->expects && link->expects->coming)
      link->expects->coming();
    if (!link->incoming->is_done())
    {
      if (link->expects)
        link->stream.expires_after(link->expects->longest_pause);
      read_some(key, link);
      return;
    }
    auto& message = link->incoming->get();
    const bool keep = message.keep_alive();
    reply answer;
    answer.status = message.result_int();
    answer.body = std::move(message.body());
    finish(key, link, std::move(answer), keep);
  }

  // How much of an answer came before its call ended; nothing if none of its body did. Tells a peer
  // that is silent from a link that is too narrow for the time given.
  static std::string came_of(const connection& link)
  {
    const std::size_t came = link.incoming->get().body().size();
    if (came == 0)
      return {};
    const auto whole = link.incoming->content_length();
    return " after " + std::to_string(came) + " of " +
           (whole ? std::to_string(*whole) : std::string("an unknown number of")) + " bytes";
  }

  void finish(const peer_key& key, const std::shared_ptr<connection>& link, reply answer, bool keep)
  {
    reply_handler done = std::move(link->done);
    link->done = nullptr;
    link->stream.expires_never();
    peer_pool& pool = m_pools[key];
    --pool.busy;
    if (keep)
    {
      link->idle_since = common::boot_time();
      pool.idle.push_back(link);
    }
    else
    {
      error_code ignored;
      link->stream.socket().close(ignored);
    }
    next(key, pool);
    done(std::move(answer));
  }

  void next(const peer_key& key, peer_pool& pool)
  {
    while (!pool.waiting.empty() && pool.busy < m_options.most_connections)
    {
      waiting_call call = std::move(pool.waiting.front());
      pool.waiting.pop_front();
      if (call.expires > clock::now())
      {
        begin(key, pool, std::move(call));
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
