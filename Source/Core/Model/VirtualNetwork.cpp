// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Model/VirtualNetwork.h"

#include <memory>
#include <utility>

namespace yardhill::model
{
namespace
{
// Of a call or an answer: headers, and those of its packets.
constexpr std::size_t k_head_bytes = 200;
// So much of an answer is under way at a time; then others have their turn.
constexpr std::size_t k_window_bytes = 8192;
} // namespace

virtual_network::virtual_network(virtual_time& time, std::uint64_t seed)
    : m_time(time), m_random(seed)
{
}

duration virtual_network::delay()
{
  // 0.2 to 3 ms one way.
  return std::chrono::microseconds(200 + m_random() % 2800);
}

duration virtual_network::transfer(const std::string& instance, std::size_t bytes)
{
  const auto link = troubles.links.find(instance);
  if (link == troubles.links.end())
    return duration{0};
  time_point& busy = m_links_busy[instance];
  const std::chrono::duration<double> takes(static_cast<double>(bytes) / link->second);
  busy = std::max(busy, m_time.now()) + std::chrono::duration_cast<duration>(takes);
  return busy - m_time.now();
}

void virtual_network::carry(const std::string& instance, std::size_t bytes, duration way,
                            std::function<bool()> broken, std::function<void()> arrived)
{
  if (broken())
    return;
  const bool narrow = troubles.links.contains(instance);
  const std::size_t now = narrow ? std::min(bytes, k_window_bytes) : bytes;
  const std::size_t rest = bytes - now;
  m_time.schedule(way + transfer(instance, now),
                  [this, instance, rest, broken = std::move(broken), arrived = std::move(arrived)]
                  {
                    if (rest == 0)
                      arrived();
                    else
                      carry(instance, rest, duration{0}, broken, arrived);
                  });
}

bool virtual_network::happens(double share)
{
  return std::uniform_real_distribution<double>(0.0, 1.0)(m_random) < share;
}

void virtual_network::serve(const common::endpoint& where, const std::string& name, server answer)
{
  m_servers[{where.address, where.port}] = {name, std::move(answer)};
}

bool virtual_network::cut(const std::string& one, const std::string& other) const
{
  return troubles.cuts.contains({one, other}) || troubles.cuts.contains({other, one});
}

void virtual_network::call(const std::string& from, const common::endpoint& to,
                           const http::request& call, duration timeout, http::reply_handler done)
{
  const auto found = m_servers.find({to.address, to.port});
  if (found == m_servers.end() || !found->second.answer)
  {
    m_time.schedule(delay(),
                    [done = std::move(done)] {
                      done({0, {}, "connection refused", true});
                    });
    return;
  }
  const served& target = found->second;
  const auto under_way = std::make_shared<exchange>(exchange{std::move(done)});
  // Called back once: by the answer or by the time-out, whichever comes first.
  const auto answer = [under_way](http::reply reply)
  {
    if (const http::reply_handler handler = std::exchange(under_way->done, nullptr))
      handler(std::move(reply));
  };
  const bool unreachable = cut(from, target.name);
  m_time.schedule(timeout,
                  [answer, unreachable] {
                    answer({0, {}, "no answer in time", unreachable});
                  });
  if (unreachable)
    return;
  const bool to_store = target.name == "store";
  const bool late = !to_store && happens(troubles.orders_late);
  const bool lost = late || happens(to_store ? troubles.answers_lost : troubles.orders_lost);
  const duration way =
      late ? duration(std::chrono::milliseconds(2000 + m_random() % 10000))
           : delay() + transfer(from, call.target.size() + call.body.size() + k_head_bytes);
  const auto send_back =
      [this, from, answer, under_way, lost](const std::string& name, http::reply reply)
  {
    // Whoever gives a call up closes its connection, and no more of the answer is sent.
    const auto broken = [this, from, name, under_way, lost]
    { return lost || cut(from, name) || !under_way->done; };
    if (broken())
      return;
    const std::size_t bytes = reply.body.size() + k_head_bytes;
    carry(from, bytes, delay(), broken, [answer, reply = std::move(reply)] { answer(reply); });
  };
  m_time.schedule(way,
                  [this, from, to, call, send_back]
                  {
                    // Whoever is there by then.
                    const served& there = m_servers[{to.address, to.port}];
                    if (!there.answer)
                      return;
                    there.answer(from, call,
                                 [send_back, name = there.name](http::reply reply)
                                 { send_back(name, std::move(reply)); });
                  });
}

void virtual_network::message(const std::string& from, const std::string& to,
                              std::function<void()> deliver)
{
  if (!cut(from, to))
    m_time.schedule(delay(), std::move(deliver));
}

void network_sender::send(const common::endpoint& peer, http::request call, duration timeout,
                          http::reply_handler done)
{
  // A dead process hears no answers; a frozen one hears them when it wakes.
  const auto answer = [gate = m_process.gate(), done = std::move(done)](http::reply reply)
  { gate([done, reply = std::move(reply)] { done(reply); }); };
  m_network.call(m_name, peer, call, timeout, answer);
}
} // namespace yardhill::model
