// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// A job ran although its caller had been told that it never would (periyar, instances killed one
// after the other while the store was slow). Its first submission was kept, but the instance that
// kept it was killed before it answered. The caller sent the job again, to an instance that had
// started 0.1 s before and refused everything with 503 as long as it had no configuration. The
// cause: a refusal is a promise about the job, and the instance knew of that one call only. The
// proof: the cases below, each with a job that is kept, or may still be, when it is sent again.

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
constexpr unsigned k_unknown = 504;
const std::string k_id = "00000000000000aa";

// A job that waits for a worker of its kind as long as the test lasts.
std::string submission()
{
  const json step{{wire::k_count, 1},
                  {wire::k_cpu, 500},
                  {wire::k_memory, 100},
                  {wire::k_estimate_ms, 900},
                  {wire::k_required_label, "none-has-it"}};
  return json{{wire::k_payload, "payload"}, {wire::k_steps, json::array({step})}}.dump();
}

// A cell whose instances are at work, and one caller that asks the instance it names.
struct refusing
{
  explored_cell cell{k_seed};
  std::optional<http::outgoing_answer> got;
  common::time_point answered_at{};

  refusing() { run_for(seconds{3}); }

  explored_instance& instance(std::size_t which) { return cell.instances()[which]; }
  void run_for(milliseconds span) { cell.time().run_until(cell.time().now() + span); }

  void submit(std::size_t which) { ask(which, http::method::post, submission()); }

  void ask(std::size_t which, http::method verb, const std::string& body)
  {
    got.reset();
    instance(which).core->handle({verb, model::k_host, model::k_plain_prefix + k_id, body, "3000"},
                                 [this](const http::outgoing_answer& answer)
                                 {
                                   got = answer;
                                   answered_at = cell.time().now();
                                 });
  }

  // Kept by an instance that is killed before it hears so.
  void keep_unheard(std::size_t which)
  {
    cell.network().troubles.lost_store_reply_share = 1.0;
    submit(which);
    run_for(milliseconds{10});
    BOOST_TEST_REQUIRE(!got.has_value());
    cell.end_instance(instance(which));
    cell.network().troubles.lost_store_reply_share = 0.0;
    ask(which + 1, http::method::get, {});
    run_for(milliseconds{50});
    BOOST_TEST_REQUIRE(got.has_value());
    BOOST_TEST_REQUIRE(got->status == 200U);
  }

  void cut(std::size_t which, const std::string& from)
  {
    cell.network().troubles.cuts.insert({instance(which).name, from});
  }

  // Other writes wait in the part where the job's row lies.
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

  bool says_when_to_come_back() const
  {
    return std::any_of(got->headers.begin(), got->headers.end(),
                       [](const auto& each) { return each.first == "Retry-After"; });
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(RefusalTest)

BOOST_FIXTURE_TEST_CASE(an_instance_that_has_just_started_does_not_refuse_what_is_kept, refusing)
{
  keep_unheard(0);
  cell.start_instance(instance(0));
  submit(0);
  run_for(seconds{1});
  BOOST_TEST_REQUIRE(got.has_value());
  BOOST_TEST(got->status == 200U);
}

BOOST_FIXTURE_TEST_CASE(an_instance_without_a_configuration_says_that_it_does_not_know, refusing)
{
  keep_unheard(0);
  cut(0, "store");
  cell.start_instance(instance(0));
  const common::time_point begin = cell.time().now();
  submit(0);
  run_for(seconds{1});
  BOOST_TEST_REQUIRE(got.has_value());
  BOOST_TEST(got->status == k_unknown);
  BOOST_TEST(says_when_to_come_back());
  BOOST_TEST((answered_at - begin <= milliseconds{500}));
  // Once the configuration is late, nobody is kept waiting for it.
  submit(0);
  BOOST_TEST_REQUIRE(got.has_value());
  BOOST_TEST(got->status == k_unknown);
}

BOOST_FIXTURE_TEST_CASE(an_isolated_instance_does_not_refuse_what_is_kept, refusing)
{
  keep_unheard(0);
  for (const char* const other : {"store", "instance-0", "instance-2", "instance-3"})
    cut(1, other);
  run_for(seconds{3});
  submit(1);
  run_for(seconds{3});
  BOOST_TEST_REQUIRE(got.has_value());
  BOOST_TEST(got->status == k_unknown);
  BOOST_TEST(says_when_to_come_back());
}

// The first submission's write waits in a slow store for its turn, and the second one's is turned
// away; the row is there a second later.
BOOST_FIXTURE_TEST_CASE(a_submission_that_waits_in_the_store_is_not_refused, refusing)
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

BOOST_FIXTURE_TEST_CASE(a_store_that_turns_writes_away_says_nothing_of_what_is_kept, accepting)
{
  accept({});
  BOOST_TEST_REQUIRE(kept());
  accept(std::deque<fate>(20, fate::turned_away));
  BOOST_TEST((got->end == node::accept_end::unknown));
}

// The mark of an earlier refusal may be about to be replaced by a write that is still on its way.
BOOST_FIXTURE_TEST_CASE(a_mark_that_another_call_wrote_settles_nothing, accepting)
{
  accept({fate::lost}); // refused: the mark is there
  BOOST_TEST_REQUIRE((got->end == node::accept_end::refused));
  std::deque<fate> fates(60, fate::turned_away);
  fates.push_front(fate::held);
  fates.push_front(fate::answered); // it finds the mark, and its next write is on its way for long
  accept(std::move(fates));
  BOOST_TEST_REQUIRE(wire.held.size() == 1U);
  accept({fate::lost});
  const bool refused = got->end == node::accept_end::refused;
  wire.carry_out_held();
  BOOST_TEST((!refused || !kept()));
}

// The caller's connection broke, and it sent the job again while the first call went on: that one
// must not undo the refusal that the second call has been told.
BOOST_FIXTURE_TEST_CASE(an_earlier_call_that_is_still_under_way_does_not_undo_a_refusal, accepting)
{
  wire.fates = {fate::turned_away, fate::lost};
  std::optional<node::accept_result> first;
  submit([&first](const node::accept_result& result) { first = result; });
  std::optional<node::accept_result> second;
  submit([&second](const node::accept_result& result) { second = result; });
  time.run_until(time.now() + seconds{4});
  BOOST_TEST_REQUIRE((second && second->end == node::accept_end::refused));
  BOOST_TEST_REQUIRE(first.has_value());
  BOOST_TEST((first->end == node::accept_end::unknown));
  BOOST_TEST(!kept());
}

// "No such job" is a promise as well.
BOOST_FIXTURE_TEST_CASE(a_row_that_cannot_be_read_is_not_a_missing_job, accepting)
{
  wire.store.put(node::job_key(k_id), "{");
  std::optional<node::found_job> found;
  jobs.find(k_id, seconds{1}, [&found](const node::found_job& job) { found = job; });
  time.run_until(time.now() + seconds{1});
  BOOST_TEST_REQUIRE(found.has_value());
  BOOST_TEST(!found->answered);
}

BOOST_FIXTURE_TEST_CASE(a_job_that_was_refused_may_be_handed_in_again, accepting)
{
  accept({fate::lost});
  BOOST_TEST_REQUIRE((got->end == node::accept_end::refused));
  accept({});
  BOOST_TEST((got->end == node::accept_end::accepted));
  BOOST_TEST(kept());
}

// A submission that came late in the grace of a planned stop was tried until its caller's patience
// ended, which lay behind the end of the process: its connection was cut without an answer.
BOOST_FIXTURE_TEST_CASE(an_instance_that_stops_answers_before_its_process_ends, refusing)
{
  cell.network().troubles.lost_store_reply_share = 1.0;
  instance(0).core->begin_stop(milliseconds{1000});
  run_for(milliseconds{300});
  submit(0);
  run_for(milliseconds{700});
  BOOST_TEST_REQUIRE(got.has_value());
  BOOST_TEST(got->status == 504U); // it may be kept
}

BOOST_AUTO_TEST_SUITE_END()
