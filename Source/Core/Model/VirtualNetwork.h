// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Carries calls between the instances and the servers that they use, and applies injected faults to
// them.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

#include "Http/RequestSender.h"
#include "Model/VirtualTime.h"

namespace yardhill::model
{
// Faults in force; shares are between 0 and 1.
struct network_faults
{
  std::set<std::pair<std::string, std::string>> cuts; // pairs of names that can't reach each other
  // Bandwidth in bytes per second of an instance's link, both directions together; links that are
  // not listed are unlimited.
  std::map<std::string, double> links;
  std::set<std::string> turned_away; // instances whose calls the store rejects
  unsigned turned_away_status = 503;
  double lost_store_reply_share = 0.0;    // store calls that are executed and whose reply is lost
  double lost_worker_reply_share = 0.0;   // the same for worker calls
  double delayed_worker_call_share = 0.0; // worker calls without a reply, executed 2 to 12 s late
};

// Header that marks a call as executed late, for the judges' reports; no client sends it.
inline constexpr const char* k_delayed_call_header = "X-Carried-Out-Late";

class virtual_network
{
public:
  using server =
      std::function<void(const std::string& from, const http::request&, http::reply_handler)>;

  virtual_network(virtual_time& time, std::uint64_t seed);

  // Registers the server at that address, under a name that cuts refer to. An empty server removes
  // it.
  void serve(const common::endpoint& where, const std::string& name, server answer);
  void call(const std::string& from, const common::endpoint& to, const http::request& call,
            duration timeout, http::reply_handler done);
  // Delivers a message between two instances; it is lost while the link between them is cut.
  void message(const std::string& from, const std::string& to, std::function<void()> deliver);
  bool cut(const std::string& one, const std::string& other) const;

  network_faults troubles;

private:
  struct served
  {
    std::string name;
    server answer;
  };

  // A call in flight.
  struct exchange
  {
    http::reply_handler done; // empty once it has been called
    std::optional<http::long_reply> expects;
    http::reply reply;                       // the reply in flight, once there is one
    std::optional<time_point> last_bytes_at; // when bytes of the reply last arrived

    void end(http::reply with);
  };

  duration delay();
  bool draw_chance(double share);
  // Time until that many bytes have passed the instance's link, including the wait behind earlier
  // transfers.
  duration transfer(const std::string& instance, std::size_t bytes);
  void send_back(const std::string& from, const std::string& answerer,
                 const std::shared_ptr<exchange>& pending, http::reply reply);
  // Ends the call unless its reply arrives within `left`; while a long answer is arriving, unless
  // more of it arrives within its longest pause.
  void end_unanswered(const std::shared_ptr<exchange>& pending, duration left, bool unreachable);
  // Sends an answer over the instance's link packet by packet, so that packets of other answers can
  // be sent in between, until the call has ended or `broken` returns true.
  void send_packets(const std::string& instance, const std::shared_ptr<exchange>& pending,
                    std::size_t bytes, duration way, const std::function<bool()>& broken);

  virtual_time& m_time;
  std::mt19937_64 m_random;
  std::map<std::pair<std::string, std::uint16_t>, served> m_servers;
  std::map<std::string, time_point> m_links_busy_until;
};

// The network as seen by one instance.
class network_sender : public http::peer_sender
{
public:
  network_sender(virtual_network& network, process_time& process, std::string name)
      : m_network(network), m_process(process), m_name(std::move(name))
  {
  }

  void send(const common::endpoint& peer, http::request call, duration timeout,
            http::reply_handler done) override;

private:
  virtual_network& m_network;
  process_time& m_process;
  std::string m_name;
};
} // namespace yardhill::model
