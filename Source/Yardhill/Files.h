// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Reads the files named on a subcommand's command line and prints the mistakes found in them.

#include <string>
#include <vector>

#include "Common/ConfigParser.h"
#include "Common/Error.h"
#include "Common/Problem.h"

namespace yardhill::cli
{
// The file's contents, or an error if it cannot be read.
common::result<common::loaded_file> load_file(const std::string& path);
// The file's contents. Throws std::runtime_error, naming step and file, if it cannot be read.
common::loaded_file read_file(const std::string& path);
// Reads each file with read_file().
std::vector<common::loaded_file> read_files(const std::vector<std::string>& paths);
// Prints each problem as one line on standard error.
void print_problems(const common::problem_list& problems);
} // namespace yardhill::cli
