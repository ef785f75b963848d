// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The resources that a worker offers and a task demands.

#include <cstdint>
#include <optional>
#include <string_view>

namespace yardhill::common
{
// The kinds of resources that a worker can run out of. If several are exceeded, a refusal names the
// first in this order.
enum class resource_dimension
{
  processors,
  memory,
  accelerators,
  slots,
  connections
};

std::string_view to_text(resource_dimension dimension);

struct resources
{
  std::int64_t cpu_millis = 0; // thousandths of a processor
  std::int64_t memory_mib = 0; // MiB
  std::int64_t accelerators = 0;
  std::int64_t slots = 0;
  std::int64_t connections = 0;

  bool operator==(const resources&) const = default;

  resources& operator+=(const resources& other)
  {
    cpu_millis += other.cpu_millis;
    memory_mib += other.memory_mib;
    accelerators += other.accelerators;
    slots += other.slots;
    connections += other.connections;
    return *this;
  }
  resources& operator-=(const resources& other)
  {
    cpu_millis -= other.cpu_millis;
    memory_mib -= other.memory_mib;
    accelerators -= other.accelerators;
    slots -= other.slots;
    connections -= other.connections;
    return *this;
  }
  friend resources operator+(resources left, const resources& right) { return left += right; }
  friend resources operator-(resources left, const resources& right) { return left -= right; }

  bool fits_in(const resources& available) const
  {
    return cpu_millis <= available.cpu_millis && memory_mib <= available.memory_mib &&
           accelerators <= available.accelerators && slots <= available.slots &&
           connections <= available.connections;
  }
  // The first dimension in which this exceeds `available`; none if this fits.
  std::optional<resource_dimension> first_excess(const resources& available) const;
};

// Each dimension multiplied by `factor` and rounded to the nearest integer.
resources scaled(const resources& amount, double factor);
// The larger of the two values in each dimension.
resources elementwise_max(const resources& left, const resources& right);

// The largest fraction of `whole` that `part` takes in any dimension: the dominant share of
// dominant resource fairness. Above 1 if `part` exceeds `whole`.
double dominant_share(const resources& part, const resources& whole);
// The larger value of the two in each dimension.
resources largest(const resources& left, const resources& right);
} // namespace yardhill::common
