// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// A mistake in a configuration or settings file, as it is shown to the person who wrote the file.

#include <string>
#include <vector>

namespace yardhill::common
{
struct file_problem
{
  std::string file;
  std::string field;   // path within the file, e.g. workloads[2].memory
  std::string what;    // what is wrong
  std::string allowed; // which values would be valid
};

using problem_list = std::vector<file_problem>;

// "<file>: <field>: <what>; allowed: <allowed>"
std::string to_text(const file_problem& problem);
} // namespace yardhill::common
