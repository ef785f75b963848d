// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Parses the cell configuration from the JSON files that operators write.

#include <optional>
#include <string>
#include <vector>

#include "Common/CellConfig.h"
#include "Common/Problem.h"

namespace yardhill::common
{
struct loaded_file
{
  std::string file;
  std::string text;
};

// Checks all files as one set and appends every mistake to `problems`. None if there are mistakes.
std::optional<cell_config> parse_cell_config(const std::vector<loaded_file>& files,
                                             problem_list& problems);
// Merges the files into the one JSON document that is stored and sent. The files must be valid.
std::string merge_documents(const std::vector<loaded_file>& files);
// One line for each difference between the two documents: its path, the operation and, unless it is
// an object or a list, the new value.
std::vector<std::string> differing_fields(const std::string& left, const std::string& right);
} // namespace yardhill::common
