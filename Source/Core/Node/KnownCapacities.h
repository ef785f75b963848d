// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// How large workers have been, by service, as far as this process has seen them or an owner has
// told: a task far larger than all of them is refused at once instead of waiting for good.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Jobs/JobSpec.h"
#include "Scheduling/SchedulerMessages.h"

namespace yardhill::node
{
class known_capacities
{
public:
  using by_service = std::map<std::string, std::vector<common::resources>>;

  void note(const scheduling::worker_info& worker) { note(worker.service, worker.capacity); }
  void note(const std::string& service, const common::resources& capacity);
  // What another instance has seen.
  void add_all(const by_service& largest);
  // None of a service's capacities fits in another one.
  const by_service& largest() const { return m_largest; }
  // Which step can never run on workers of that service, and why; none if each can, or if no worker
  // of it has been seen. Labels are left out: they tell of racks and kinds, which come and go.
  std::optional<std::string> never_fits(const std::string& service,
                                        const jobs::job_spec& spec) const;

private:
  by_service m_largest;
};
} // namespace yardhill::node
