// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Tests the ownership of one partition with three workers whose replies the tests provide.

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
  partition_ownership partition{{zone_id{"a"}, 0}, instance_id{"a-1@1"}, options, counts, now};

  fixture() { partition.configure(workers, now); }

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

  // Takes the partition at term 1; the first `answering` workers accept their claims.
  ownership_output take_partition(std::size_t answering)
  {
    partition.handed_over(0, now);
    partition.take_output();
    partition.term_allotted(1, now);
    ownership_output claims = partition.take_output();
    for (std::size_t index = 0; index < answering; ++index)
    {
      const worker_claim& claim = claims.claims[index];
      partition.claim_answered(claim.worker, claim.request, accepted(claim.request), now, now);
    }
    return partition.take_output();
  }
};
} // namespace

BOOST_FIXTURE_TEST_SUITE(partition_ownership_suite, fixture)

BOOST_AUTO_TEST_CASE(one_of_three_workers_is_no_majority)
{
  BOOST_TEST(!take_partition(1).became_owner);
  BOOST_TEST(!partition.owns());
}

BOOST_AUTO_TEST_CASE(two_of_three_are_a_majority_until_the_window_has_passed)
{
  BOOST_TEST(take_partition(2).became_owner);
  BOOST_TEST(partition.has_majority(now + options.confirm_window));
  BOOST_TEST(!partition.has_majority(now + options.confirm_window + std::chrono::milliseconds{1}));
}

BOOST_AUTO_TEST_CASE(a_higher_term_at_one_worker_ends_ownership)
{
  take_partition(3);
  claim_request request;
  request.term = 1;
  request.owner = instance_id{"a-1@1"};
  claim_answer refused;
  refused.term = 2;
  refused.owner = instance_id{"a-2@1"};
  partition.claim_answered(workers[0], request, refused, now, now);
  BOOST_TEST(partition.take_output().lost);
  BOOST_TEST(partition.known_term() == 2U);
}

// Without this, runs on a worker removed from the configuration would count as running forever.
BOOST_AUTO_TEST_CASE(a_removed_worker_is_lost_when_its_leases_have_expired)
{
  take_partition(3);
  partition.configure({workers[0], workers[1]}, now);
  const ownership_output out = partition.take_output();
  BOOST_REQUIRE(out.lost_workers.size() == 1U);
  BOOST_TEST(out.lost_workers.front().worker.value == "w3");
  BOOST_TEST((out.lost_workers.front().lapses == now + options.longest_own_run()));
}

BOOST_AUTO_TEST_SUITE_END()
