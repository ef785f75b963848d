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
  accept({fate::lost}, k_one_write);
  BOOST_TEST((got->end == node::accept_outcome::refused));
  BOOST_TEST(wire.calls == 2);
  BOOST_TEST(!kept());
}

// Guards against refusals of jobs that arrive shortly before the store is back: after a reset
// connection only a refusal mark was written, and the caller had no time left to retry.
BOOST_FIXTURE_TEST_CASE(a_write_without_a_reply_is_repeated, accepting)
{
  accept({fate::lost, fate::lost, fate::lost, fate::lost});
  BOOST_TEST((got->end == node::accept_outcome::accepted));
  BOOST_TEST(got->first);
  BOOST_TEST(wire.calls == 5);
  BOOST_TEST(kept());
}

// Guards against a link that stays full: the copies of the rows that it could not carry in time
// would delay the owner's renewals, and owners would be replaced.
BOOST_FIXTURE_TEST_CASE(a_write_that_timed_out_is_repeated_after_as_long_again, accepting)
{
  wire.fates = {fate::timed_out};
  submit([this](const node::accept_result& result) { got = result; });
  time.run_until(time.now() + std::chrono::milliseconds{1790});
  BOOST_TEST(wire.calls == 1);
  time.run_until(time.now() + std::chrono::milliseconds{20});
  BOOST_TEST(wire.calls == 2);
  BOOST_TEST_REQUIRE(got.has_value());
  BOOST_TEST((got->end == node::accept_outcome::accepted));
  BOOST_TEST(got->first);
}

// The store resets the first write and then rejects some, as when it restarts.
BOOST_FIXTURE_TEST_CASE(a_write_without_a_reply_is_repeated_after_rejections, accepting)
{
  accept({fate::lost, fate::turned_away, fate::turned_away, fate::turned_away});
  BOOST_TEST((got->end == node::accept_outcome::accepted));
  BOOST_TEST(got->first);
  BOOST_TEST(kept());
}

BOOST_FIXTURE_TEST_CASE(a_submission_is_refused_after_its_last_write_without_a_reply, accepting)
{
  wire.job_writes = fate::lost;
  const common::time_point begin = time.now();
  common::time_point end{};
  submit(
      [this, &end](const node::accept_result& result)
      {
        got = result;
        end = time.now();
      });
  time.run_until(begin + std::chrono::seconds{4});
  BOOST_TEST_REQUIRE(got.has_value());
  BOOST_TEST((got->end == node::accept_outcome::refused));
  BOOST_TEST((got->evidence == node::row_evidence::marked));
  BOOST_TEST(wire.calls == 10); // nine writes in 2.64 s and the mark
  BOOST_TEST((end - begin == std::chrono::milliseconds{2640}));
  BOOST_TEST(!kept());
}

BOOST_FIXTURE_TEST_CASE(writes_and_marks_without_a_reply_leave_the_outcome_unknown, accepting)
{
  accept(std::deque<fate>(60, fate::lost));
  BOOST_TEST((got->end == node::accept_outcome::unknown));
}

// Guards against a reason that hides the write whose outcome is unknown.
BOOST_FIXTURE_TEST_CASE(later_rejections_do_not_hide_the_write_without_a_reply, accepting)
{
  std::deque<fate> fates(60, fate::turned_away);
  fates.push_front(fate::lost);
  accept(std::move(fates));
  BOOST_TEST((got->end == node::accept_outcome::unknown));
  BOOST_TEST(got->detail == "the store did not answer: lost");
}

// Guards against a job that runs although it was refused: the store carries out a write of the
// refused call seconds later.
BOOST_FIXTURE_TEST_CASE(no_late_copy_of_a_write_undoes_a_refusal, accepting)
{
  wire.job_writes = fate::held;
  accept({});
  BOOST_TEST_REQUIRE((got->end == node::accept_outcome::refused));
  BOOST_TEST_REQUIRE(wire.held.size() > 1U);
  wire.carry_out_held();
  BOOST_TEST(!kept());
}

// The held writes expect the version of an earlier mark, which the mark of their own call replaces.
BOOST_FIXTURE_TEST_CASE(no_late_replacement_of_an_earlier_mark_undoes_a_refusal, accepting)
{
  accept({fate::lost}, k_one_write);
  BOOST_TEST_REQUIRE((got->end == node::accept_outcome::refused));
  wire.job_writes = fate::held;
  accept({fate::answered}); // it finds the mark
  BOOST_TEST_REQUIRE((got->end == node::accept_outcome::refused));
  BOOST_TEST_REQUIRE(wire.held.size() > 1U);
  wire.carry_out_held();
  BOOST_TEST(!kept());
}

BOOST_FIXTURE_TEST_CASE(a_late_replacement_of_an_earlier_mark_is_recognized, accepting)
{
  accept({fate::lost}, k_one_write);
  BOOST_TEST_REQUIRE((got->end == node::accept_outcome::refused));
  accept({fate::answered, fate::answer_lost});
  BOOST_TEST((got->end == node::accept_outcome::accepted));
  BOOST_TEST(got->first);
  BOOST_TEST(kept());
}

// The first copy is carried out while the call waits for its next attempt, the others never.
BOOST_FIXTURE_TEST_CASE(a_copy_carried_out_between_two_attempts_is_recognized, accepting)
{
  wire.fates = {fate::held, fate::lost, fate::lost};
  submit([this](const node::accept_result& result) { got = result; });
  time.run_until(time.now() + std::chrono::milliseconds{200});
  BOOST_TEST_REQUIRE(!got.has_value());
  wire.carry_out_held();
  time.run_until(time.now() + std::chrono::milliseconds{300});
  BOOST_TEST_REQUIRE(got.has_value());
  BOOST_TEST((got->end == node::accept_outcome::accepted));
  BOOST_TEST(got->first);
  BOOST_TEST(kept());
}

// The copy is carried out after the last attempt, just before the mark.
BOOST_FIXTURE_TEST_CASE(a_mark_finds_the_job_that_a_late_copy_stored, accepting)
{
  accept({fate::answer_lost}, k_one_write);
  BOOST_TEST((got->end == node::accept_outcome::accepted));
  BOOST_TEST(got->first);
  BOOST_TEST(kept());
}

BOOST_FIXTURE_TEST_CASE(a_mark_whose_reply_was_lost_is_replaced_before_the_refusal, accepting)
{
  accept({fate::held, fate::answer_lost}, k_one_write);
  BOOST_TEST((got->end == node::accept_outcome::refused));
  wire.carry_out_held();
  BOOST_TEST(!kept());
}

// The outcome of the first call is unknown, and its caller submits the job again.
BOOST_FIXTURE_TEST_CASE(a_late_mark_does_not_replace_a_stored_job, accepting)
{
  accept({fate::lost, fate::held, fate::lost, fate::lost, fate::lost, fate::lost}, k_one_write);
  BOOST_TEST_REQUIRE((got->end == node::accept_outcome::unknown));
  BOOST_TEST_REQUIRE(wire.held.size() == 1U);
  accept({});
  BOOST_TEST_REQUIRE((got->end == node::accept_outcome::accepted));
  wire.carry_out_held();
  BOOST_TEST(kept());
}

// A write that the store rejects as invalid will never be carried out, so it is not repeated.
BOOST_FIXTURE_TEST_CASE(an_invalid_write_is_not_repeated, accepting)
{
  accept({fate::invalid});
  BOOST_TEST((got->end == node::accept_outcome::refused));
  BOOST_TEST(wire.calls == 2);
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

namespace
{
// The store rejects or does not answer any write of a job, until it answers again after `outage`.
struct waiting_for_store : accepting
{
  std::optional<std::chrono::milliseconds> waited; // from the end of the outage to the result

  void accept_during_outage(fate each, std::chrono::milliseconds outage)
  {
    wire.job_writes = each;
    jobs.store_lost();
    const common::time_point end = time.now() + outage;
    submit(
        [this, end](const node::accept_result& result)
        {
          got = result;
          waited = std::chrono::duration_cast<std::chrono::milliseconds>(time.now() - end);
        });
    time.run_until(end);
    BOOST_TEST_REQUIRE(!got.has_value());
    BOOST_TEST(jobs.submissions_waiting());
    wire.job_writes = fate::answered;
    jobs.store_restored(40);
    time.run_until(end + std::chrono::seconds{4});
    BOOST_TEST_REQUIRE(got.has_value());
    BOOST_TEST(!jobs.submissions_waiting());
  }
};
} // namespace

// Guards against submissions that wait for their retry time although the store is back.
BOOST_FIXTURE_TEST_CASE(a_reset_write_is_repeated_as_soon_as_the_store_answers, waiting_for_store)
{
  accept_during_outage(fate::lost, std::chrono::milliseconds{1000}); // its retry is due at 1,380 ms
  BOOST_TEST((got->end == node::accept_outcome::accepted));
  BOOST_TEST(got->first);
  BOOST_TEST((*waited == std::chrono::milliseconds{0}));
}

BOOST_FIXTURE_TEST_CASE(a_rejected_write_is_repeated_as_soon_as_the_store_answers,
                        waiting_for_store)
{
  accept_during_outage(fate::turned_away, std::chrono::milliseconds{1000});
  BOOST_TEST((got->end == node::accept_outcome::accepted));
  BOOST_TEST((*waited == std::chrono::milliseconds{0}));
}

BOOST_FIXTURE_TEST_CASE(a_write_that_timed_out_is_repeated_as_soon_as_the_store_answers,
                        waiting_for_store)
{
  accept_during_outage(fate::timed_out, std::chrono::milliseconds{1000});
  BOOST_TEST((got->end == node::accept_outcome::accepted));
  BOOST_TEST((*waited == std::chrono::milliseconds{0}));
}

// The last retry time before the deadline is 2,820 ms after the first write.
BOOST_FIXTURE_TEST_CASE(a_rejected_submission_waits_for_the_store_until_its_deadline,
                        waiting_for_store)
{
  accept_during_outage(fate::turned_away, std::chrono::milliseconds{2900});
  BOOST_TEST((got->end == node::accept_outcome::accepted));
  BOOST_TEST((*waited == std::chrono::milliseconds{0}));
}

BOOST_FIXTURE_TEST_CASE(a_submission_ends_by_its_deadline_though_the_store_does_not_answer,
                        accepting)
{
  jobs.store_lost();
  const common::time_point begin = time.now();
  common::time_point end{};
  wire.job_writes = fate::turned_away;
  submit(
      [this, &end](const node::accept_result& result)
      {
        got = result;
        end = time.now();
      });
  time.run_until(begin + std::chrono::seconds{4});
  BOOST_TEST_REQUIRE(got.has_value());
  BOOST_TEST((got->end == node::accept_outcome::unknown));
  BOOST_TEST((end - begin < std::chrono::seconds{3}));
  BOOST_TEST(!jobs.submissions_waiting());
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
