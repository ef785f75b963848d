// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// A configuration whose row takes the link of an instance for most of a second. Pattern: 1,400
// queues were added three times; the row, 1.07 MB, took links of 10 Mbit/s for 0.86 s. Where the
// call for changes that told of it had waited for 2.4 s already, 0.43 s of its time were left: the
// answer was thrown away and asked for anew, with 0.4 s for each try, for 20 s, until the store had
// dropped its history. 26 of 34 instances read 1 MB a second and took nothing in, and served
// callers by a version that was too old. That their processors stood idle, and that the calls ended
// with 0.5 of 1.1 MB of their answer, told it from a store that is late and from a row that is not
// taken.

#include <nlohmann/json.hpp>

#include <boost/test/unit_test.hpp>

#include "Model/CellFaults.h"
#include "Model/CountJudge.h"
#include "Model/ExploredCell.h"

using namespace yardhill;
using namespace yardhill::model;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
// Bytes a second. A row of 450 queues takes it for 0.9 s.
constexpr double k_narrow = 125000;
constexpr std::size_t k_many_queues = 450;
// How long a configuration may take from its acknowledgement until it is in force.
constexpr seconds k_apply{3};

struct configured_cell
{
  // The link is that of the two weak instances; the strong ones, one of which owns the partition
  // and calls its workers, have a narrow one at least.
  explicit configured_cell(double weak = k_narrow, std::uint64_t seed = 1) : cell(seed)
  {
    for (std::size_t i = 0; i < cell.instances().size(); ++i)
      cell.network().troubles.links[cell.instances()[i].name] =
          i % 2 == 0 ? weak : std::max(weak, k_narrow);
    pass(seconds{5});
  }

  void pass(milliseconds span) { cell.time().run_until(cell.time().now() + span); }

  static std::uint64_t version_of(const explored_instance& which)
  {
    return which.metrics->value(common::gauge::config_version);
  }

  void expect_everywhere(std::uint64_t version, const std::string& when)
  {
    for (const explored_instance& each : cell.instances())
      BOOST_TEST(version_of(each) == version, when << ", " << each.name << ": version "
                                                   << version_of(each) << " instead of "
                                                   << version);
  }

  // The status with which the instance answers a question for a queue's count; 0 if it does not.
  unsigned ask(explored_instance& which, const std::string& prefix, http::method verb)
  {
    const auto status = std::make_shared<unsigned>(0);
    which.core->handle({verb, k_host, prefix, "{}", "3000"},
                       [status](const http::outgoing_answer& answer) { *status = answer.status; });
    pass(milliseconds{5});
    return *status;
  }

  // From `written` on, when the version was written, for 30 s: whoever has to have it and hasn't
  // refuses. Returns how often that was seen.
  std::size_t expect_refusals_until_in_force(std::uint64_t version, time_point written)
  {
    std::size_t refused = 0;
    while (cell.time().now() - written < seconds{30})
    {
      pass(milliseconds{100});
      for (explored_instance& each : cell.instances())
      {
        if (cell.time().now() - written <= k_apply || version_of(each) >= version)
          continue;
        ++refused;
        BOOST_TEST(!each.core->ready());
        BOOST_TEST(ask(each, k_plain_prefix, http::method::get) == 503U);
        BOOST_TEST(ask(each, "/unknown/", http::method::get) == 503U);
        // An earlier try may have been kept elsewhere.
        BOOST_TEST(ask(each, "/unknown/0123456789abcdef", http::method::post) == 504U);
      }
    }
    return refused;
  }

  explored_cell cell;
};
} // namespace

BOOST_AUTO_TEST_SUITE(NarrowConfigurationTest)

BOOST_AUTO_TEST_CASE(a_long_row_is_in_force_in_time_whenever_it_is_written)
{
  // The calls for changes wait 2.5 s each.
  for (milliseconds offset{0}; offset < milliseconds{2500}; offset += milliseconds{250})
  {
    configured_cell narrow;
    narrow.pass(offset);
    narrow.cell.configure(2, k_many_queues);
    narrow.pass(k_apply);
    narrow.expect_everywhere(2, std::to_string(offset.count()) + " ms later");
  }
}

// Five versions, each sent before a link can carry the one before it: all of them together take
// 4.5 s. Only the last one counts.
BOOST_AUTO_TEST_CASE(of_versions_in_series_the_newest_is_in_force_in_time)
{
  configured_cell narrow;
  for (std::uint64_t version = 2; version <= 6; ++version)
  {
    narrow.cell.configure(version, k_many_queues);
    narrow.pass(milliseconds{300});
  }
  narrow.pass(k_apply - milliseconds{300});
  narrow.expect_everywhere(6, "after a series");
}

// The store is silent for an instance while five versions are written.
BOOST_AUTO_TEST_CASE(of_versions_missed_in_an_outage_the_newest_is_read_alone)
{
  configured_cell narrow;
  const std::string missing = narrow.cell.instances().front().name;
  narrow.cell.network().troubles.cuts.insert({missing, "store"});
  for (std::uint64_t version = 2; version <= 6; ++version)
  {
    narrow.pass(seconds{1});
    narrow.cell.configure(version, k_many_queues);
  }
  narrow.pass(seconds{1});
  narrow.cell.network().troubles.cuts.clear();
  narrow.pass(k_apply);
  narrow.expect_everywhere(6, "after an outage");
}

// The row takes a link of 10 KB/s for 11 s. Until it is in force nobody is served by an older one.
BOOST_AUTO_TEST_CASE(an_instance_whose_configuration_is_late_refuses_instead_of_serving_by_it)
{
  configured_cell narrow(10000);
  const auto written = narrow.cell.time().now();
  narrow.cell.configure(2, k_many_queues);
  BOOST_TEST(narrow.expect_refusals_until_in_force(2, written) > 0U);
  narrow.expect_everywhere(2, "in the end");
}

// The store told of version 2 when version 3 was not written yet: that 2 is in force at last says
// nothing of 3.
BOOST_AUTO_TEST_CASE(a_version_that_came_late_is_not_taken_for_the_newest)
{
  configured_cell narrow(10000);
  narrow.cell.configure(2, k_many_queues);
  narrow.pass(seconds{1});
  const auto written = narrow.cell.time().now();
  narrow.cell.configure(3, k_many_queues);
  BOOST_TEST(narrow.expect_refusals_until_in_force(3, written) > 0U);
  narrow.expect_everywhere(3, "in the end");
}

// The store turns one instance away, its peers have the change.
BOOST_AUTO_TEST_CASE(an_instance_that_is_turned_away_takes_the_configuration_through_a_peer)
{
  configured_cell wide(10 * k_narrow);
  const std::string away = wide.cell.instances().front().name;
  wide.cell.network().troubles.turned_away.insert(away);
  wide.pass(seconds{4});
  wide.cell.configure(2, k_many_queues);
  wide.pass(k_apply);
  wide.expect_everywhere(2, "through a peer");
}

// Drawn troubles, and a configuration that grows and shrinks meanwhile: whoever serves in touch
// does it by one that is in force.
BOOST_AUTO_TEST_CASE(no_seed_serves_by_an_older_configuration)
{
  for (std::uint64_t seed = 1; seed <= 24; ++seed)
  {
    configured_cell narrow(k_narrow, seed);
    explored_cell& cell = narrow.cell;
    cell_faults troubles(cell, omission::none);
    cell.callers().submit_jobs_until(cell.begin() + seconds{25});
    const count_judge counts(cell, cell.begin() + seconds{35});
    troubles.draw();
    for (std::uint64_t version = 2; version <= 9; ++version)
    {
      cell.time().run_until(cell.time().now() +
                            cell.draw_time(milliseconds{500}, milliseconds{4000}));
      cell.configure(version, cell.draw(k_many_queues));
    }
    cell.time().run_until(cell.begin() + seconds{40});
    for (const std::string& violation : counts.violations())
      BOOST_TEST_CONTEXT("seed " << seed) BOOST_ERROR(violation);
    BOOST_TEST(counts.counted() > 100U);
    narrow.expect_everywhere(9, "seed " + std::to_string(seed));
  }
}

BOOST_AUTO_TEST_SUITE_END()
