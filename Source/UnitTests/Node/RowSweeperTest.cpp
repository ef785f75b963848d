// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "Node/JobStore.h"
#include "Node/OwnerHarness.h"
#include "Node/RowSweeper.h"

using namespace yardhill;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
const std::vector<std::string> k_ids{"0123456789abcde0", "0123456789abcde1", "0123456789abcde2"};

struct swept_store
{
  model::virtual_time time;
  common::metrics metrics;
  node::store_wire wire{time};
  adapter::store_client store{wire, metrics};
  node::row_sweeper sweeper{time, store, node::k_partition, seconds{240}};

  swept_store()
  {
    for (const std::string& id : k_ids)
    {
      wire.store.put(node::job_key(id), "job");
      wire.store.put(node::cancel_key(id), "cancel");
      wire.store.put({node::k_progress_table, node::k_partition, id}, "progress");
    }
  }

  void pass(common::duration span)
  {
    const auto end = time.now() + span;
    while (time.now() < end)
    {
      time.run_until(time.now() + milliseconds{100});
      sweeper.tick();
    }
  }

  std::size_t rows(const std::string& table, const std::string& part)
  {
    std::size_t count = 0;
    store.read({table, part, {}, {}, 500}, seconds{1},
               [&count](const adapter::rows_result& result) { count = result.rows.size(); });
    time.run_until(time.now() + milliseconds{5});
    return count;
  }

  std::size_t job_rows()
  {
    std::size_t count = 0;
    for (const std::string& part : node::job_parts())
      count += rows(node::k_jobs_table, part);
    return count;
  }

  std::size_t progress_rows() { return rows(node::k_progress_table, node::k_partition); }
};
} // namespace

BOOST_AUTO_TEST_SUITE(RowSweeperTest)

BOOST_FIXTURE_TEST_CASE(rows_stay_as_long_as_callers_may_ask, swept_store)
{
  sweeper.add_ended(k_ids);
  pass(seconds{239});
  BOOST_TEST(job_rows() == 6U);
  BOOST_TEST(progress_rows() == 3U);
}

BOOST_FIXTURE_TEST_CASE(rows_of_ended_jobs_are_removed_and_others_stay, swept_store)
{
  sweeper.add_ended({k_ids[0], k_ids[2]});
  pass(seconds{245});
  BOOST_TEST(job_rows() == 2U);
  BOOST_TEST(progress_rows() == 1U);
}

// A job without its progress row would be run again if its own row still existed.
BOOST_FIXTURE_TEST_CASE(progress_stays_until_the_jobs_own_row_is_certainly_gone, swept_store)
{
  sweeper.add_ended(k_ids);
  wire.lose_answers = true;
  pass(seconds{250});
  BOOST_TEST(progress_rows() == 3U);
  wire.lose_answers = false;
  pass(seconds{20});
  BOOST_TEST(job_rows() == 0U);
  BOOST_TEST(progress_rows() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
