// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The declared state of the cell, from the JSON that operators write.

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

// Checks all files as one set and notes every mistake. None if there is any.
std::optional<cell_config> parse_cell_config(const std::vector<loaded_file>& files,
                                             problem_list& problems);
// One document that holds the whole set, as it is stored and sent. The files must be valid.
std::string merge_documents(const std::vector<loaded_file>& files);
// The paths at which two documents differ, each as one line.
std::vector<std::string> differing_fields(const std::string& left, const std::string& right);
} // namespace yardhill::common
