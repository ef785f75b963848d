// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <boost/test/unit_test.hpp>

#include "Node/JobStoreHarness.h"

using namespace yardhill;
using node::accepting;
using node::fate;

BOOST_AUTO_TEST_SUITE(JobStoreTest)

BOOST_FIXTURE_TEST_CASE(a_lost_write_is_refused_once_it_can_no_longer_be_carried_out, accepting)
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
  BOOST_TEST(got->first); // so that the owner is notified
}

// Guards against a false refusal (explorer, seeds 75 and 109): the first copy of the write had been
// carried out, the others were rejected, and the caller was told that the job is not stored.
BOOST_FIXTURE_TEST_CASE(a_refusal_is_confirmed_if_an_earlier_copy_may_be_done, accepting)
{
  accept({fate::answer_lost, fate::turned_away, fate::turned_away, fate::turned_away,
          fate::turned_away, fate::turned_away});
  BOOST_TEST((got->end != node::accept_outcome::refused || !kept()));
  BOOST_TEST((got->end == node::accept_outcome::accepted));
}

// This submission changed nothing, but an earlier one of the same id may be stored.
BOOST_FIXTURE_TEST_CASE(rejected_calls_leave_the_outcome_unknown, accepting)
{
  accept(std::deque<fate>(20, fate::turned_away));
  BOOST_TEST((got->end == node::accept_outcome::unknown));
  BOOST_TEST(wire.calls == 9); // in 2.8 s
  BOOST_TEST(!kept());
}

// Otherwise two partitions would run the job: the one that its row names, and the one that this
// call chose.
BOOST_FIXTURE_TEST_CASE(a_row_stored_by_another_call_is_not_reported_as_first, accepting)
{
  home = "cell-2-of-2";
  accept({});
  BOOST_TEST(got->first);
  home = "cell-1-of-2";
  accept({fate::lost});
  BOOST_TEST((got->end == node::accept_outcome::accepted));
  BOOST_TEST(!got->first);
}

BOOST_FIXTURE_TEST_CASE(a_submission_is_stored_as_soon_as_the_store_accepts_it, accepting)
{
  accept({fate::turned_away, fate::turned_away, fate::turned_away, fate::turned_away});
  BOOST_TEST((got->end == node::accept_outcome::accepted));
  BOOST_TEST(got->first);
  BOOST_TEST(wire.calls == 5);
  BOOST_TEST(kept());
}

BOOST_AUTO_TEST_SUITE_END()
