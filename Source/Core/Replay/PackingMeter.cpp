// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Replay/PackingMeter.h"

#include <algorithm>
#include <cstdint>

namespace yardhill::replay
{
namespace
{
double fraction_of(std::int64_t amount, std::int64_t total)
{
  return static_cast<double>(amount) / static_cast<double>(std::max<std::int64_t>(1, total));
}
} // namespace

void packing_meter::add_sample(const resources& granted, const resources& capacity,
                               std::size_t queued)
{
  const double processors = fraction_of(granted.cpu_millis, capacity.cpu_millis);
  const double memory = fraction_of(granted.memory_mib, capacity.memory_mib);
  ++m_samples;
  m_sums.processors += processors;
  m_sums.memory += memory;
  m_sums.peak_processors = std::max(m_sums.peak_processors, processors);
  m_sums.max_queued = std::max(m_sums.max_queued, queued);
  if (queued == 0)
    return;
  ++m_sums.backlogged_samples;
  m_sums.backlogged += std::max({processors, memory, fraction_of(granted.slots, capacity.slots),
                                 fraction_of(granted.accelerators, capacity.accelerators)});
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
