// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Runs traces with random faults, generated from seeds, and checks the invariants after every step.
// If YARDHILL_PRINT_TRACE is set, a failing seed is printed as a trace that can be put into
// Traces/. YARDHILL_SEEDS=FIRST-LAST runs other seeds; YARDHILL_LOG logs the events of each run.

#include <cstdlib>
#include <iostream>
#include <string>

#include <boost/test/unit_test.hpp>

#include "Replay/BuiltInCell.h"
#include "Replay/Explorer.h"
#include "Replay/VirtualCell.h"

using namespace yardhill::replay;

namespace
{
constexpr duration k_fault_period = std::chrono::seconds{30};

// Returns the violated invariant; empty if the run passed.
std::string run_seed(std::uint64_t seed)
{
  const trace generated = generate_trace(seed, k_fault_period);
  cell_options options;
  if (std::getenv("YARDHILL_LOG") != nullptr)
    options.log = [](time_point at, const std::string& source, const std::string& message)
    { std::cerr << at.time_since_epoch().count() << ' ' << source << ' ' << message << '\n'; };
  virtual_cell cell(generated, built_in_document(generated.header, 2), options);
  cell.run();
  cell.check_end();
  return cell.checker().failed() ? cell.checker().failure() : std::string{};
}

void run_seeds(std::uint64_t first, std::uint64_t last)
{
  for (std::uint64_t seed = first; seed <= last; ++seed)
  {
    const std::string failure = run_seed(seed);
    BOOST_TEST(failure == "", "seed " << seed << ": " << failure << "\n"
                                      << (std::getenv("YARDHILL_PRINT_TRACE") != nullptr
                                              ? to_json_lines(generate_trace(seed, k_fault_period))
                                              : ""));
  }
}

constexpr std::uint64_t k_seeds_per_case = 400;

void run_share(std::uint64_t share)
{
  run_seeds(share * k_seeds_per_case + 1, (share + 1) * k_seeds_per_case);
}
} // namespace

BOOST_AUTO_TEST_SUITE(explorer)

BOOST_AUTO_TEST_CASE(seeds_first_share)
{
  run_share(0);
}
BOOST_AUTO_TEST_CASE(seeds_second_share)
{
  run_share(1);
}
BOOST_AUTO_TEST_CASE(seeds_third_share)
{
  run_share(2);
}
BOOST_AUTO_TEST_CASE(seeds_fourth_share)
{
  run_share(3);
}
BOOST_AUTO_TEST_CASE(seeds_fifth_share)
{
  run_share(4);
}

BOOST_AUTO_TEST_CASE(seeds_on_request)
{
  const char* range = std::getenv("YARDHILL_SEEDS");
  if (range == nullptr)
    return;
  const std::string text = range;
  const std::size_t dash = text.find('-');
  run_seeds(std::stoull(text), std::stoull(text.substr(dash + 1)));
}

BOOST_AUTO_TEST_SUITE_END()
