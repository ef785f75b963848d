// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Tests a configuration whose row occupies the link of an instance for most of a second. 1,400
// queues were added three times; the row of 1.07 MB took links of 10 Mbit/s for 0.86 s. Where the
// feed call that announced the change had already waited for 2.4 s, 0.43 s of its timeout were
// left: the reply was discarded and requested again with a timeout of 0.4 s for each try, for 20 s,
// until the store had dropped its history. 26 of 34 instances read 1 MB a second without applying
// anything and served callers by an outdated version. Idle processors and calls that ended after
// 0.5 of 1.1 MB of their reply distinguish this fault from a late store and from a row that is read
// but not applied.

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
// A row of 450 queues takes this link for 0.9 s.
constexpr double k_narrow_bytes_per_second = 125000;
constexpr std::size_t k_large_queue_count = 450;
// The time within which an acknowledged configuration has to be in force.
constexpr seconds k_apply_limit{3};

struct configured_cell
{
  // `weak_link` is the bandwidth of the two weak instances in bytes per second. The strong ones,
  // one of which owns the partition and calls its workers, have at least k_narrow_bytes_per_second.
  explicit configured_cell(double weak_link = k_narrow_bytes_per_second, std::uint64_t seed = 1)
      : cell(seed)
  {
    for (std::size_t i = 0; i < cell.instances().size(); ++i)
      cell.network().troubles.links[cell.instances()[i].name] =
          i % 2 == 0 ? weak_link : std::max(weak_link, k_narrow_bytes_per_second);
    run_for(seconds{5});
  }

  void run_for(milliseconds span) { cell.time().run_until(cell.time().now() + span); }

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

  // Returns the status of the instance's reply to a request for `prefix`, or 0 if there is no reply
  // within 5 ms.
  unsigned query_status(explored_instance& which, const std::string& prefix, http::method verb)
  {
    const auto status = std::make_shared<unsigned>(0);
    which.core->handle({verb, k_host, prefix, "{}", {"3000"}},
                       [status](const http::outgoing_reply& answer) { *status = answer.status; });
    run_for(milliseconds{5});
    return *status;
  }

  // Watches the cell until 30 s after `written`, the time at which the version was written: an
  // instance without the version has to refuse requests once k_apply_limit is over. Returns how
  // often an instance in this state was seen.
  std::size_t expect_refusals_until_in_force(std::uint64_t version, time_point written)
  {
    std::size_t refused = 0;
    while (cell.time().now() - written < seconds{30})
    {
      run_for(milliseconds{100});
      for (explored_instance& each : cell.instances())
      {
        if (cell.time().now() - written <= k_apply_limit || version_of(each) >= version)
          continue;
        ++refused;
        BOOST_TEST(!each.core->ready());
        BOOST_TEST(query_status(each, k_plain_prefix, http::method::get) == 503U);
        BOOST_TEST(query_status(each, "/unknown/", http::method::get) == 503U);
        // The reply is 504 and not 503, since an earlier try may have been stored by another
        // instance.
        BOOST_TEST(query_status(each, "/unknown/0123456789abcdef", http::method::post) == 504U);
      }
    }
    return refused;
  }

  explored_cell cell;
};
} // namespace

BOOST_AUTO_TEST_SUITE(NarrowConfigurationTest)

BOOST_AUTO_TEST_CASE(a_large_row_is_in_force_in_time_whenever_it_is_written)
{
  // The offsets cover the 2.5 s for which a feed call waits.
  for (milliseconds offset{0}; offset < milliseconds{2500}; offset += milliseconds{250})
  {
    configured_cell narrow;
    narrow.run_for(offset);
    narrow.cell.configure(2, k_large_queue_count);
    narrow.run_for(k_apply_limit);
    narrow.expect_everywhere(2, std::to_string(offset.count()) + " ms later");
  }
}

// Five versions are written, each before a link can carry the previous one: all of them together
// take 4.5 s. Only the last version counts.
BOOST_AUTO_TEST_CASE(of_versions_in_series_the_newest_is_in_force_in_time)
{
  configured_cell narrow;
  for (std::uint64_t version = 2; version <= 6; ++version)
  {
    narrow.cell.configure(version, k_large_queue_count);
    narrow.run_for(milliseconds{300});
  }
  narrow.run_for(k_apply_limit - milliseconds{300});
  narrow.expect_everywhere(6, "after a series");
}

// The store does not answer one instance while five versions are written.
BOOST_AUTO_TEST_CASE(of_versions_missed_in_an_outage_only_the_newest_is_read)
{
  configured_cell narrow;
  const std::string isolated = narrow.cell.instances().front().name;
  narrow.cell.network().troubles.cuts.insert({isolated, "store"});
  for (std::uint64_t version = 2; version <= 6; ++version)
  {
    narrow.run_for(seconds{1});
    narrow.cell.configure(version, k_large_queue_count);
  }
  narrow.run_for(seconds{1});
  narrow.cell.network().troubles.cuts.clear();
  narrow.run_for(k_apply_limit);
  narrow.expect_everywhere(6, "after an outage");
}

// The row takes a link of 10 KB/s for 11 s. Until it is in force, no request may be served by an
// older configuration.
BOOST_AUTO_TEST_CASE(an_instance_with_an_outdated_configuration_refuses_requests)
{
  configured_cell narrow(10000);
  const auto written = narrow.cell.time().now();
  narrow.cell.configure(2, k_large_queue_count);
  BOOST_TEST(narrow.expect_refusals_until_in_force(2, written) > 0U);
  narrow.expect_everywhere(2, "in the end");
}

// The store's reply with version 2 was sent before version 3 was written. That version 2 is in
// force at last therefore does not show that there is no version 3.
BOOST_AUTO_TEST_CASE(a_version_that_arrives_late_is_not_taken_for_the_newest)
{
  configured_cell narrow(10000);
  narrow.cell.configure(2, k_large_queue_count);
  narrow.run_for(seconds{1});
  const auto written = narrow.cell.time().now();
  narrow.cell.configure(3, k_large_queue_count);
  BOOST_TEST(narrow.expect_refusals_until_in_force(3, written) > 0U);
  narrow.expect_everywhere(3, "in the end");
}

// The store rejects the calls of one instance; its peers read the change.
BOOST_AUTO_TEST_CASE(an_instance_rejected_by_the_store_reads_the_configuration_through_a_peer)
{
  configured_cell wide(10 * k_narrow_bytes_per_second);
  const std::string rejected = wide.cell.instances().front().name;
  wide.cell.network().troubles.turned_away.insert(rejected);
  wide.run_for(seconds{4});
  wide.cell.configure(2, k_large_queue_count);
  wide.run_for(k_apply_limit);
  wide.expect_everywhere(2, "through a peer");
}

// Random troubles occur while the configuration grows and shrinks: an instance that is in touch
// with the store and serves requests must do so by a configuration that is in force.
BOOST_AUTO_TEST_CASE(no_seed_serves_by_an_older_configuration)
{
  for (std::uint64_t seed = 1; seed <= 24; ++seed)
  {
    configured_cell narrow(k_narrow_bytes_per_second, seed);
    explored_cell& cell = narrow.cell;
    cell_faults troubles(cell, omission::none);
    cell.callers().submit_jobs_until(cell.begin() + seconds{25});
    const count_judge counts(cell, cell.begin() + seconds{35});
    troubles.draw();
    for (std::uint64_t version = 2; version <= 9; ++version)
    {
      cell.time().run_until(cell.time().now() +
                            cell.draw_time(milliseconds{500}, milliseconds{4000}));
      cell.configure(version, cell.draw(k_large_queue_count));
    }
    cell.time().run_until(cell.begin() + seconds{40});
    for (const std::string& violation : counts.violations())
      BOOST_TEST_CONTEXT("seed " << seed) BOOST_ERROR(violation);
    BOOST_TEST(counts.counted() > 100U);
    narrow.expect_everywhere(9, "seed " + std::to_string(seed));
  }
}

BOOST_AUTO_TEST_SUITE_END()
