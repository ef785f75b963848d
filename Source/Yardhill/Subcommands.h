// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The subcommands. Each takes the arguments after the program's name, its own name first, and
// returns the exit code.

#include <string>
#include <vector>

namespace yardhill::cli
{
inline constexpr int k_done = 0;
inline constexpr int k_refused = 1;
inline constexpr int k_wrong_usage = 2;
inline constexpr int k_unreachable = 3;

using arguments = std::vector<std::string>;
using subcommand_function = int (*)(const arguments&);

int instance(const arguments& given);
int serve(const arguments& given);
int check(const arguments& given);
int apply(const arguments& given);
int diff(const arguments& given);
int config(const arguments& given);
int submit(const arguments& given);
int status(const arguments& given);
int cancel(const arguments& given);
int drain(const arguments& given);
int explain(const arguments& given);
int replay(const arguments& given);
int job(const arguments& given);
int load(const arguments& given);
} // namespace yardhill::cli
