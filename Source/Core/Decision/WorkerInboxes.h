// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Tracks the ended attempts that each worker reported: which were received, and which are not
// settled yet. A worker keeps an ended attempt until its owner has acknowledged it.

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
  // Sets the worker's current boot. Sequence numbers start anew with each boot, so a new boot
  // resets the worker's inbox.
  void set_boot(const worker_id& worker, const std::string& boot);
  // Records an ended attempt. Returns false if the attempt was recorded before.
  bool record_ended(const worker_id& worker, const ended_attempt& ended);

  void settle(const worker_id& worker, const task_id& task);
  // Settles the task on all workers, for a task whose record, and with it the list of its workers,
  // no longer exists.
  void settle_everywhere(const task_id& task);
  void clear() { m_inboxes.clear(); }

  // Returns the highest sequence number N such that all of the worker's ended attempts up to N are
  // settled.
  std::uint64_t settled_up_to(const worker_id& worker) const;

private:
  struct inbox
  {
    std::string boot;
    std::uint64_t last_sequence = 0;            // highest recorded
    std::map<std::uint64_t, task_id> unsettled; // by sequence
  };

  static void settle_in(inbox& box, const task_id& task);

  std::unordered_map<worker_id, inbox> m_inboxes;
};
} // namespace yardhill::decision
