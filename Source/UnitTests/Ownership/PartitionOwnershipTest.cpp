// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Ownership of one partition with three workers that are asked by hand.

#include <boost/test/unit_test.hpp>

#include "Ownership/PartitionOwnership.h"

using namespace yardhill::ownership;

namespace
{
struct fixture
{
  ownership_options options;
  metrics counts;
  time_point now{std::chrono::seconds{100}};
  std::vector<worker_id> workers{worker_id{"w1"}, worker_id{"w2"}, worker_id{"w3"}};
  partition_ownership own{{zone_id{"a"}, 0}, instance_id{"a-1@1"}, options, counts, now};

  fixture() { own.configure(workers, now); }

  static claim_answer accepted(const claim_request& request)
  {
    claim_answer answer;
    answer.accepted = true;
    answer.term = request.term;
    answer.owner = request.owner;
    answer.boot = "boot";
    answer.ticket = 1;
    return answer;
  }

  // Takes the partition at term 1, with the given workers' word.
  ownership_output take(std::size_t answering)
  {
    own.handed_over(0, now);
    own.take_output();
    own.term_allotted(1, now);
    ownership_output claims = own.take_output();
    for (std::size_t index = 0; index < answering; ++index)
    {
      const worker_claim& claim = claims.claims[index];
      own.claim_answered(claim.worker, claim.request, accepted(claim.request), now, now);
    }
    return own.take_output();
  }
};
} // namespace

BOOST_FIXTURE_TEST_SUITE(partition_ownership_suite, fixture)

BOOST_AUTO_TEST_CASE(a_majority_of_workers_makes_the_owner)
{
  BOOST_TEST(!take(1).became_owner);
  BOOST_TEST(!own.owns());
}

BOOST_AUTO_TEST_CASE(two_of_three_are_a_majority_until_the_window_has_passed)
{
  BOOST_TEST(take(2).became_owner);
  BOOST_TEST(own.has_majority(now + options.confirm_window));
  BOOST_TEST(!own.has_majority(now + options.confirm_window + std::chrono::milliseconds{1}));
}

BOOST_AUTO_TEST_CASE(a_higher_term_at_one_worker_ends_ownership)
{
  take(3);
  claim_request request;
  request.term = 1;
  request.owner = instance_id{"a-1@1"};
  claim_answer refused;
  refused.term = 2;
  refused.owner = instance_id{"a-2@1"};
  own.claim_answered(workers[0], request, refused, now, now);
  BOOST_TEST(own.take_output().lost);
  BOOST_TEST(own.known_term() == 2U);
}

// What runs there would otherwise count as running for good.
BOOST_AUTO_TEST_CASE(a_worker_that_is_no_longer_declared_is_given_up_when_its_leases_are_over)
{
  take(3);
  own.configure({workers[0], workers[1]}, now);
  const ownership_output out = own.take_output();
  BOOST_REQUIRE(out.lost_workers.size() == 1U);
  BOOST_TEST(out.lost_workers.front().worker.value == "w3");
  BOOST_TEST((out.lost_workers.front().lapses == now + options.longest_own_run()));
}

BOOST_AUTO_TEST_SUITE_END()
