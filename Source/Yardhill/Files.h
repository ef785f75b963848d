// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Reading the files that a subcommand is given.

#include <string>
#include <vector>

#include "Common/ConfigParser.h"
#include "Common/Error.h"
#include "Common/Problem.h"

namespace yardhill::cli
{
common::result<common::loaded_file> load_file(const std::string& path);
// The same for a command's arguments: throws std::runtime_error with step and file.
common::loaded_file read_file(const std::string& path);
std::vector<common::loaded_file> read_files(const std::vector<std::string>& paths);
// One line each on standard error.
void print_problems(const common::problem_list& problems);
} // namespace yardhill::cli
