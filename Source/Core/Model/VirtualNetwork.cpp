// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Model/VirtualNetwork.h"

#include <memory>
#include <utility>

namespace yardhill::model
{
namespace
{
// Size of a call or an answer in addition to its body: its headers and those of its packets.
constexpr std::size_t k_head_bytes = 200;
// A limited link carries this much of an answer at a time, then packets of other answers.
constexpr std::size_t k_packet_bytes = 1400;
} // namespace

virtual_network::virtual_network(virtual_time& time, std::uint64_t seed)
    : m_time(time), m_random(seed)
{
}

duration virtual_network::delay()
{
  // One-way delay of 0.2 to 3 ms.
  return std::chrono::microseconds(200 + m_random() % 2800);
}

duration virtual_network::transfer(const std::string& instance, std::size_t bytes)
{
  const auto link = troubles.links.find(instance);
  if (link == troubles.links.end())
    return duration{0};
  time_point& busy = m_links_busy_until[instance];
  const std::chrono::duration<double> takes(static_cast<double>(bytes) / link->second);
  busy = std::max(busy, m_time.now()) + std::chrono::duration_cast<duration>(takes);
  return busy - m_time.now();
}

void virtual_network::exchange::end(http::reply with)
{
  if (const http::reply_handler handler = std::exchange(done, nullptr))
    handler(std::move(with));
}

void virtual_network::end_unanswered(const std::shared_ptr<exchange>& pending, duration left,
                                     bool unreachable)
{
  m_time.schedule(left,
                  [this, pending, unreachable]
                  {
                    if (pending->expects && pending->last_bytes_at)
                    {
                      const duration pause = m_time.now() - *pending->last_bytes_at;
                      if (pause < pending->expects->max_pause)
                      {
                        end_unanswered(pending, pending->expects->max_pause - pause, unreachable);
                        return;
                      }
                    }
                    pending->end({0, {}, "no answer in time", unreachable});
                  });
}

void virtual_network::send_packets(const std::string& instance,
                                   const std::shared_ptr<exchange>& pending, std::size_t bytes,
                                   duration way, const std::function<bool()>& broken)
{
  // A sender that gives a call up closes its connection, so no more of the answer is sent.
  if (broken() || !pending->done)
    return;
  const std::size_t packet =
      troubles.links.contains(instance) ? std::min(bytes, k_packet_bytes) : bytes;
  const std::size_t rest = bytes - packet;
  m_time.schedule(way + transfer(instance, packet),
                  [this, instance, pending, rest, broken]
                  {
                    pending->last_bytes_at = m_time.now();
                    if (pending->done && pending->expects && pending->expects->coming)
                      pending->expects->coming();
                    if (rest == 0)
                      pending->end(std::move(pending->reply));
                    else
                      send_packets(instance, pending, rest, duration{0}, broken);
                  });
}

bool virtual_network::draw_chance(double share)
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
  const auto pending_call = std::make_shared<exchange>();
  pending_call->done = std::move(done);
  pending_call->expects = call.expects;
  const bool unreachable = cut(from, target.name);
  end_unanswered(pending_call, timeout, unreachable);
  if (unreachable)
    return;
  const bool to_store = target.name == "store";
  const bool late = !to_store && draw_chance(troubles.delayed_worker_call_share);
  const bool lost = late || draw_chance(to_store ? troubles.lost_store_reply_share
                                                 : troubles.lost_worker_reply_share);
  const duration way =
      late ? duration(std::chrono::milliseconds(2000 + m_random() % 10000))
           : delay() + transfer(from, call.target.size() + call.body.size() + k_head_bytes);
  http::request carried = call;
  if (late)
    carried.headers.emplace_back(k_delayed_call_header, "");
  m_time.schedule(way,
                  [this, from, to, call = std::move(carried), lost, pending_call]
                  {
                    // The server at the address may have changed while the call was in flight.
                    const served& there = m_servers[{to.address, to.port}];
                    if (!there.answer)
                      return;
                    there.answer(
                        from, call,
                        [this, from, name = there.name, lost, pending_call](http::reply reply)
                        {
                          if (!lost && !cut(from, name))
                            send_back(from, name, pending_call, std::move(reply));
                        });
                  });
}

void virtual_network::send_back(const std::string& from, const std::string& answerer,
                                const std::shared_ptr<exchange>& pending, http::reply reply)
{
  const std::size_t most = pending->expects ? pending->expects->most_bytes : 0;
  if (most > 0 && reply.body.size() > most)
  {
    reply.body.clear();
    reply.too_long = true;
  }
  const std::size_t bytes = reply.body.size() + k_head_bytes;
  pending->reply = std::move(reply);
  send_packets(from, pending, bytes, delay(),
               [this, from, answerer] { return cut(from, answerer); });
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
  // A dead process receives no answers; a frozen one receives them when it resumes.
  const auto answer = [gate = m_process.gate(), done = std::move(done)](http::reply reply)
  { gate([done, reply = std::move(reply)] { done(reply); }); };
  m_network.call(m_name, peer, call, timeout, answer);
}
} // namespace yardhill::model
