// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The TCP connections between this instance and its peers.
//
// Each instance dials the peers that it knows and sends messages only on the connections that it
// dialled. On an accepted connection it sends only its hello and then receives. A peer counts as
// linked while both connections are open. As soon as one of them closes, the peer is reported as
// unlinked, since messages in flight may be lost.

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "Common/InstanceSettings.h"
#include "Common/Metrics.h"
#include "Common/PeerMessages.h"
#include "Peer/FrameCodec.h"

namespace yardhill::peer
{
// Callbacks of the mesh. They are always called from the thread of the mesh.
struct mesh_events
{
  std::function<void(const instance_id&, const zone_id&)> linked;
  std::function<void(const instance_id&)> unlinked;
  std::function<void(const instance_id&, peer_message)> received;
  // A connection was closed; an operator should see the reason `why`. `peer` is empty if its hello
  // had not been received.
  std::function<void(const std::string& peer, const std::string& why)> complained;
};

class peer_mesh
{
public:
  // Listens on the address of `self` and starts the thread of the mesh. Throws
  // boost::system::system_error if it cannot listen on that address.
  peer_mesh(const hello& self, mesh_events events, metrics& counts);
  ~peer_mesh();
  peer_mesh(const peer_mesh&) = delete;
  peer_mesh& operator=(const peer_mesh&) = delete;

  // Connects to this address and reconnects whenever the connection closes.
  void dial(const endpoint& where);
  // Drops the message without an error if there is no outgoing connection to the peer.
  void send(const instance_id& to, const peer_message& message);
  // Stops the mesh once all send queues are empty or `timeout` has passed. Blocks until then.
  void close(duration timeout);

private:
  class implementation;
  std::unique_ptr<implementation> m_implementation;
};
} // namespace yardhill::peer
