// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/OwnerWatch.h"

#include <algorithm>
#include <utility>

#include "Common/EventLog.h"

namespace yardhill::node
{
namespace
{
// How many renewals of an owner may come sooner than a period after the preceding one: the first
// renewal, the one that first reports complete counts, and the one that releases the partition.
constexpr std::uint64_t k_unspaced_renewals = 3;
} // namespace

owner_watch::owner_watch(const common::timekeeper& time, const store_clock& clock,
                         instance_identity self, std::string partition,
                         const ownership_options& options)
    : m_time(time),
      m_clock(clock),
      m_self(std::move(self)),
      m_partition(std::move(partition)),
      m_options(options),
      m_watching_since(time.now())
{
}

std::optional<owner_row> owner_watch::update(const adapter::row& row)
{
  if (row.version < m_observed.version)
    return std::nullopt;
  const auto parsed = owner_row_from(row.value);
  if (!parsed)
  {
    common::log_process("row_damaged", {{"table", k_owners_table},
                                        {"partition", m_partition},
                                        {"error", common::to_text(parsed.error())}});
    return std::nullopt;
  }
  const bool other_owner =
      parsed->life != m_observed.row.life || parsed->holder != m_observed.row.holder;
  set_observed(*parsed, row.version);
  if (other_owner)
    common::log_process("owner_seen", {{"partition", m_partition},
                                       {"holder", parsed->holder},
                                       {"epoch", parsed->epoch},
                                       {"version", row.version}});
  return *parsed;
}

void owner_watch::row_written(const owner_row& row, adapter::row_version version)
{
  m_unanswered_takeover.reset();
  set_observed(row, version);
}

void owner_watch::set_observed(const owner_row& row, adapter::row_version version)
{
  if (!row.holder.empty() || row.life != m_observed.row.life)
    m_instance = row.holder;
  m_observed = {row, version, m_time.now()};
}

void owner_watch::peer_link_changed(const std::string& peer, bool linked)
{
  if (linked)
    m_unlinked.erase(peer);
  else
    m_unlinked.insert(peer);
}

bool owner_watch::is_unanswered_takeover(const owner_row& row) const
{
  return m_unanswered_takeover && row.life == m_self.incarnation && row.holder == m_self.name &&
         row.epoch == m_unanswered_takeover->epoch && row.renewal == 0;
}

// That process has ended, so it sends no more requests.
bool owner_watch::owned_by_previous_process() const
{
  return m_observed.row.holder == m_self.name && m_observed.row.life != m_self.incarnation;
}

bool owner_watch::takeover_due(common::time_point now, common::time_point feed_healthy_since,
                               bool stronger_peer) const
{
  if (now < m_no_takeover_before)
    return false;
  const common::time_point last_sign =
      std::max({m_observed.changed_at, feed_healthy_since, m_watching_since});
  const common::duration stronger_peer_delay =
      stronger_peer ? m_options.stronger_peer_takeover_delay : common::duration{0};
  if (m_observed.version == 0 || m_observed.row.holder.empty() || owned_by_previous_process())
    return now - last_sign >= stronger_peer_delay;
  const common::duration silence_timeout = m_unlinked.contains(m_observed.row.holder)
                                               ? m_options.silence_timeout_unlinked
                                               : m_options.silence;
  return now - last_sign > silence_timeout + stronger_peer_delay;
}

common::time_point owner_watch::requests_end() const
{
  // The owners before that process may still send requests.
  if (owned_by_previous_process())
    return std::max(m_observed.changed_at, predecessors_requests_end());
  // An owner sends no requests before its first renewal, and cannot renew once it is replaced.
  if (const auto reported = reported_predecessors_end(); reported && m_observed.row.renewal == 0)
    return *reported;
  return m_options.requests_end(m_observed.changed_at);
}

std::optional<common::time_point> owner_watch::reported_predecessors_end() const
{
  if (!m_observed.row.previous_requests_end)
    return std::nullopt;
  return m_clock.latest_local_time(*m_observed.row.previous_requests_end);
}

// The earlier of two times: the end that the owner has reported in its row, if it has, and an
// estimate from its renewals. The owners before it renewed nothing after its takeover, and that
// happened at least as long ago as its renewals took: all but k_unspaced_renewals of them are a
// period apart.
common::time_point owner_watch::predecessors_requests_end() const
{
  if (m_observed.row.epoch <= 1)
    return {};
  const std::uint64_t spaced_renewals =
      m_observed.row.renewal - std::min(m_observed.row.renewal, k_unspaced_renewals);
  const common::time_point estimated =
      m_options.requests_end(m_observed.changed_at) -
      static_cast<common::duration::rep>(spaced_renewals) * m_options.renew_period;
  return std::min(estimated, reported_predecessors_end().value_or(estimated));
}
} // namespace yardhill::node
