// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// One TCP connection to a peer: reads and writes frames, and reports its closing exactly once.

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
  // Queues the bytes of a whole frame. Closes the connection if the peer reads too slowly, that is,
  // if at least two frames are queued already and more than 4 MiB would be queued with this one.
  void send(std::string bytes);
  void close(const std::string& why);

  // Returns whether the send queue is empty.
  bool drained() const { return m_unsent.empty(); }

  instance_id peer; // empty until the hello of the peer has been received

private:
  void read_length();
  void read_body();
  void handle_frame();
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
