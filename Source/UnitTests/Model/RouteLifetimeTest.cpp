// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// A call may be in flight while the configuration changes. With 1,448 queues and a saturated link,
// instances crashed with a segmentation fault shortly after a configuration had come into force:
// submissions that had waited for the store were refused, and their retry_after was calculated from
// the queue's entry in the previous configuration, which had been freed.

#include <boost/test/unit_test.hpp>

#include "Model/ExploredCell.h"
#include "Node/JobStore.h"

using namespace yardhill;
using namespace yardhill::model;
using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(RouteLifetimeTest)

BOOST_AUTO_TEST_CASE(a_call_may_outlive_the_configuration_it_arrived_under)
{
  // With a configuration this large the allocator returns the freed memory to the system at once.
  constexpr std::size_t k_queues = 40000;
  explored_cell cell(1);
  const auto run_for = [&cell](milliseconds span)
  { cell.time().run_until(cell.time().now() + span); };
  cell.configure(2, k_queues);
  run_for(seconds{4});
  const std::vector<std::string> parts = node::job_parts();
  cell.store().silence_parts({parts.begin(), parts.end()});
  unsigned status = 0;
  cell.instances().front().core->handle(
      {http::method::post,
       k_host,
       std::string(k_plain_prefix) + "0123456789abcdef",
       R"({"spec":"text","phases":[{"count":1,"cpu":100,"mem_mb":10,"estimate_ms":100}]})",
       {"3000"}},
      [&status](const http::outgoing_reply& answer) { status = answer.status; });
  run_for(milliseconds{100});
  BOOST_TEST(status == 0U);
  cell.configure(3);
  run_for(seconds{4});
  BOOST_TEST(cell.instances().front().metrics->value(common::gauge::config_version) == 3U);
  BOOST_TEST(status == 504U);
}

BOOST_AUTO_TEST_SUITE_END()
