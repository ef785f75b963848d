// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Peer messages as frames: a FlatBuffer behind its length in four bytes, least significant first.

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>

#include "Common/PeerMessages.h"

namespace yardhill::peer
{
using namespace common;

inline constexpr std::uint32_t k_protocol_version = 1;
inline constexpr std::size_t k_length_bytes = 4;
// A configuration or an answer of a few megabytes fits; anything larger is an error.
inline constexpr std::uint32_t k_most_frame_bytes = 16U << 20U;

// The first frame in each direction of a connection.
struct hello
{
  std::uint32_t protocol = k_protocol_version;
  instance_id instance;
  zone_id zone;
  std::string address;
  std::uint16_t port = 0;
};

// The whole frame, length included.
std::string encode(const hello& message);
std::string encode(const peer_message& message);

// The length that a frame's first bytes announce; none when it is out of bounds.
std::optional<std::uint32_t> frame_length(std::span<const std::uint8_t, k_length_bytes> bytes);

using frame = std::variant<hello, peer_message>;
// A whole frame, length included. None when it is not a valid one.
std::optional<frame> decode(std::span<const std::uint8_t> bytes);
} // namespace yardhill::peer
