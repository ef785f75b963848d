// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Common/Problem.h"

namespace yardhill::common
{
std::string to_text(const file_problem& problem)
{
  std::string text = problem.file + ": ";
  if (!problem.field.empty())
    text += problem.field + ": ";
  text += problem.what;
  if (!problem.allowed.empty())
    text += "; allowed: " + problem.allowed;
  return text;
}
} // namespace yardhill::common
