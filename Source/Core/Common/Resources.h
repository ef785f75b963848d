// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// What a worker has and what a task takes of it.

#include <cstdint>
#include <optional>
#include <string_view>

namespace yardhill::common
{
// The dimensions a worker can run out of, in the order in which refusals name them.
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

  bool fits_in(const resources& room) const
  {
    return cpu_millis <= room.cpu_millis && memory_mib <= room.memory_mib &&
           accelerators <= room.accelerators && slots <= room.slots &&
           connections <= room.connections;
  }
  // The first dimension in which this is more than `room`, if any.
  std::optional<resource_dimension> first_excess(const resources& room) const;
};

resources scaled(const resources& amount, double factor);
resources elementwise_max(const resources& left, const resources& right);

// The share of `whole` that `part` takes in the dimension where it takes most, 0 to 1 (or above).
double dominant_share(const resources& part, const resources& whole);
} // namespace yardhill::common
