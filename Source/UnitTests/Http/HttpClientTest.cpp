// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Tests how the client waits for replies that arrive slowly or in pieces, over real sockets on the
// loopback address.

#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "Http/HttpClient.h"

using namespace yardhill;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
namespace asio = boost::asio;
using asio::ip::tcp;

// Answers one request with the given pieces, pausing before each one, and then sends nothing more.
class slow_server
{
public:
  slow_server(asio::io_context& io, std::vector<std::string> pieces, milliseconds pause)
      : m_acceptor(io, {asio::ip::address_v4::loopback(), 0}),
        m_socket(io),
        m_timer(io),
        m_pieces(std::move(pieces)),
        m_pause(pause)
  {
    m_acceptor.async_accept(m_socket,
                            [this](const boost::system::error_code& failed)
                            {
                              if (!failed)
                                read_call();
                            });
  }

  common::endpoint address() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }

private:
  void read_call()
  {
    asio::async_read_until(m_socket, m_call, "\r\n\r\n",
                           [this](const boost::system::error_code& failed, std::size_t)
                           {
                             if (!failed)
                               send_next();
                           });
  }

  void send_next()
  {
    if (m_sent == m_pieces.size())
      return;
    m_timer.expires_after(m_pause);
    m_timer.async_wait(
        [this](const boost::system::error_code& stopped)
        {
          if (stopped)
            return;
          asio::async_write(m_socket, asio::buffer(m_pieces[m_sent++]),
                            [this](const boost::system::error_code& failed, std::size_t)
                            {
                              if (!failed)
                                send_next();
                            });
        });
  }

  tcp::acceptor m_acceptor;
  tcp::socket m_socket;
  asio::steady_timer m_timer;
  asio::streambuf m_call;
  std::vector<std::string> m_pieces;
  milliseconds m_pause;
  std::size_t m_sent = 0;
};

std::string header(std::size_t length)
{
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

struct client_under_test
{
  asio::io_context io;
  http::http_client client{io, {}};

  // Sends one request to a server that replies with `pieces`, and returns the client's result.
  http::reply answer(std::vector<std::string> pieces, milliseconds pause, milliseconds timeout,
                     std::optional<http::long_reply> expects)
  {
    slow_server server(io, std::move(pieces), pause);
    std::optional<http::reply> result;
    http::request call{http::method::get, "/rows", {}, {}};
    call.expects = std::move(expects);
    client.send(server.address(), std::move(call), timeout,
                [&result](http::reply reply) { result = std::move(reply); });
    while (!result && io.run_one() > 0)
    {
    }
    BOOST_TEST_REQUIRE(result.has_value());
    return *result;
  }
};

const std::vector<std::string> k_pieces{header(40), std::string(10, 'a'), std::string(10, 'b'),
                                        std::string(10, 'c'), std::string(10, 'd')};
} // namespace

BOOST_AUTO_TEST_SUITE(HttpClientTest)

BOOST_FIXTURE_TEST_CASE(a_long_reply_may_take_longer_than_the_timeout, client_under_test)
{
  unsigned progress_calls = 0;
  const http::reply reply =
      answer(k_pieces, milliseconds{500}, seconds{2},
             http::long_reply{seconds{20}, 0, [&progress_calls] { ++progress_calls; }});
  BOOST_TEST(reply.status == 200U);
  BOOST_TEST(reply.body.size() == 40U);
  BOOST_TEST(progress_calls >= 2U);
}

BOOST_FIXTURE_TEST_CASE(an_ordinary_reply_must_be_complete_within_the_timeout, client_under_test)
{
  const http::reply reply = answer(k_pieces, milliseconds{500}, seconds{2}, std::nullopt);
  BOOST_TEST(!reply.answered());
}

BOOST_FIXTURE_TEST_CASE(a_long_reply_that_stalls_fails_with_the_bytes_received, client_under_test)
{
  const http::reply reply = answer({header(40), std::string(10, 'a')}, milliseconds{50},
                                   seconds{20}, http::long_reply{milliseconds{500}, 0, {}});
  BOOST_TEST(!reply.answered());
  BOOST_TEST(reply.failure.find("10 of 40 bytes") != std::string::npos, reply.failure);
}

BOOST_FIXTURE_TEST_CASE(a_long_reply_that_does_not_start_times_out, client_under_test)
{
  const http::reply reply =
      answer({}, milliseconds{0}, milliseconds{500}, http::long_reply{seconds{20}, 0, {}});
  BOOST_TEST(!reply.answered());
}

BOOST_FIXTURE_TEST_CASE(a_reply_above_the_size_limit_is_rejected_by_its_header, client_under_test)
{
  const http::reply reply =
      answer({header(2000)}, milliseconds{0}, seconds{20}, http::long_reply{seconds{20}, 1000, {}});
  BOOST_TEST(reply.status == 200U);
  BOOST_TEST(reply.too_long);
  BOOST_TEST(reply.body.empty());
}

BOOST_FIXTURE_TEST_CASE(a_chunked_reply_is_assembled, client_under_test)
{
  const http::reply reply = answer({"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab",
                                    "c\r\n2\r\nde\r\n", "0\r\n\r\n"},
                                   milliseconds{20}, seconds{20}, std::nullopt);
  BOOST_TEST(reply.status == 200U);
  BOOST_TEST(reply.body == "abcde");
}

BOOST_FIXTURE_TEST_CASE(a_header_that_arrives_in_pieces_is_parsed, client_under_test)
{
  const http::reply reply = answer({"HTTP/1.1 40", "9 Conflict\r\nContent-", "Length: 2\r\n\r\n{}"},
                                   milliseconds{20}, seconds{20}, std::nullopt);
  BOOST_TEST(reply.status == 409U);
  BOOST_TEST(reply.body == "{}");
}

// The result must not be delivered from within `send`: the caller's own state may only be ready for
// a reply after `send` has returned.
BOOST_FIXTURE_TEST_CASE(an_immediate_failure_is_reported_from_the_event_loop, client_under_test)
{
  std::optional<http::reply> result;
  client.send({"no-address", 1}, {http::method::get, "/", {}, {}}, seconds{20},
              [&result](http::reply reply) { result = std::move(reply); });
  BOOST_TEST(!result.has_value());
  while (!result && io.run_one() > 0)
  {
  }
  BOOST_TEST_REQUIRE(result.has_value());
  BOOST_TEST(result->refused);
}

BOOST_AUTO_TEST_SUITE_END()
