// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Identifiers as distinct types, so that the compiler rejects a worker's name where a task's is
// meant.

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace yardhill::common
{
template<class tag>
struct text_id
{
  std::string value;

  text_id() = default;
  explicit text_id(std::string text) : value(std::move(text)) {}

  bool empty() const { return value.empty(); }
  auto operator<=>(const text_id&) const = default;
};

using task_id = text_id<struct task_id_tag>;
using worker_id = text_id<struct worker_id_tag>;
using rack_id = text_id<struct rack_id_tag>;
using zone_id = text_id<struct zone_id_tag>;
using team_id = text_id<struct team_id_tag>;
using workload_id = text_id<struct workload_id_tag>;
// One incarnation of an instance: the name from its settings and a suffix that is new at each
// start.
using instance_id = text_id<struct instance_id_tag>;

// A partition is a numbered part of a zone. It is the home of the task ids that hash to its number,
// and of some of the zone's workers.
struct partition_id
{
  zone_id zone;
  std::uint32_t index = 0;

  auto operator<=>(const partition_id&) const = default;
};

// Ownership term of a partition. It only increases; workers refuse requests with a lower term than
// they have seen.
using term_number = std::uint64_t;

// Number of an attempt: the owner's term in the upper 32 bits, the owner's own counter in the lower
// 32. No two attempts in a partition ever have the same number, even if the partition changes its
// owner and the new owner does not know of earlier attempts.
using attempt_number = std::uint64_t;

// One attempt at running one member of a task. Only gangs have several members; any other task has
// the single member 0.
struct attempt_id
{
  task_id task;
  attempt_number attempt = 0;
  std::uint32_t member = 0;

  auto operator<=>(const attempt_id&) const = default;
};

std::string to_text(const partition_id& partition);
std::string to_text(const attempt_id& attempt);
} // namespace yardhill::common

template<class tag>
struct std::hash<yardhill::common::text_id<tag>>
{
  std::size_t operator()(const yardhill::common::text_id<tag>& id) const noexcept
  {
    return std::hash<std::string>{}(id.value);
  }
};
