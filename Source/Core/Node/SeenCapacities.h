// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// How large workers have been, by service, since this process started: a task far larger than all
// of them is refused at once instead of waiting for good.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Jobs/JobSpec.h"
#include "Scheduling/SchedulerMessages.h"

namespace yardhill::node
{
class seen_capacities
{
public:
  void note(const scheduling::worker_info& worker);
  // Which step can never run on workers of that service, and why; none if each can, or if no worker
  // of it has been seen. Labels are left out: they tell of racks and kinds, which come and go.
  std::optional<std::string> never_fits(const std::string& service,
                                        const jobs::job_spec& spec) const;

private:
  // None of a service's capacities fits in another one.
  std::map<std::string, std::vector<common::resources>> m_largest;
};
} // namespace yardhill::node
