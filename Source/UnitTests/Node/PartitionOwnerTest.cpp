// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <boost/test/unit_test.hpp>

#include "Node/OwnerHarness.h"

using namespace yardhill;
using node::owner_under_test;
using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(PartitionOwnerTest)

BOOST_FIXTURE_TEST_CASE(a_partition_without_an_owner_is_taken_and_kept, owner_under_test)
{
  pass(milliseconds{100});
  BOOST_TEST(owner.owns());
  pass(milliseconds{5000});
  BOOST_TEST(owner.owns());
}

BOOST_FIXTURE_TEST_CASE(an_owners_passes_are_counted, owner_under_test)
{
  BOOST_TEST(metrics.total(common::timing::decision).count == 0U);
  pass(milliseconds{1000});
  BOOST_TEST_REQUIRE(owner.owns());
  BOOST_TEST(metrics.total(common::timing::decision).count >= 10U);
}

// The instance's metrics of a partition are no longer valid once another instance owns it.
BOOST_FIXTURE_TEST_CASE(an_owner_that_has_lost_its_partition_shows_no_backlog, owner_under_test)
{
  pass(milliseconds{1000});
  BOOST_TEST_REQUIRE(owner.owns());
  metrics.set(common::gauge::hold_overdue_ms, 900);
  strongest_peer = 2 * processor_millis;
  pass(milliseconds{3000});
  BOOST_TEST_REQUIRE(!owner.owns());
  BOOST_TEST(metrics.value(common::gauge::hold_overdue_ms) == 0U);
}

// A weak instance that took the partition first serves it until a stronger one has been present for
// a while.
BOOST_FIXTURE_TEST_CASE(a_partition_is_released_to_a_stronger_instance_that_stays, owner_under_test)
{
  pass(milliseconds{1000});
  BOOST_TEST_REQUIRE(owner.owns());
  strongest_peer = 2 * processor_millis;
  pass(milliseconds{1000});
  strongest_peer = 0; // the stronger instance has gone again
  pass(milliseconds{100});
  strongest_peer = 2 * processor_millis;
  pass(milliseconds{1000});
  BOOST_TEST(owner.owns());
  pass(milliseconds{1000});
  BOOST_TEST(!owner.owns());
  BOOST_TEST(node::owner_row_from(owner_row().value)->holder.empty());
  pass(milliseconds{1000});
  BOOST_TEST(!owner.owns()); // the partition is left to the stronger instance
}

// Guards against an owner whose authority lasts longer than later owners assume. They count it from
// the owner's latest row; an owner that read its rows for seconds after its takeover counted its
// authority from the end of the reading.
BOOST_FIXTURE_TEST_CASE(the_authority_of_an_owner_starts_with_its_takeover, owner_under_test)
{
  const std::string id = "0123456789abcdef";
  jobs::accepted_job job;
  job.id = id;
  job.home = node::k_partition;
  job.spec.steps.resize(1);
  wire.store.put(node::job_key(id), jobs::to_row_text(job));
  owner.tick(time.now(), begin);
  time.run_until(time.now() + milliseconds{1});
  wire.store.set_transaction_time(seconds{6}); // longer than the authority lasts
  while (!owner.owns() && time.now() - begin < seconds{60})
    pass(milliseconds{25});
  BOOST_TEST_REQUIRE(owner.owns());
  BOOST_TEST(!owner.written_state(id).has_value());
  wire.store.set_transaction_time({});
  pass(milliseconds{7000});
  BOOST_TEST_REQUIRE(owner.owns());
  BOOST_TEST(owner.written_state(id).has_value());
}

BOOST_FIXTURE_TEST_CASE(a_partition_stays_with_an_equal_instance, owner_under_test)
{
  strongest_peer = processor_millis + processor_millis / 4;
  pass(milliseconds{5000});
  BOOST_TEST(owner.owns());
}

// Guards against two owners at once (explorer, seed 1337): an instance had released its partition
// while its feed was behind. The feed then delivered a renewal of that ownership, which was taken
// for a takeover that had got no reply; without any reply of the store the instance went on as the
// owner, beside the next one.
BOOST_FIXTURE_TEST_CASE(an_old_row_of_an_ended_ownership_does_not_bring_it_back, owner_under_test)
{
  pass(milliseconds{2500});
  BOOST_TEST_REQUIRE(owner.owns());
  const adapter::row renewal = owner_row();
  BOOST_TEST(node::owner_row_from(renewal.value)->renewal > 0U);
  path.send_directly({http::method::get, "/probe", {}, {}}, seconds{1}, [](const http::reply&) {});
  BOOST_TEST_REQUIRE(path.direct_failing_since().has_value());
  pass(milliseconds{2500});
  BOOST_TEST_REQUIRE(!owner.owns());
  owner.owner_row_changed(renewal);
  time.run_until(time.now() + milliseconds{200});
  BOOST_TEST(!owner.owns());
}

BOOST_FIXTURE_TEST_CASE(a_takeover_whose_reply_was_lost_is_recognized_by_its_row, owner_under_test)
{
  wire.lose_answers = true;
  pass(milliseconds{25});
  time.run_until(time.now() + milliseconds{5});
  wire.lose_answers = false;
  BOOST_TEST(!owner.owns());
  owner.owner_row_changed(owner_row());
  time.run_until(time.now() + milliseconds{100});
  BOOST_TEST(owner.owns());
}

// Guards against a lost cancellation (explorer, seed 113041): replies of the store were lost, so
// that a caller learned of the cancellation before the instance that had stored the job was sure of
// it and notified the owner. The owner had ignored the cancellation of a job that it did not know,
// and the feed came 11 s later.
BOOST_FIXTURE_TEST_CASE(a_cancellation_received_before_its_job_is_applied, owner_under_test)
{
  pass(milliseconds{100});
  BOOST_TEST_REQUIRE(owner.owns());
  jobs::accepted_job job;
  job.id = "0123456789abcdef";
  job.home = node::k_partition;
  job.spec.steps.resize(1);
  owner.on_notice({job.id, {}, 0});
  owner.on_notice({job.id, jobs::to_row_text(job), 1000});
  pass(milliseconds{300});
  BOOST_TEST((owner.written_state(job.id) == jobs::job_state::cancelled));
}

// Guards against two reads of the jobs at the same time (explorer, seed 210931): the feed's history
// was gone and all jobs were read again. Meanwhile the store answered after a silence, so that the
// feed asked anew and all jobs were read a second time. The first read ended after the ownership
// and passed its jobs to a scheduler that no longer existed.
BOOST_FIXTURE_TEST_CASE(jobs_are_read_again_once_at_a_time, owner_under_test)
{
  pass(milliseconds{100});
  BOOST_TEST_REQUIRE(owner.owns());
  const auto calls_after_loss = [this](bool heard)
  {
    const unsigned before = wire.calls;
    wire.store.discard_history();
    time.run_until(time.now() + milliseconds{1});
    if (heard)
      owner.on_store_reachable();
    time.run_until(time.now() + milliseconds{60});
    return wire.calls - before;
  };
  const unsigned usual = calls_after_loss(false);
  BOOST_TEST(usual > 8U); // all parts of the jobs' table
  BOOST_TEST(calls_after_loss(true) == usual);
}

// The partition's own rows say which workers may be running something; the worker entries only show
// where there is free capacity.
BOOST_FIXTURE_TEST_CASE(unreadable_worker_entries_delay_a_takeover_only_briefly, owner_under_test)
{
  entries_known = false;
  pass(milliseconds{500});
  BOOST_TEST(!owner.owns());
  pass(milliseconds{500});
  BOOST_TEST(owner.owns());
}

BOOST_FIXTURE_TEST_CASE(a_takeover_continues_once_the_worker_entries_are_read, owner_under_test)
{
  entries_known = false;
  pass(milliseconds{200});
  BOOST_TEST(!owner.owns());
  entries_known = true;
  owner.worker_entries_read();
  BOOST_TEST(owner.owns());
}

// Guards against a cell in which no job makes progress any more: the progress of one job was
// refused by the store, and so every commit with it.
BOOST_FIXTURE_TEST_CASE(a_row_that_the_store_refuses_does_not_stop_the_others, owner_under_test)
{
  pass(milliseconds{1000});
  BOOST_TEST_REQUIRE(owner.owns());
  const std::vector<std::string> ids{"00000000000000a1", "00000000000000a2", "00000000000000a3"};
  wire.store.refuse_row({node::k_progress_table, node::k_partition, ids[1]});
  for (const std::string& id : ids)
  {
    jobs::accepted_job job;
    job.id = id;
    job.home = node::k_partition;
    job.spec.steps.emplace_back();
    owner.job_accepted_here(job, 1000);
    owner.job_cancelled_here(id);
  }
  pass(seconds{3});
  BOOST_TEST(owner.owns());
  for (const std::string& id : {ids[0], ids[2]})
    BOOST_TEST(wire.store.value({node::k_progress_table, node::k_partition, id}).has_value());
  const unsigned calls = wire.calls;
  pass(seconds{2});
  BOOST_TEST(wire.calls - calls < 20U); // the refused row is given up
}

// Guards against treating a store that refuses everything for a while as one that cannot store a
// certain job.
BOOST_FIXTURE_TEST_CASE(no_job_is_given_up_while_the_store_refuses_every_commit, owner_under_test)
{
  pass(milliseconds{1000});
  const std::string id = "00000000000000a1";
  wire.refuse = true;
  jobs::accepted_job job;
  job.id = id;
  job.home = node::k_partition;
  job.spec.steps.emplace_back();
  owner.job_accepted_here(job, 1000);
  owner.job_cancelled_here(id);
  const unsigned calls = wire.calls;
  pass(milliseconds{2000});
  BOOST_TEST(wire.calls - calls < 25U);
  wire.refuse = false;
  pass(milliseconds{1000});
  BOOST_TEST(owner.owns());
  const auto row = wire.store.value({node::k_progress_table, node::k_partition, id});
  BOOST_TEST_REQUIRE(row.has_value());
  BOOST_TEST((jobs::job_progress_from(*row).state == jobs::job_state::cancelled));
}

// Guards against losing the part of a job's progress that is in continuation rows, and against
// leaving such rows behind.
BOOST_FIXTURE_TEST_CASE(a_new_owner_reads_continuation_rows_and_removes_unneeded_ones,
                        owner_under_test)
{
  jobs::accepted_job job;
  job.id = "00000000000000a1";
  job.home = node::k_partition;
  job.spec.steps.resize(2);
  jobs::job_progress first;
  first.state = jobs::job_state::active;
  first.begun[{0, 0, 0}] = "";
  jobs::job_progress second;
  second.state = jobs::job_state::active;
  second.done = {{{true}, {true}}};
  const auto key = [](const std::string& id) {
    return adapter::row_key{node::k_progress_table, node::k_partition, id};
  };
  const std::string continuation = jobs::continuation_key(job.id, 1);
  const std::string orphan = jobs::continuation_key("00000000000000a0", 1);
  wire.store.put(node::job_key(job.id), jobs::to_row_text(job));
  wire.store.put(key(job.id), jobs::to_row_text(first));
  wire.store.put(key(continuation), jobs::to_row_text(second));
  wire.store.put(key(orphan), jobs::to_row_text(second));
  pass(seconds{2});
  BOOST_TEST_REQUIRE(owner.owns());
  const auto row = wire.store.value(key(job.id));
  BOOST_TEST_REQUIRE(row.has_value());
  BOOST_TEST((jobs::job_progress_from(*row).state == jobs::job_state::completed));
  BOOST_TEST(!wire.store.value(key(continuation)).has_value());
  BOOST_TEST(!wire.store.value(key(orphan)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
