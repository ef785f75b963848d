// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Tests which workers' replies show that a silent owner is alive.

#include <boost/test/unit_test.hpp>

#include "Ownership/OwnerProbe.h"

using namespace yardhill::ownership;
using std::chrono::milliseconds;

namespace
{
constexpr duration k_max_claim_age = milliseconds{1500};

claim_answer claimed_by(const std::string& owner, term_number term, milliseconds age)
{
  claim_answer reply;
  reply.owner = instance_id{owner};
  reply.term = term;
  reply.owner_age = age;
  return reply;
}
} // namespace

BOOST_AUTO_TEST_SUITE(OwnerProbeTest)

BOOST_AUTO_TEST_CASE(only_a_recent_claim_of_another_at_the_known_term_shows_a_living_owner)
{
  owner_probe probe(instance_id{"me"});
  probe.record_reply(worker_id{"w1"}, claimed_by("other", 5, milliseconds{700}));
  probe.record_reply(worker_id{"w2"}, claimed_by("other", 5, milliseconds{2000}));
  probe.record_reply(worker_id{"w3"}, claimed_by("other", 4, milliseconds{100}));
  probe.record_reply(worker_id{"w4"}, claimed_by("me", 6, milliseconds{100}));
  const owner_probe::findings found = probe.evaluate(5, k_max_claim_age);
  BOOST_TEST(probe.reply_count() == 4U);
  BOOST_TEST(found.living_owner_claims == 1U);
  BOOST_TEST((found.youngest_claim_age == milliseconds{700}));
  BOOST_TEST(found.highest_term == 6U);
}

BOOST_AUTO_TEST_CASE(a_worker_that_was_never_claimed_shows_no_living_owner)
{
  owner_probe probe(instance_id{"me"});
  probe.record_reply(worker_id{"w1"}, claimed_by("", 0, milliseconds{0}));
  BOOST_TEST(probe.evaluate(0, k_max_claim_age).living_owner_claims == 0U);
}

BOOST_AUTO_TEST_CASE(replies_of_removed_workers_do_not_count)
{
  owner_probe probe(instance_id{"me"});
  probe.record_reply(worker_id{"w1"}, claimed_by("other", 5, milliseconds{700}));
  probe.record_reply(worker_id{"w2"}, claimed_by("other", 9, milliseconds{700}));
  probe.keep_only({worker_id{"w1"}});
  BOOST_TEST(probe.reply_count() == 1U);
  BOOST_TEST(probe.evaluate(1, k_max_claim_age).highest_term == 5U);
}

BOOST_AUTO_TEST_SUITE_END()
