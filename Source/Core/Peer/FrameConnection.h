// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// One TCP connection to a peer: reads frames, writes frames, closes once.

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "Peer/FrameCodec.h"

namespace yardhill::peer
{
class frame_connection : public std::enable_shared_from_this<frame_connection>
{
public:
  using pointer = std::shared_ptr<frame_connection>;
  using frame_handler = std::function<void(const pointer&, frame)>;
  using close_handler = std::function<void(const pointer&, const std::string& why)>;

  frame_connection(boost::asio::ip::tcp::socket socket, frame_handler on_frame,
                   close_handler on_close);

  void start() { read_length(); }
  // Bytes of a whole frame. Closes the connection if the peer takes its frames too slowly.
  void send(std::string bytes);
  void close(const std::string& why);

  // Nothing waits to be sent.
  bool drained() const { return m_unsent.empty(); }

  instance_id peer; // known after its hello

private:
  void read_length();
  void read_body();
  void take_frame();
  void write_next();

  boost::asio::ip::tcp::socket m_socket;
  frame_handler m_on_frame;
  close_handler m_on_close;
  std::array<std::uint8_t, k_length_bytes> m_length{};
  std::vector<std::uint8_t> m_body;
  std::deque<std::string> m_unsent;
  std::size_t m_unsent_bytes = 0;
  bool m_closed = false;
};
} // namespace yardhill::peer
