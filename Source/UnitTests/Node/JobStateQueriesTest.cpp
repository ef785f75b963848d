// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <memory>
#include <optional>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "Node/JobStateQueries.h"
#include "Node/OwnerHarness.h"

using namespace yardhill;
using std::chrono::milliseconds;

namespace
{
constexpr const char* k_id = "0123456789abcdef";

jobs::accepted_job small_job()
{
  jobs::accepted_job job;
  job.id = k_id;
  job.queue = "queue";
  job.home = node::k_partition;
  job.spec.steps.emplace_back();
  return job;
}

// The owner of the partition and another instance that follows the partition.
struct two_instances
{
  node::owner_under_test own;
  std::vector<std::unique_ptr<node::partition_owner>> owning;
  std::vector<std::unique_ptr<node::partition_owner>> following;
  bool disconnected = false;
  common::call_numbers owner_numbers{"life-1"};
  common::call_numbers follower_numbers{"life-2"};
  node::job_state_queries at_owner{
      own.time, owner_numbers,
      [this](const std::string&, const common::peer_message& message)
      {
        if (!disconnected)
          follower.on_reply("instance-1", std::get<common::job_state_reply>(message));
      },
      owning};
  node::job_state_queries follower{
      own.time, follower_numbers,
      [this](const std::string& peer, const common::peer_message& message)
      {
        BOOST_TEST(peer == "instance-1");
        if (!disconnected)
          at_owner.on_query("instance-2", std::get<common::job_state_query>(message));
      },
      following};
  bool answered = false;
  std::optional<jobs::job_state> state;

  two_instances()
  {
    owning.push_back(own.another({"instance-1", "life-1"}));
    following.push_back(own.another({"instance-2", "life-2"}));
    own.pass(*owning.front(), milliseconds{100});
    BOOST_TEST_REQUIRE(owning.front()->owns());
    following.front()->owner_row_changed(own.owner_row());
    follower.peer_reachable("instance-1");
  }

  void ask()
  {
    answered = false;
    follower.ask(*following.front(), k_id,
                 [this](std::optional<jobs::job_state> reply)
                 {
                   answered = true;
                   state = reply;
                 });
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(JobStateQueriesTest)

BOOST_FIXTURE_TEST_CASE(the_owner_returns_the_state_of_a_job_it_knows, two_instances)
{
  owning.front()->job_accepted_here(small_job(), 1000);
  ask();
  BOOST_TEST(answered);
  BOOST_TEST_REQUIRE(state.has_value());
  BOOST_TEST((*state == jobs::job_state::queued));
}

BOOST_FIXTURE_TEST_CASE(a_final_state_is_returned_once_it_is_written, two_instances)
{
  owning.front()->job_accepted_here(small_job(), 1000);
  owning.front()->job_cancelled_here(k_id);
  ask();
  BOOST_TEST_REQUIRE(state.has_value());
  BOOST_TEST((*state == jobs::job_state::active));
  own.pass(*owning.front(), milliseconds{200});
  ask();
  BOOST_TEST_REQUIRE(state.has_value());
  BOOST_TEST((*state == jobs::job_state::cancelled));
}

BOOST_FIXTURE_TEST_CASE(a_job_that_the_owner_does_not_know_is_left_to_the_store, two_instances)
{
  ask();
  BOOST_TEST(answered);
  BOOST_TEST(!state.has_value());
}

BOOST_FIXTURE_TEST_CASE(a_query_to_an_owner_that_does_not_answer_times_out, two_instances)
{
  disconnected = true;
  ask();
  BOOST_TEST(!answered);
  own.time.run_until(own.time.now() + milliseconds{200});
  follower.tick(own.time.now());
  BOOST_TEST(answered);
  BOOST_TEST(!state.has_value());
  follower.peer_unreachable("instance-1");
  ask();
  BOOST_TEST(answered);
}

// Guards against returning the state of another job: the owner answers a query of an earlier
// process of this name.
BOOST_FIXTURE_TEST_CASE(a_reply_to_a_query_of_an_earlier_process_is_ignored, two_instances)
{
  disconnected = true;
  std::uint64_t earlier_number = 0;
  common::call_numbers earlier_numbers{"life-of-earlier-process"};
  node::job_state_queries earlier(
      own.time, earlier_numbers,
      [&earlier_number](const std::string&, const common::peer_message& message)
      { earlier_number = std::get<common::job_state_query>(message).number; },
      following);
  earlier.peer_reachable("instance-1");
  earlier.ask(*following.front(), "another job", [](const auto&) {});
  ask();
  follower.on_reply("instance-1", {earlier_number, true, 3});
  BOOST_TEST(!answered);
}

BOOST_AUTO_TEST_SUITE_END()
