// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// How full a cell's workers are, averaged over samples.

#include <cstddef>

#include "Common/Resources.h"

namespace yardhill::replay
{
using namespace common;

// Granted fractions of the capacity, from 0 to 1, averaged over all samples.
struct packing_figures
{
  double processors = 0;
  double memory = 0;
  double peak_processors = 0;
  // Only over samples with queued tasks: the fraction of the scarcest resource, and the number of
  // such samples.
  double backlogged = 0;
  std::size_t backlogged_samples = 0;
  std::size_t max_queued = 0; // tasks
};

class packing_meter
{
public:
  // Adds the totals over all workers; `queued` is the number of waiting tasks.
  void add_sample(const resources& granted, const resources& capacity, std::size_t queued);
  packing_figures mean() const;

private:
  packing_figures m_sums;
  std::size_t m_samples = 0;
};
} // namespace yardhill::replay
