// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Replay/PackingMeter.h"

#include <algorithm>
#include <cstdint>

namespace yardhill::replay
{
namespace
{
double part_of(std::int64_t some, std::int64_t all)
{
  return static_cast<double>(some) / static_cast<double>(std::max<std::int64_t>(1, all));
}
} // namespace

void packing_meter::add_sample(const resources& granted, const resources& capacity,
                               std::size_t queued)
{
  const double processors = part_of(granted.cpu_millis, capacity.cpu_millis);
  const double memory = part_of(granted.memory_mib, capacity.memory_mib);
  ++m_samples;
  m_sums.processors += processors;
  m_sums.memory += memory;
  m_sums.peak_processors = std::max(m_sums.peak_processors, processors);
  m_sums.max_queued = std::max(m_sums.max_queued, queued);
  if (queued == 0)
    return;
  ++m_sums.backlogged_samples;
  m_sums.backlogged += std::max({processors, memory, part_of(granted.slots, capacity.slots),
                                 part_of(granted.accelerators, capacity.accelerators)});
}

packing_figures packing_meter::mean() const
{
  packing_figures mean = m_sums;
  const auto samples = static_cast<double>(std::max<std::size_t>(1, m_samples));
  mean.processors /= samples;
  mean.memory /= samples;
  if (mean.backlogged_samples > 0)
    mean.backlogged /= static_cast<double>(mean.backlogged_samples);
  return mean;
}
} // namespace yardhill::replay
