// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The largest worker capacities by service, as far as this process has seen workers or an owner has
// reported them. A task that is far larger than all of them is refused at once instead of waiting
// forever.

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

  void add(const scheduling::worker_info& worker) { add(worker.service, worker.capacity); }
  void add(const std::string& service, const common::resources& capacity);
  // Adds the capacities that another instance has seen.
  void add_all(const by_service& largest);
  // Only maximal ones: no capacity of a service fits in another of the same service.
  const by_service& largest() const { return m_largest; }
  // Names a step that can never run on workers of the service, and why; none if every step can run,
  // or if no worker of the service is known. Labels are not considered: they stand for racks and
  // kinds of workers, which come and go.
  std::optional<std::string> never_fits(const std::string& service,
                                        const jobs::job_spec& spec) const;

private:
  by_service m_largest;
};
} // namespace yardhill::node
