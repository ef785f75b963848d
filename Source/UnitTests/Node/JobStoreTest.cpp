// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <boost/test/unit_test.hpp>

#include "Node/JobStoreHarness.h"

using namespace yardhill;
using node::accepting;
using node::fate;

BOOST_AUTO_TEST_SUITE(JobStoreTest)

BOOST_FIXTURE_TEST_CASE(a_write_that_was_lost_is_refused_once_it_can_happen_no_more, accepting)
{
  accept({fate::lost});
  BOOST_TEST((got->end == node::accept_outcome::refused));
  BOOST_TEST(wire.calls == 2);
  BOOST_TEST(!kept());
}

BOOST_FIXTURE_TEST_CASE(a_write_whose_answer_was_lost_is_found_again, accepting)
{
  accept({fate::answer_lost});
  BOOST_TEST((got->end == node::accept_outcome::accepted));
  BOOST_TEST(got->first); // so that the owner is told
}

// Explorer, seeds 75 and 109, on a trial: the first copy had been done, the others were turned
// away, and the caller was told that the job is not kept.
BOOST_FIXTURE_TEST_CASE(a_refusal_is_settled_if_an_earlier_copy_may_be_done, accepting)
{
  accept({fate::answer_lost, fate::turned_away, fate::turned_away, fate::turned_away,
          fate::turned_away, fate::turned_away});
  BOOST_TEST((got->end != node::accept_outcome::refused || !kept()));
  BOOST_TEST((got->end == node::accept_outcome::accepted));
}

// Nothing was done by this submission, but an earlier one of the same id may be kept.
BOOST_FIXTURE_TEST_CASE(calls_that_were_all_turned_away_tell_nothing_of_the_job, accepting)
{
  accept(std::deque<fate>(20, fate::turned_away));
  BOOST_TEST((got->end == node::accept_outcome::unknown));
  BOOST_TEST(wire.calls == 9); // in 2.8 s
  BOOST_TEST(!kept());
}

// Two partitions would run it: the one that its row names, and the one that this call chose.
BOOST_FIXTURE_TEST_CASE(a_row_that_another_call_has_kept_is_not_taken_for_its_own, accepting)
{
  home = "cell-2-of-2";
  accept({});
  BOOST_TEST(got->first);
  home = "cell-1-of-2";
  accept({fate::lost});
  BOOST_TEST((got->end == node::accept_outcome::accepted));
  BOOST_TEST(!got->first);
}

BOOST_FIXTURE_TEST_CASE(a_submission_is_kept_as_soon_as_the_store_takes_it, accepting)
{
  accept({fate::turned_away, fate::turned_away, fate::turned_away, fate::turned_away});
  BOOST_TEST((got->end == node::accept_outcome::accepted));
  BOOST_TEST(got->first);
  BOOST_TEST(wire.calls == 5);
  BOOST_TEST(kept());
}

BOOST_AUTO_TEST_SUITE_END()
