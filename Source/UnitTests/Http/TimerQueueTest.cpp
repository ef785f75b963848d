// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Tests the order, removal and lifetime of callbacks that share one timer of the event loop.

#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include "Http/TimerQueue.h"

using namespace yardhill;
using std::chrono::milliseconds;

namespace
{
struct queue_under_test
{
  boost::asio::io_context io;
  std::optional<http::timer_queue> queue{std::in_place, io};
  http::timer_queue::clock::time_point start_time = http::timer_queue::clock::now();
  std::string called;

  http::timer_queue::entry add(milliseconds after, char name)
  {
    return queue->add(start_time + after, [this, name] { called += name; });
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(TimerQueueTest)

BOOST_FIXTURE_TEST_CASE(callbacks_run_in_order_of_their_times, queue_under_test)
{
  add(milliseconds{30}, 'c');
  add(milliseconds{10}, 'a');
  add(milliseconds{20}, 'b');
  add(milliseconds{30}, 'd');
  io.run();
  BOOST_TEST(called == "abcd");
}

BOOST_FIXTURE_TEST_CASE(removing_an_earlier_callback_does_not_make_a_later_one_run_early,
                        queue_under_test)
{
  const auto first = add(milliseconds{10}, 'a');
  add(milliseconds{40}, 'b');
  queue->remove(first);
  io.run();
  BOOST_TEST(called == "b");
  BOOST_TEST((http::timer_queue::clock::now() >= start_time + milliseconds{40}));
}

BOOST_FIXTURE_TEST_CASE(a_callback_may_add_and_remove_others, queue_under_test)
{
  http::timer_queue::entry other;
  queue->add(start_time + milliseconds{5},
             [&]
             {
               queue->remove(other);
               add(milliseconds{0}, 'n');
             });
  other = add(milliseconds{5}, 'x');
  io.run();
  BOOST_TEST(called == "n");
}

BOOST_FIXTURE_TEST_CASE(no_callback_runs_after_the_queue_is_destroyed, queue_under_test)
{
  add(milliseconds{5}, 'a');
  queue.reset();
  io.run();
  BOOST_TEST(called.empty());
}

BOOST_AUTO_TEST_SUITE_END()
