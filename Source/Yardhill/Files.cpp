// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Yardhill/Files.h"

#include <cstdio>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace yardhill::cli
{
common::result<common::loaded_file> load_file(const std::string& path)
{
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  if (!in)
    return common::new_error({"read_file", path, "cannot be read"});
  return common::loaded_file{path, text.str()};
}

common::loaded_file read_file(const std::string& path)
{
  return common::value_or<common::loaded_file>(
      [&path] { return load_file(path); },
      [](const common::step_error& error) -> common::loaded_file
      { throw std::runtime_error(common::to_text(error)); });
}

std::vector<common::loaded_file> read_files(const std::vector<std::string>& paths)
{
  std::vector<common::loaded_file> files;
  files.reserve(paths.size());
  for (const std::string& path : paths)
    files.push_back(read_file(path));
  return files;
}

void print_problems(const common::problem_list& problems)
{
  for (const common::file_problem& problem : problems)
    std::fprintf(stderr, "%s\n", common::to_text(problem).c_str());
}
} // namespace yardhill::cli
