// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Peer/FrameConnection.h"

#include <algorithm>
#include <optional>
#include <utility>

#include <netinet/tcp.h>

#include <boost/asio.hpp>

namespace yardhill::peer
{
namespace
{
namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

// TCP_USER_TIMEOUT: the kernel closes the connection when sent data stays unacknowledged for this
// long, so that a peer that disappears without closing its connections is reported as unlinked.
constexpr int k_user_timeout_ms = 1500;
// Limit of the send queue of one connection. The connection to a peer that reads too slowly is
// closed and dialled again later.
constexpr std::size_t k_max_unsent_bytes = 4U << 20U;
// A read buffer that is larger than this is freed after its frame has been decoded.
constexpr std::size_t k_max_idle_buffer_bytes = 64U << 10U;
} // namespace

frame_connection::frame_connection(tcp::socket socket, frame_handler on_frame,
                                   close_handler on_close)
    : m_socket(std::move(socket)), m_on_frame(std::move(on_frame)), m_on_close(std::move(on_close))
{
  error_code ignored;
  m_socket.set_option(tcp::no_delay(true), ignored);
  m_socket.set_option(
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(k_user_timeout_ms),
      ignored);
}

void frame_connection::send(std::string bytes)
{
  if (m_closed)
    return;
  m_unsent_bytes += bytes.size();
  if (m_unsent.size() > 1 && m_unsent_bytes > k_max_unsent_bytes)
  {
    close("takes its messages too slowly");
    return;
  }
  m_unsent.push_back(std::move(bytes));
  if (m_unsent.size() == 1)
    write_next();
}

void frame_connection::close(const std::string& why)
{
  if (std::exchange(m_closed, true))
    return;
  error_code ignored;
  m_socket.close(ignored);
  m_on_close(shared_from_this(), why);
}

void frame_connection::read_length()
{
  asio::async_read(m_socket, asio::buffer(m_length),
                   [self = shared_from_this()](const error_code& error, std::size_t)
                   {
                     if (error)
                       self->close(error.message());
                     else
                       self->read_body();
                   });
}

void frame_connection::read_body()
{
  const std::optional<std::uint32_t> length = frame_length(m_length);
  if (!length)
  {
    close("bad frame: length out of bounds");
    return;
  }
  m_body.resize(k_length_bytes + *length);
  std::ranges::copy(m_length, m_body.begin());
  asio::async_read(m_socket, asio::buffer(m_body) + k_length_bytes,
                   [self = shared_from_this()](const error_code& error, std::size_t)
                   {
                     if (error)
                       self->close(error.message());
                     else
                       self->handle_frame();
                   });
}

void frame_connection::handle_frame()
{
  std::optional<frame> decoded_frame = decode(m_body);
  if (!decoded_frame)
  {
    close("bad frame: not a valid message");
    return;
  }
  if (m_body.capacity() > k_max_idle_buffer_bytes)
    std::vector<std::uint8_t>().swap(m_body);
  m_on_frame(shared_from_this(), std::move(*decoded_frame));
  if (!m_closed)
    read_length();
}

void frame_connection::write_next()
{
  asio::async_write(m_socket, asio::buffer(m_unsent.front()),
                    [self = shared_from_this()](const error_code& error, std::size_t)
                    {
                      if (error)
                      {
                        self->close(error.message());
                        return;
                      }
                      self->m_unsent_bytes -= self->m_unsent.front().size();
                      self->m_unsent.pop_front();
                      if (!self->m_unsent.empty())
                        self->write_next();
                    });
}
} // namespace yardhill::peer
