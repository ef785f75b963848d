// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The diagnostic log on standard error: one JSON object per line.

#include <cstdint>
#include <string>

#include "Common/Ids.h"

namespace yardhill::common
{
struct log_line
{
  std::string step;
  std::string peer;
  task_id task;
  term_number term = 0;
  std::string detail;
};

// Opens the log for `process`. `level` is the lowest level that is written: debug, info or warning.
void open_log(const std::string& process, const std::string& level);
void log_info(const log_line& line);
void log_warning(const log_line& line);
} // namespace yardhill::common
