// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <boost/test/unit_test.hpp>

#include "Common/LoggedLines.h"
#include "Model/VirtualTime.h"
#include "Node/ProcessReport.h"

using namespace yardhill;
using common::counter;
using common::gauge;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
// A process that ticks every 25 ms and uses a tenth of a core.
struct reporting_process
{
  model::virtual_time time;
  common::metrics metrics;
  node::loop_monitor loop;
  common::duration cpu{0};
  node::process_report report{time, metrics, loop, [this] { return cpu; }, 500};
  unsigned lines = 0;

  void tick(milliseconds late = milliseconds{0})
  {
    const common::time_point due = time.now() + milliseconds{25};
    time.run_until(due + late);
    cpu += common::duration{milliseconds{25} + late} / 10;
    loop.record_tick(due, time.now());
    lines += report.tick() ? 1 : 0;
  }

  void pass(milliseconds span)
  {
    const common::time_point end = time.now() + span;
    while (time.now() < end)
      tick();
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(ProcessReportTest)

BOOST_FIXTURE_TEST_CASE(a_process_that_is_not_late_writes_a_line_every_ten_seconds,
                        reporting_process)
{
  tick();
  BOOST_TEST(lines == 1U);
  pass(milliseconds{9950});
  BOOST_TEST(lines == 1U);
  pass(milliseconds{50});
  BOOST_TEST(lines == 2U);
  BOOST_TEST((report.latest().length == seconds{10}));
  BOOST_TEST((report.latest().cpu == seconds{1}));
  BOOST_TEST((report.latest().worst_lateness == common::duration{0}));
}

BOOST_FIXTURE_TEST_CASE(a_late_loop_is_logged_at_once_but_at_most_once_a_second, reporting_process)
{
  tick();
  pass(seconds{2});
  tick(milliseconds{400});
  BOOST_TEST(lines == 2U);
  BOOST_TEST((report.latest().worst_lateness == milliseconds{400}));
  BOOST_TEST(metrics.value(gauge::loop_late_ms) == 400U);
  BOOST_TEST(metrics.value(gauge::loop_late_worst_ms) == 400U);
  tick(milliseconds{300});
  tick(milliseconds{300});
  BOOST_TEST(lines == 2U);
  tick(milliseconds{400});
  BOOST_TEST(lines == 3U);
  BOOST_TEST((report.latest().worst_lateness == milliseconds{400}));
}

BOOST_FIXTURE_TEST_CASE(the_processor_time_is_sampled_once_a_second, reporting_process)
{
  tick();
  pass(seconds{3});
  BOOST_TEST(metrics.value(counter::process_cpu_ms) >= 200U);
  BOOST_TEST(metrics.value(counter::process_cpu_ms) <= 310U);
}

BOOST_FIXTURE_TEST_CASE(passes_are_counted_since_the_previous_line, reporting_process)
{
  metrics.record(common::timing::decision, milliseconds{2});
  tick();
  BOOST_TEST(report.latest().passes == 1U);
  metrics.record(common::timing::decision, milliseconds{3});
  metrics.record(common::timing::decision, milliseconds{4});
  pass(seconds{10});
  BOOST_TEST(report.latest().passes == 2U);
  BOOST_TEST((report.latest().pass_time == milliseconds{7}));
}

// Guards against an operator who takes a log without decisions for a complete one.
BOOST_FIXTURE_TEST_CASE(dropped_lines_are_counted_by_group, reporting_process)
{
  constexpr int k_flood = 20000;
  const auto logged = common::lines_logged_by(
      [this]
      {
        for (int i = 0; i < k_flood; ++i)
        {
          common::log_decision("refused", "00000000000000aa", {});
          common::log_request("state_shown", "00000000000000aa", {});
        }
        tick();
        pass(seconds{2});
        const auto decisions = metrics.value(counter::log_decisions_dropped);
        const auto repeating = metrics.value(counter::log_repeating_dropped);
        common::log_process("metrics", {{"decisions", decisions}, {"repeating", repeating}});
      });
  const nlohmann::json* const counters = common::find_event(logged, "counters");
  BOOST_TEST_REQUIRE(counters != nullptr);
  const auto decisions = counters->at("log_decisions_dropped").get<int>();
  const auto repeating = counters->at("log_repeating_dropped").get<int>();
  BOOST_TEST(decisions > 0);
  BOOST_TEST(repeating > decisions);
  BOOST_TEST(counters->at("log_lines_dropped") == decisions + repeating);
  const nlohmann::json* const exposed = common::find_event(logged, "metrics");
  BOOST_TEST_REQUIRE(exposed != nullptr);
  BOOST_TEST(exposed->at("decisions") == decisions);
  BOOST_TEST(exposed->at("repeating") == repeating);
}

BOOST_AUTO_TEST_SUITE_END()
