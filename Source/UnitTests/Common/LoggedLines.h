// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Reads the event log in a test. The log is one for each process and writes to standard output, so
// the logging code runs in a child process.

#include <algorithm>
#include <cstddef>
#include <cstdio>
#include <exception>
#include <functional>
#include <string>
#include <vector>

#include <sys/wait.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "Common/EventLog.h"

namespace yardhill::common
{
// The lines that `log_events` logs.
inline std::vector<nlohmann::json> lines_logged_by(const std::function<void()>& log_events)
{
  std::FILE* const file = std::tmpfile();
  BOOST_TEST_REQUIRE(file != nullptr);
  const pid_t child = ::fork();
  BOOST_TEST_REQUIRE(child >= 0);
  if (child == 0)
  {
    ::dup2(::fileno(file), STDOUT_FILENO);
    // An exception must not reach the test framework, which would go on with the tests here.
    try
    {
      open_event_log("test");
      log_events();
      flush_event_log();
      ::_exit(0);
    }
    catch (const std::exception& error)
    {
      std::fprintf(stderr, "%s\n", error.what());
    }
    ::_exit(1);
  }
  int status = 0;
  ::waitpid(child, &status, 0);
  BOOST_TEST_REQUIRE(status == 0);
  std::rewind(file);
  std::string text;
  for (int next = std::fgetc(file); next != EOF; next = std::fgetc(file))
    text += static_cast<char>(next);
  std::fclose(file);

  std::vector<nlohmann::json> lines;
  for (std::size_t at = 0; at < text.size();)
  {
    const std::size_t end = std::min(text.find('\n', at), text.size());
    lines.push_back(nlohmann::json::parse(text.substr(at, end - at)));
    at = end + 1;
  }
  return lines;
}

inline const nlohmann::json* find_event(const std::vector<nlohmann::json>& lines,
                                        const std::string& event)
{
  for (const nlohmann::json& line : lines)
  {
    if (line.at("event") == event)
      return &line;
  }
  return nullptr;
}
} // namespace yardhill::common
