// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The ended attempts that each worker has told of: which were seen, and which are not settled yet.
// A worker remembers an ended attempt until its owner has acknowledged it.

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

#include "Common/Ids.h"
#include "Common/WorkerMessages.h"

namespace yardhill::decision
{
using namespace common;

class worker_inboxes
{
public:
  // News of this worker's boot: an earlier boot's sequence means nothing any more.
  void set_boot(const worker_id& worker, const std::string& boot);
  // Takes an ended attempt in; false if it was seen before.
  bool take(const worker_id& worker, const ended_attempt& ended);

  void settle(const worker_id& worker, const task_id& task);
  // For a task whose record is gone, and with it the names of its workers.
  void settle_everywhere(const task_id& task);
  void clear() { m_inboxes.clear(); }

  // The highest sequence of the worker's ended attempts such that all up to it are settled.
  std::uint64_t settled_up_to(const worker_id& worker) const;

private:
  struct inbox
  {
    std::string boot;
    std::uint64_t seen = 0;
    std::map<std::uint64_t, task_id> unsettled; // by sequence
  };

  static void settle_in(inbox& box, const task_id& task);

  std::unordered_map<worker_id, inbox> m_inboxes;
};
} // namespace yardhill::decision
