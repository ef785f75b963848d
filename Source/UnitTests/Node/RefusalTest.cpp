// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Guards against a job that runs although its caller was told that it never would. This happened
// while instances were killed one after the other and the store was slow: the first submission was
// stored, but the instance that stored it was killed before it answered. The caller submitted the
// job again, to an instance that had started 0.1 s before and refused every request with 503 as
// long as it had no configuration. A refusal with 503 promises that the job never runs, but that
// instance knew of one submission only. In each case below the job is stored, or may still be, when
// it is submitted again.

#include <algorithm>
#include <optional>
#include <string>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "Model/ExploredCell.h"
#include "Node/JobStoreHarness.h"
#include "platform/WireNames.h"

using namespace yardhill;
using model::explored_cell;
using model::explored_instance;
using node::accepting;
using node::fate;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
using nlohmann::json;
namespace wire = adapter::wire;

constexpr std::uint64_t k_seed = 1;
constexpr unsigned k_unavailable = 503;
constexpr unsigned k_outcome_unknown = 504;
const std::string k_id = "00000000000000aa";

// A job that stays queued for the whole test, since no worker has the label that it requires.
std::string submission()
{
  const json step{{wire::k_count, 1},
                  {wire::k_cpu, 500},
                  {wire::k_memory, 100},
                  {wire::k_estimate_ms, 900},
                  {wire::k_required_label, "none-has-it"}};
  return json{{wire::k_payload, "payload"}, {wire::k_steps, json::array({step})}}.dump();
}

// A running cell and one caller, which sends each request to the instance of the given index.
struct refusing
{
  explored_cell cell{k_seed};
  std::optional<http::outgoing_reply> got;
  common::time_point answered_at{};

  refusing() { run_for(seconds{3}); }

  explored_instance& instance(std::size_t which) { return cell.instances()[which]; }
  void run_for(milliseconds span) { cell.time().run_until(cell.time().now() + span); }

  void submit(std::size_t which) { send_request(which, http::method::post, submission()); }

  void send_request(std::size_t which, http::method verb, const std::string& body)
  {
    got.reset();
    instance(which).core->handle(
        {verb, model::k_host, model::k_plain_prefix + k_id, body, {"3000"}},
        [this](const http::outgoing_reply& answer)
        {
          got = answer;
          answered_at = cell.time().now();
        });
  }

  // The job is stored by an instance that is killed before the store's reply reaches it.
  void store_without_reply(std::size_t which)
  {
    cell.network().troubles.lost_store_reply_share = 1.0;
    submit(which);
    run_for(milliseconds{10});
    BOOST_TEST_REQUIRE(!got.has_value());
    cell.end_instance(instance(which));
    cell.network().troubles.lost_store_reply_share = 0.0;
    send_request(which + 1, http::method::get, {});
    run_for(milliseconds{50});
    BOOST_TEST_REQUIRE(got.has_value());
    BOOST_TEST_REQUIRE(got->status == 200U);
  }

  void disconnect(std::size_t which, const std::string& from)
  {
    cell.network().troubles.cuts.insert({instance(which).name, from});
  }

  // Queues other writes in the part of the table that has the job's row.
  void fill_part(int writes)
  {
    for (int i = 0; i < writes; ++i)
    {
      const json row{{wire::k_table, "other"},
                     {wire::k_part, node::job_part(k_id)},
                     {wire::k_key, std::to_string(i)},
                     {wire::k_value, ""}};
      cell.store().handle({http::method::post,
                           wire::k_transact_path,
                           json{{wire::k_puts, json::array({row})}}.dump(),
                           {}},
                          [](const http::reply&) {});
    }
  }

  bool has_retry_after() const
  {
    return std::any_of(got->headers.begin(), got->headers.end(),
                       [](const auto& each) { return each.first == "Retry-After"; });
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(RefusalTest)

BOOST_FIXTURE_TEST_CASE(an_instance_that_has_just_started_does_not_refuse_a_stored_job, refusing)
{
  store_without_reply(0);
  cell.start_instance(instance(0));
  submit(0);
  run_for(seconds{1});
  BOOST_TEST_REQUIRE(got.has_value());
  BOOST_TEST(got->status == 200U);
}

BOOST_FIXTURE_TEST_CASE(an_instance_without_a_configuration_answers_that_the_outcome_is_unknown,
                        refusing)
{
  store_without_reply(0);
  disconnect(0, "store");
  cell.start_instance(instance(0));
  const common::time_point begin = cell.time().now();
  submit(0);
  run_for(seconds{1});
  BOOST_TEST_REQUIRE(got.has_value());
  BOOST_TEST(got->status == k_outcome_unknown);
  BOOST_TEST(has_retry_after());
  BOOST_TEST((answered_at - begin <= milliseconds{500}));
  // After the timeout for the configuration, no request waits for it.
  submit(0);
  BOOST_TEST_REQUIRE(got.has_value());
  BOOST_TEST(got->status == k_outcome_unknown);
}

BOOST_FIXTURE_TEST_CASE(an_isolated_instance_does_not_refuse_a_stored_job, refusing)
{
  store_without_reply(0);
  for (const char* const other : {"store", "instance-0", "instance-2", "instance-3"})
    disconnect(1, other);
  run_for(seconds{3});
  submit(1);
  run_for(seconds{3});
  BOOST_TEST_REQUIRE(got.has_value());
  BOOST_TEST(got->status == k_outcome_unknown);
  BOOST_TEST(has_retry_after());
}

// The write of the first submission is queued in a slow store, and the write of the second is
// rejected; the job's row appears a second later.
BOOST_FIXTURE_TEST_CASE(a_submission_queued_in_the_store_is_not_refused, refusing)
{
  cell.store().set_transaction_time(milliseconds{250});
  fill_part(4);
  submit(0);
  run_for(milliseconds{10});
  cell.end_instance(instance(0));
  submit(1);
  run_for(seconds{3});
  BOOST_TEST_REQUIRE(got.has_value());
  BOOST_TEST(got->status != k_unavailable);
  cell.store().set_transaction_time({});
  submit(2);
  run_for(seconds{1});
  BOOST_TEST(got->status == 200U);
}

// Guards against a submission that waits for its retry time although the store is back.
BOOST_FIXTURE_TEST_CASE(a_submission_is_accepted_shortly_after_the_store_is_back, refusing)
{
  for (std::size_t i = 0; i < cell.instances().size(); ++i)
    disconnect(i, "store");
  run_for(milliseconds{2000});
  submit(0);
  run_for(milliseconds{1900});
  BOOST_TEST_REQUIRE(!got.has_value());
  cell.network().troubles.cuts.clear();
  run_for(milliseconds{200});
  BOOST_TEST_REQUIRE(got.has_value());
  BOOST_TEST(got->status == 200U);
}

BOOST_FIXTURE_TEST_CASE(rejected_writes_do_not_show_whether_the_job_is_stored, accepting)
{
  accept({});
  BOOST_TEST_REQUIRE(kept());
  accept(std::deque<fate>(20, fate::turned_away));
  BOOST_TEST((got->end == node::accept_outcome::unknown));
}

// The mark of an earlier refusal may be about to be replaced by a write that is still in flight.
BOOST_FIXTURE_TEST_CASE(a_refusal_mark_of_another_call_does_not_settle_the_outcome, accepting)
{
  accept({fate::lost}, k_one_write); // refused: the refusal mark is written
  BOOST_TEST_REQUIRE((got->end == node::accept_outcome::refused));
  std::deque<fate> fates(60, fate::turned_away);
  fates.push_front(fate::held);
  fates.push_front(fate::answered); // it finds the mark; its next write is in flight for long
  accept(std::move(fates));
  BOOST_TEST_REQUIRE(wire.held.size() == 1U);
  accept({fate::lost}, k_one_write);
  const bool refused = got->end == node::accept_outcome::refused;
  wire.carry_out_held();
  BOOST_TEST((!refused || !kept()));
}

// The caller's connection broke, and the caller submitted the job again while the first call was
// still being processed. The first call must not undo the refusal that answered the second.
BOOST_FIXTURE_TEST_CASE(an_earlier_call_still_in_flight_does_not_undo_a_refusal, accepting)
{
  wire.fates = {fate::turned_away, fate::lost};
  std::optional<node::accept_result> first;
  submit([&first](const node::accept_result& result) { first = result; });
  std::optional<node::accept_result> second;
  submit([&second](const node::accept_result& result) { second = result; }, k_one_write);
  time.run_until(time.now() + seconds{4});
  BOOST_TEST_REQUIRE((second && second->end == node::accept_outcome::refused));
  BOOST_TEST_REQUIRE(first.has_value());
  BOOST_TEST((first->end == node::accept_outcome::unknown));
  BOOST_TEST(!kept());
}

// The answer "no such job" promises that the job never runs, just like a refusal.
BOOST_FIXTURE_TEST_CASE(an_unreadable_row_is_not_a_missing_job, accepting)
{
  wire.store.put(node::job_key(k_id), "{");
  std::optional<node::found_job> found;
  jobs.find(k_id, seconds{1}, [&found](const node::found_job& job) { found = job; });
  time.run_until(time.now() + seconds{1});
  BOOST_TEST_REQUIRE(found.has_value());
  BOOST_TEST(!found->answered);
}

BOOST_FIXTURE_TEST_CASE(a_refused_job_may_be_submitted_again, accepting)
{
  accept({fate::lost}, k_one_write);
  BOOST_TEST_REQUIRE((got->end == node::accept_outcome::refused));
  accept({});
  BOOST_TEST((got->end == node::accept_outcome::accepted));
  BOOST_TEST(kept());
}

// Guards against closing a caller's connection without an answer: a submission that came late in
// the grace period of a planned stop was retried until its caller's timeout, which lay after the
// end of the process.
BOOST_FIXTURE_TEST_CASE(a_stopping_instance_answers_before_its_process_ends, refusing)
{
  cell.network().troubles.lost_store_reply_share = 1.0;
  instance(0).core->begin_stop(milliseconds{1000});
  run_for(milliseconds{300});
  submit(0);
  run_for(milliseconds{700});
  BOOST_TEST_REQUIRE(got.has_value());
  BOOST_TEST(got->status == 504U); // the job may be stored
}

BOOST_AUTO_TEST_SUITE_END()
