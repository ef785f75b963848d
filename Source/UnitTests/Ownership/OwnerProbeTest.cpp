// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// What workers' words on a silent owner amount to.

#include <boost/test/unit_test.hpp>

#include "Ownership/OwnerProbe.h"

using namespace yardhill::ownership;
using std::chrono::milliseconds;

namespace
{
constexpr duration k_most_age = milliseconds{1500};

claim_answer claimed_by(const std::string& owner, term_number term, milliseconds age)
{
  claim_answer news;
  news.owner = instance_id{owner};
  news.term = term;
  news.owner_age = age;
  return news;
}
} // namespace

BOOST_AUTO_TEST_SUITE(OwnerProbeTest)

BOOST_AUTO_TEST_CASE(only_a_young_claim_of_another_at_the_known_term_speaks_for_a_living_owner)
{
  owner_probe probe(instance_id{"me"});
  probe.answered(worker_id{"w1"}, claimed_by("other", 5, milliseconds{700}));
  probe.answered(worker_id{"w2"}, claimed_by("other", 5, milliseconds{2000}));
  probe.answered(worker_id{"w3"}, claimed_by("other", 4, milliseconds{100}));
  probe.answered(worker_id{"w4"}, claimed_by("me", 6, milliseconds{100}));
  const owner_probe::findings found = probe.evaluate(5, k_most_age);
  BOOST_TEST(probe.answers() == 4U);
  BOOST_TEST(found.alive == 1U);
  BOOST_TEST((found.youngest == milliseconds{700}));
  BOOST_TEST(found.highest == 6U);
}

BOOST_AUTO_TEST_CASE(a_worker_that_nobody_ever_claimed_speaks_for_nobody)
{
  owner_probe probe(instance_id{"me"});
  probe.answered(worker_id{"w1"}, claimed_by("", 0, milliseconds{0}));
  BOOST_TEST(probe.evaluate(0, k_most_age).alive == 0U);
}

BOOST_AUTO_TEST_CASE(words_of_removed_workers_do_not_count)
{
  owner_probe probe(instance_id{"me"});
  probe.answered(worker_id{"w1"}, claimed_by("other", 5, milliseconds{700}));
  probe.answered(worker_id{"w2"}, claimed_by("other", 9, milliseconds{700}));
  probe.keep_only({worker_id{"w1"}});
  BOOST_TEST(probe.answers() == 1U);
  BOOST_TEST(probe.evaluate(1, k_most_age).highest == 5U);
}

BOOST_AUTO_TEST_SUITE_END()
