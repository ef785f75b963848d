// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Peer/PeerMesh.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <set>
#include <thread>
#include <utility>

#include <boost/asio.hpp>

#include "Peer/FrameConnection.h"

namespace yardhill::peer
{
namespace
{
namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

constexpr std::chrono::milliseconds k_first_redial_delay{100};
constexpr std::chrono::milliseconds k_max_redial_delay{1000};
// A machine that is switched off or unreachable never answers a connection attempt. A link within a
// region takes 3 ms.
constexpr std::chrono::milliseconds k_connect_timeout{1000};
} // namespace

class peer_mesh::implementation
{
public:
  implementation(hello self, mesh_events events, metrics& counts)
      : m_self(std::move(self)),
        m_events(std::move(events)),
        m_metrics(counts),
        m_acceptor(m_context, tcp::endpoint(asio::ip::make_address(m_self.address), m_self.port))
  {
    accept_next();
    m_thread = std::thread([this] { m_context.run(); });
  }

  ~implementation()
  {
    m_context.stop();
    m_thread.join();
  }

  void dial(const endpoint& where)
  {
    asio::post(m_context, [this, where] { start_dialling(where); });
  }

  void send(const instance_id& to, std::string bytes)
  {
    asio::post(m_context,
               [this, to, bytes = std::move(bytes)]() mutable
               {
                 const auto found = m_outgoing.find(to);
                 if (found == m_outgoing.end())
                   return;
                 m_metrics.add(counter::peer_messages);
                 m_metrics.add(counter::peer_bytes, bytes.size());
                 found->second->send(std::move(bytes));
               });
  }

  void close(duration timeout)
  {
    const auto until = std::chrono::steady_clock::now() + timeout;
    std::atomic<bool> all_drained = false;
    while (!all_drained && std::chrono::steady_clock::now() < until)
    {
      asio::post(m_context,
                 [this, &all_drained]
                 {
                   bool all = true;
                   for (const auto& [peer, link] : m_outgoing)
                     all = all && link->drained();
                   all_drained = all;
                 });
      std::this_thread::sleep_for(std::chrono::milliseconds{5});
    }
    m_context.stop();
  }

private:
  struct dialled_peer
  {
    endpoint where;
    std::unique_ptr<asio::steady_timer> timer;
    std::chrono::milliseconds delay = k_first_redial_delay;
  };

  struct incoming_link
  {
    frame_connection::pointer link;
    zone_id zone;
  };

  void accept_next()
  {
    m_acceptor.async_accept(
        [this](const error_code& error, tcp::socket socket)
        {
          if (!error)
            handle_accepted(std::move(socket));
          accept_next();
        });
  }

  void handle_accepted(tcp::socket socket)
  {
    const auto link = std::make_shared<frame_connection>(
        std::move(socket),
        [this](const auto& from, frame received)
        { handle_incoming_frame(from, std::move(received)); },
        [this](const auto& from, const std::string& why) { handle_incoming_closed(from, why); });
    link->start();
  }

  void handle_incoming_frame(const frame_connection::pointer& link, frame received)
  {
    if (const auto* greeting = std::get_if<hello>(&received))
    {
      if (greeting->protocol != k_protocol_version)
      {
        link->close("bad hello: speaks protocol " + std::to_string(greeting->protocol));
        return;
      }
      link->peer = greeting->instance;
      m_incoming[link->peer] = {link, greeting->zone};
      link->send(encode(m_self));
      start_dialling({greeting->address, greeting->port});
      report_link_change(link->peer);
      return;
    }
    if (link->peer.empty())
    {
      link->close("bad hello: sent something else first");
      return;
    }
    m_events.received(link->peer, std::move(std::get<peer_message>(received)));
  }

  void handle_incoming_closed(const frame_connection::pointer& link, const std::string& why)
  {
    report_close(link->peer, why);
    const auto found = m_incoming.find(link->peer);
    if (found == m_incoming.end() || found->second.link != link)
      return;
    m_incoming.erase(found);
    report_link_change(link->peer);
  }

  // Calls `linked` or `unlinked` if the peer has gained its second open connection or lost one.
  void report_link_change(const instance_id& peer)
  {
    const auto incoming = m_incoming.find(peer);
    const bool both = incoming != m_incoming.end() && m_outgoing.contains(peer);
    if (both && m_linked.insert(peer).second)
      m_events.linked(peer, incoming->second.zone);
    else if (!both && m_linked.erase(peer) > 0)
      m_events.unlinked(peer);
  }

  void start_dialling(const endpoint& where)
  {
    if (where == endpoint{m_self.address, m_self.port})
      return;
    const auto [entry, added] = m_dialled_peers.try_emplace(to_text(where));
    if (!added)
      return;
    entry->second.where = where;
    entry->second.timer = std::make_unique<asio::steady_timer>(m_context);
    connect(entry->second);
  }

  void connect(dialled_peer& dialled)
  {
    error_code error;
    const auto address = asio::ip::make_address(dialled.where.address, error);
    if (error)
      return;
    const auto socket = std::make_shared<tcp::socket>(m_context);
    dialled.timer->expires_after(k_connect_timeout);
    dialled.timer->async_wait(
        [socket](const error_code& ended)
        {
          error_code ignored;
          if (!ended)
            socket->close(ignored);
        });
    socket->async_connect(tcp::endpoint(address, dialled.where.port),
                          [this, &dialled, socket](const error_code& failed)
                          {
                            dialled.timer->cancel();
                            if (failed)
                              redial(dialled);
                            else
                              handle_connected(dialled, std::move(*socket));
                          });
  }

  void handle_connected(dialled_peer& dialled, tcp::socket socket)
  {
    const auto link = std::make_shared<frame_connection>(
        std::move(socket),
        [this, &dialled](const auto& from, frame received)
        { handle_outgoing_frame(dialled, from, received); },
        [this, &dialled](const auto& from, const std::string& why)
        { handle_outgoing_closed(dialled, from, why); });
    link->start();
    link->send(encode(m_self));
  }

  // On a connection that it accepted, a peer sends nothing but its hello.
  void handle_outgoing_frame(dialled_peer& dialled, const frame_connection::pointer& link,
                             const frame& received)
  {
    const auto* greeting = std::get_if<hello>(&received);
    if (greeting == nullptr || greeting->protocol != k_protocol_version || !link->peer.empty())
    {
      link->close("bad hello");
      return;
    }
    dialled.delay = k_first_redial_delay;
    link->peer = greeting->instance;
    m_outgoing[link->peer] = link;
    report_link_change(link->peer);
  }

  void handle_outgoing_closed(dialled_peer& dialled, const frame_connection::pointer& link,
                              const std::string& why)
  {
    report_close(link->peer, why);
    const auto found = m_outgoing.find(link->peer);
    if (found != m_outgoing.end() && found->second == link)
    {
      m_outgoing.erase(found);
      report_link_change(link->peer);
    }
    redial(dialled);
  }

  void redial(dialled_peer& dialled)
  {
    dialled.timer->expires_after(dialled.delay);
    dialled.delay = std::min(dialled.delay * 2, k_max_redial_delay);
    dialled.timer->async_wait(
        [this, &dialled](const error_code& error)
        {
          if (!error)
            connect(dialled);
        });
  }

  void report_close(const instance_id& peer, const std::string& why)
  {
    if (why.rfind("bad ", 0) == 0)
      m_metrics.add(counter::bad_frames);
    m_events.complained(peer.value, why);
  }

  hello m_self;
  mesh_events m_events;
  metrics& m_metrics;
  asio::io_context m_context;
  tcp::acceptor m_acceptor;
  std::map<std::string, dialled_peer> m_dialled_peers;
  std::map<instance_id, frame_connection::pointer> m_outgoing;
  std::map<instance_id, incoming_link> m_incoming;
  std::set<instance_id> m_linked; // peers last reported as linked
  std::thread m_thread;
};

peer_mesh::peer_mesh(const hello& self, mesh_events events, metrics& counts)
    : m_implementation(std::make_unique<implementation>(self, std::move(events), counts))
{
}

peer_mesh::~peer_mesh() = default;

void peer_mesh::dial(const endpoint& where)
{
  m_implementation->dial(where);
}

void peer_mesh::send(const instance_id& to, const peer_message& message)
{
  m_implementation->send(to, encode(message));
}

void peer_mesh::close(duration timeout)
{
  m_implementation->close(timeout);
}
} // namespace yardhill::peer
