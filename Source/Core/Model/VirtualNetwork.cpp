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
// So much of an answer goes over a narrow link at a time; then others have their turn.
constexpr std::size_t k_packet_bytes = 1400;
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

void virtual_network::exchange::end(http::reply with)
{
  if (const http::reply_handler handler = std::exchange(done, nullptr))
    handler(std::move(with));
}

void virtual_network::end_unanswered(const std::shared_ptr<exchange>& what, duration left,
                                     bool unreachable)
{
  m_time.schedule(left,
                  [this, what, unreachable]
                  {
                    if (what->expects && what->latest_bytes)
                    {
                      const duration pause = m_time.now() - *what->latest_bytes;
                      if (pause < what->expects->longest_pause)
                      {
                        end_unanswered(what, what->expects->longest_pause - pause, unreachable);
                        return;
                      }
                    }
                    what->end({0, {}, "no answer in time", unreachable});
                  });
}

void virtual_network::carry(const std::string& instance, const std::shared_ptr<exchange>& what,
                            std::size_t bytes, duration way, const std::function<bool()>& broken)
{
  // Whoever gives a call up closes its connection, and no more of the answer is sent.
  if (broken() || !what->done)
    return;
  const std::size_t packet =
      troubles.links.contains(instance) ? std::min(bytes, k_packet_bytes) : bytes;
  const std::size_t rest = bytes - packet;
  m_time.schedule(way + transfer(instance, packet),
                  [this, instance, what, rest, broken]
                  {
                    what->latest_bytes = m_time.now();
                    if (what->done && what->expects && what->expects->coming)
                      what->expects->coming();
                    if (rest == 0)
                      what->end(std::move(what->reply));
                    else
                      carry(instance, what, rest, duration{0}, broken);
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
  const auto under_way = std::make_shared<exchange>();
  under_way->done = std::move(done);
  under_way->expects = call.expects;
  const bool unreachable = cut(from, target.name);
  end_unanswered(under_way, timeout, unreachable);
  if (unreachable)
    return;
  const bool to_store = target.name == "store";
  const bool late = !to_store && happens(troubles.delayed_worker_call_share);
  const bool lost = late || happens(to_store ? troubles.lost_store_reply_share
                                             : troubles.lost_worker_reply_share);
  const duration way =
      late ? duration(std::chrono::milliseconds(2000 + m_random() % 10000))
           : delay() + transfer(from, call.target.size() + call.body.size() + k_head_bytes);
  http::request carried = call;
  if (late)
    carried.headers.emplace_back(k_late_mark, "");
  m_time.schedule(way,
                  [this, from, to, call = std::move(carried), lost, under_way]
                  {
                    // Whoever is there by then.
                    const served& there = m_servers[{to.address, to.port}];
                    if (!there.answer)
                      return;
                    there.answer(from, call,
                                 [this, from, name = there.name, lost, under_way](http::reply reply)
                                 {
                                   if (!lost && !cut(from, name))
                                     send_back(from, name, under_way, std::move(reply));
                                 });
                  });
}

void virtual_network::send_back(const std::string& from, const std::string& answerer,
                                const std::shared_ptr<exchange>& what, http::reply reply)
{
  const std::size_t most = what->expects ? what->expects->most_bytes : 0;
  if (most > 0 && reply.body.size() > most)
  {
    reply.body.clear();
    reply.too_long = true;
  }
  const std::size_t bytes = reply.body.size() + k_head_bytes;
  what->reply = std::move(reply);
  carry(from, what, bytes, delay(), [this, from, answerer] { return cut(from, answerer); });
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
  m_process.sends();
  if (call.expects && call.expects->coming)
    call.expects->coming = [gate = m_process.gate(), coming = std::move(call.expects->coming)]
    { gate(coming); };
  // A dead process hears no answers; a frozen one hears them when it wakes.
  const auto answer = [gate = m_process.gate(), done = std::move(done)](http::reply reply)
  { gate([done, reply = std::move(reply)] { done(reply); }); };
  m_network.call(m_name, peer, call, timeout, answer);
}
} // namespace yardhill::model
