// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// A mistake in a file that a person wrote.

#include <string>
#include <vector>

namespace yardhill::common
{
struct file_problem
{
  std::string file;
  std::string field;   // path within the file, e.g. workloads[2].memory
  std::string what;    // what is wrong
  std::string allowed; // what would be right
};

using problem_list = std::vector<file_problem>;

// file: field: what is wrong; allowed: ...
std::string to_text(const file_problem& problem);
} // namespace yardhill::common
