// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The subcommands of the yardhill program. Each receives the command line without the program's
// name, so the subcommand's name comes first, and returns the process's exit code.

#include <string>
#include <vector>

namespace yardhill::cli
{
// Exit codes, as `yardhill --help` documents them.
inline constexpr int k_done = 0;
inline constexpr int k_refused = 1;
inline constexpr int k_wrong_usage = 2;
inline constexpr int k_unreachable = 3;

using arguments = std::vector<std::string>;
using subcommand_function = int (*)(const arguments&);

int instance(const arguments& args);
int serve(const arguments& args);
int check(const arguments& args);
int apply(const arguments& args);
int diff(const arguments& args);
int config(const arguments& args);
int submit(const arguments& args);
int status(const arguments& args);
int cancel(const arguments& args);
int drain(const arguments& args);
int explain(const arguments& args);
int replay(const arguments& args);
int job(const arguments& args);
int load(const arguments& args);
} // namespace yardhill::cli
