// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Carries calls between the instances and what serves them, and spoils them as it is told.

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
// Troubles in force; shares are between 0 and 1.
struct network_faults
{
  std::set<std::pair<std::string, std::string>> cuts; // pairs of names, either way
  // Bytes a second of an instance's link, both ways together; others have no bound.
  std::map<std::string, double> links;
  std::set<std::string> turned_away; // instances that the store answers so, doing nothing
  unsigned turned_away_status = 503;
  double lost_store_reply_share = 0.0;  // carried out, and the answer lost: calls to the store
  double lost_worker_reply_share = 0.0; // the same for calls to workers
  double delayed_worker_call_share =
      0.0; // no answer, and carried out 2 to 12 s later: calls to workers
};

// Marks a call that is carried out late, for what judges tell; no client sends it.
inline constexpr const char* k_late_mark = "X-Carried-Out-Late";

class virtual_network
{
public:
  using server =
      std::function<void(const std::string& from, const http::request&, http::reply_handler)>;

  virtual_network(virtual_time& time, std::uint64_t seed);

  // Who answers at that address, by a name that cuts refer to. An empty server: nobody.
  void serve(const common::endpoint& where, const std::string& name, server answer);
  void call(const std::string& from, const common::endpoint& to, const http::request& call,
            duration timeout, http::reply_handler done);
  // A message between two instances; lost while they are cut.
  void message(const std::string& from, const std::string& to, std::function<void()> deliver);
  bool cut(const std::string& one, const std::string& other) const;

  network_faults troubles;

private:
  struct served
  {
    std::string name;
    server answer;
  };

  // A call under way.
  struct exchange
  {
    http::reply_handler done; // empty once it has been called
    std::optional<http::long_answer> expects;
    http::reply reply;                      // on its way, once there is one
    std::optional<time_point> latest_bytes; // of the reply

    void end(http::reply with);
  };

  duration delay();
  bool happens(double share);
  // How long so many bytes take over the instance's link, behind what waits there already.
  duration transfer(const std::string& instance, std::size_t bytes);
  void send_back(const std::string& from, const std::string& answerer,
                 const std::shared_ptr<exchange>& what, http::reply reply);
  // Ends the call after `left` without an answer, or without more of the one that is coming.
  void end_unanswered(const std::shared_ptr<exchange>& what, duration left, bool unreachable);
  // Carries an answer over the instance's link, packet by packet, so that others come between,
  // until the call is given up or `broken` says that no more will come.
  void carry(const std::string& instance, const std::shared_ptr<exchange>& what, std::size_t bytes,
             duration way, const std::function<bool()>& broken);

  virtual_time& m_time;
  std::mt19937_64 m_random;
  std::map<std::pair<std::string, std::uint16_t>, served> m_servers;
  std::map<std::string, time_point> m_links_busy; // until when
};

// The network as one instance sees it.
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
