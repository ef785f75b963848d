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
// An owner's renewals that may come sooner than a period after the one before: the first one, the
// one that first tells complete counts, the one that gives the partition back.
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
      m_began(time.now())
{
}

std::optional<owner_row> owner_watch::take_in(const adapter::row& row)
{
  if (row.version < m_seen.version)
    return std::nullopt;
  const auto parsed = owner_row_from(row.value);
  if (!parsed)
  {
    common::log_process("row_damaged", {{"table", k_owners_table},
                                        {"partition", m_partition},
                                        {"error", common::to_text(parsed.error())}});
    return std::nullopt;
  }
  const bool other_owner = parsed->life != m_seen.row.life || parsed->holder != m_seen.row.holder;
  see(*parsed, row.version);
  if (other_owner)
    common::log_process("owner_seen", {{"partition", m_partition},
                                       {"holder", parsed->holder},
                                       {"epoch", parsed->epoch},
                                       {"version", row.version}});
  return *parsed;
}

void owner_watch::written(const owner_row& row, adapter::row_version version)
{
  m_unclear_takeover.reset();
  see(row, version);
}

void owner_watch::see(const owner_row& row, adapter::row_version version)
{
  if (!row.holder.empty() || row.life != m_seen.row.life)
    m_instance = row.holder;
  m_seen = {row, version, m_time.now()};
}

void owner_watch::peer_link_changed(const std::string& peer, bool linked)
{
  if (linked)
    m_unlinked.erase(peer);
  else
    m_unlinked.insert(peer);
}

bool owner_watch::is_unclear_takeover(const owner_row& row) const
{
  return m_unclear_takeover && row.life == m_self.life && row.holder == m_self.name &&
         row.epoch == m_unclear_takeover->epoch && row.renewal == 0;
}

// It has ended, so it orders nothing any more.
bool owner_watch::earlier_process_of_ours() const
{
  return m_seen.row.holder == m_self.name && m_seen.row.life != m_self.life;
}

bool owner_watch::takeover_due(common::time_point now, common::time_point feed_healthy_since,
                               bool stronger_peer) const
{
  if (now < m_try_after)
    return false;
  const common::time_point heard = std::max({m_seen.changed_at, feed_healthy_since, m_began});
  const common::duration left_to_others =
      stronger_peer ? m_options.stronger_peer_takeover_delay : common::duration{0};
  if (m_seen.version == 0 || m_seen.row.holder.empty() || earlier_process_of_ours())
    return now - heard >= left_to_others;
  const common::duration patience = m_unlinked.contains(m_seen.row.holder)
                                        ? m_options.silence_timeout_unlinked
                                        : m_options.silence;
  return now - heard > patience + left_to_others;
}

common::time_point owner_watch::requests_end() const
{
  // The owners before that process may still order.
  if (earlier_process_of_ours())
    return std::max(m_seen.changed_at, predecessors_requests_end());
  // It has given no orders before its first renewal, and cannot renew once it is replaced.
  if (const auto told = told_predecessors_end(); told && m_seen.row.renewal == 0)
    return *told;
  return m_options.requests_end(m_seen.changed_at);
}

std::optional<common::time_point> owner_watch::told_predecessors_end() const
{
  if (!m_seen.row.previous_requests_end)
    return std::nullopt;
  return m_clock.latest_local_time(*m_seen.row.previous_requests_end);
}

// The owner may have written it. Besides, they renewed nothing after its takeover, which is as long
// ago as its renewals took: they are a period apart, but for a few.
common::time_point owner_watch::predecessors_requests_end() const
{
  if (m_seen.row.epoch <= 1)
    return {};
  const std::uint64_t spaced =
      m_seen.row.renewal - std::min(m_seen.row.renewal, k_unspaced_renewals);
  const common::time_point counted =
      m_options.requests_end(m_seen.changed_at) -
      static_cast<common::duration::rep>(spaced) * m_options.renew_period;
  return std::min(counted, told_predecessors_end().value_or(counted));
}
} // namespace yardhill::node
