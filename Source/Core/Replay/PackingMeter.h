// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// How full a cell's workers are, averaged over samples.

#include <cstddef>

#include "Common/Resources.h"

namespace yardhill::replay
{
using namespace common;

// Parts of the capacity that are granted, between 0 and 1, averaged over all samples.
struct packing_figures
{
  double processors = 0;
  double memory = 0;
  double peak_processors = 0;
  // While tasks waited: the part of the scarcest resource, and over how many samples.
  double backlogged = 0;
  std::size_t backlogged_samples = 0;
  std::size_t max_queued = 0; // tasks
};

class packing_meter
{
public:
  // Of all workers together; `queued` tasks wait.
  void add_sample(const resources& granted, const resources& capacity, std::size_t queued);
  packing_figures mean() const;

private:
  packing_figures m_sums;
  std::size_t m_samples = 0;
};
} // namespace yardhill::replay
