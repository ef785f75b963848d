// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Ownership/WorkerClaims.h"

#include <algorithm>
#include <utility>

namespace yardhill::ownership
{
worker_claims::worker_claims(partition_id partition, instance_id self,
                             const ownership_options& options)
    : m_partition(std::move(partition)), m_self(std::move(self)), m_options(options)
{
}

lost_worker worker_claims::lost_at(const worker_id& worker, time_point last_claimed) const
{
  return {worker, last_claimed + m_options.longest_own_run()};
}

std::vector<lost_worker> worker_claims::configure(const std::vector<worker_id>& workers,
                                                  time_point now)
{
  std::vector<lost_worker> lost;
  std::erase_if(m_links,
                [&](const auto& entry)
                {
                  const auto& [worker, link] = entry;
                  if (std::ranges::find(workers, worker) != workers.end())
                    return false;
                  if (link.claimed && !link.lost)
                    lost.push_back(lost_at(worker, std::max(now, link.answered_at)));
                  return true;
                });
  for (const worker_id& worker : workers)
    m_links.try_emplace(worker);
  return lost;
}

void worker_claims::begin_term()
{
  for (auto& [worker, link] : m_links)
  {
    const bool outstanding = link.outstanding;
    link = worker_link{};
    link.outstanding = outstanding; // a call in flight; the claim follows when the call has ended
  }
}

std::vector<worker_claim> worker_claims::probes()
{
  claim_request request;
  request.partition = m_partition;
  request.owner = m_self;
  std::vector<worker_claim> probes;
  for (auto& [worker, link] : m_links)
  {
    if (std::exchange(link.outstanding, true))
      continue;
    probes.push_back({worker, request});
  }
  return probes;
}

std::vector<worker_claim> worker_claims::due_claims(term_number term, time_point now)
{
  std::vector<worker_claim> claims;
  for (auto& [worker, link] : m_links)
  {
    if (!link.outstanding && now >= link.next_claim)
      claims.push_back(make_claim(worker, link, term, now));
  }
  return claims;
}

worker_claim worker_claims::immediate_claim(const worker_id& worker, term_number term,
                                            time_point now)
{
  return make_claim(worker, m_links.at(worker), term, now);
}

worker_claim worker_claims::make_claim(const worker_id& worker, worker_link& link, term_number term,
                                       time_point now)
{
  link.outstanding = true;
  link.next_claim = now;
  claim_request request;
  request.partition = m_partition;
  request.term = term;
  request.owner = m_self;
  request.acknowledged = link.acknowledged_sequence;
  request.acknowledged_boot = link.boot;
  request.ticket = link.ticket;
  request.void_tickets = std::exchange(link.void_tickets_next, false);
  request.wait = link.claimed && !request.void_tickets ? m_options.claim_wait : duration{0};
  return {worker, request};
}

bool worker_claims::call_ended(const worker_id& worker)
{
  const auto found = m_links.find(worker);
  if (found == m_links.end())
    return false;
  found->second.outstanding = false;
  return true;
}

void worker_claims::confirmed(const worker_id& worker, const claim_answer& reply,
                              time_point sent_at, time_point now)
{
  worker_link& link = m_links.at(worker);
  link.claimed = true;
  link.lost = false;
  link.confirmed_sent_at = sent_at;
  link.answered_at = now;
  link.boot = reply.boot;
  link.ticket = reply.ticket;
  link.next_claim = now;
}

void worker_claims::failed(const worker_id& worker, const claim_request& request, time_point now)
{
  worker_link& link = m_links.at(worker);
  link.next_claim = now + m_options.claim_retry;
  // The claim may not have arrived, and the starts that it was to void are still unclear.
  link.void_tickets_next = link.void_tickets_next || request.void_tickets;
}

std::optional<lost_worker> worker_claims::mark_lost(const worker_id& worker)
{
  worker_link& link = m_links.at(worker);
  if (link.lost || !link.claimed)
    return std::nullopt;
  link.lost = true;
  return lost_at(worker, link.answered_at);
}

void worker_claims::void_tickets(const worker_id& worker)
{
  const auto found = m_links.find(worker);
  if (found != m_links.end())
    found->second.void_tickets_next = true;
}

void worker_claims::set_acknowledged(const worker_id& worker, std::uint64_t sequence)
{
  const auto found = m_links.find(worker);
  if (found != m_links.end())
    found->second.acknowledged_sequence = sequence;
}

std::size_t worker_claims::claimed() const
{
  return static_cast<std::size_t>(
      std::ranges::count_if(m_links, [](const auto& entry) { return entry.second.claimed; }));
}

std::size_t worker_claims::confirmed_since(time_point earliest) const
{
  return static_cast<std::size_t>(std::ranges::count_if(
      m_links, [earliest](const auto& entry)
      { return entry.second.claimed && entry.second.confirmed_sent_at >= earliest; }));
}

std::optional<start_permit> worker_claims::permit_for(const worker_id& worker, time_point now) const
{
  const auto found = m_links.find(worker);
  if (found == m_links.end())
    return std::nullopt;
  const worker_link& link = found->second;
  if (!link.claimed || link.lost || now - link.answered_at > m_options.ticket_life)
    return std::nullopt;
  return start_permit{link.boot, link.ticket};
}

time_point worker_claims::next_due() const
{
  time_point next = k_never;
  for (const auto& [worker, link] : m_links)
  {
    if (!link.outstanding)
      next = std::min(next, link.next_claim);
  }
  return next;
}
} // namespace yardhill::ownership
