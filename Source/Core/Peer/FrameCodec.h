// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Encodes and decodes peer messages as frames. A frame is a FlatBuffer preceded by its length in
// four bytes, little-endian.

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
// Upper bound of the announced length. It admits a configuration or an answer of a few megabytes;
// a larger frame is treated as an error.
inline constexpr std::uint32_t k_most_frame_bytes = 16U << 20U;

// Handshake: the first frame in each direction of a connection.
struct hello
{
  std::uint32_t protocol = k_protocol_version;
  instance_id instance;
  zone_id zone;
  std::string address;
  std::uint16_t port = 0;
};

// Returns the whole frame, including the length prefix.
std::string encode(const hello& message);
std::string encode(const peer_message& message);

// Returns the length announced by the length prefix of a frame, without the prefix itself, or
// nullopt if the length is 0 or above the upper bound.
std::optional<std::uint32_t> frame_length(std::span<const std::uint8_t, k_length_bytes> bytes);

using frame = std::variant<hello, peer_message>;
// Decodes a whole frame, including the length prefix. Returns nullopt if the frame is not valid.
std::optional<frame> decode(std::span<const std::uint8_t> bytes);
} // namespace yardhill::peer
