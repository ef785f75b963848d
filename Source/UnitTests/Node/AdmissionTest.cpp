// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Guards against accepting jobs that an overloaded owner cannot start before they have lost all
// their value. Such a job is refused instead; the refusal has to be correct, has to come at once,
// and must never be given for a job that is stored.

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "Node/Admission.h"
#include "Node/CallerGateway.h"
#include "Node/JobStoreHarness.h"
#include "Node/OwnerHarness.h"
#include "Node/RetryAfter.h"
#include "platform/Ingress.h"

using namespace yardhill;
using node::accept_outcome;
using node::fate;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
const std::string k_id = "0123456789abcdef";

jobs::job_spec spec_of(milliseconds estimate)
{
  jobs::job_spec spec;
  spec.steps.emplace_back();
  spec.steps.back().demand.cpu_millis = 100;
  spec.steps.back().demand.memory_mib = 100;
  spec.steps.back().estimate = estimate;
  return spec;
}

jobs::queue_policy policy_of(std::uint32_t priority)
{
  jobs::queue_policy policy;
  policy.priority = priority;
  policy.stretch = 1.5;
  policy.latency_target = milliseconds{500};
  policy.service = "service";
  return policy;
}

// k_late_factor (3) x the latency objective (500 ms + 1.5 x 1 s), less the 1 s that the job runs.
constexpr milliseconds k_latest_start{5000};

node::owner_row row_of(milliseconds wait)
{
  node::owner_row row;
  row.holder = "instance-2";
  row.life = "life-2";
  row.epoch = 1;
  row.start_waits = {{0, milliseconds{10}}, {2, wait}};
  return row;
}

// The callers' gateway of an instance that follows a partition owned by another instance.
struct gateway_under_test : node::owner_under_test
{
  static void ignore(const std::vector<adapter::row>&) {}

  node::table_feed feed{time, store, "operator", {""}, {ignore, ignore, {}, {}, false}};
  node::configuration_watch configuration{time, feed, path, queues, seconds{5}};
  node::job_store jobs{time, store, store, metrics};
  std::vector<std::unique_ptr<node::partition_owner>> partitions;
  node::layout_manager keeper{time, store, 0};
  node::job_state_queries states{
      time, call_numbers, [](const std::string&, const common::peer_message&) {}, partitions};
  std::optional<node::caller_gateway> gateway;
  std::optional<http::outgoing_reply> got;

  gateway_under_test()
  {
    queues.routes.push_back({"urgent", "host", "/urgent/", policy_of(0)});
    queues.routes.push_back({"usual", "host", "/usual/", policy_of(2)});
    partitions.push_back(another({"instance-1", "life-1"}));
    keeper.take_in({node::layout_key(), node::to_row_text(node::layout_row{1}), 1});
    gateway.emplace(time, jobs, states, path, queues, configuration, capacities, keeper, partitions,
                    metrics);
    feed.start();
    time.run_until(time.now() + milliseconds{50});
  }

  void owner_reports(const node::owner_row& row)
  {
    const adapter::row_key key{node::k_owners_table, k_partition, node::k_owner_key};
    partitions.front()->owner_row_changed({key, node::to_row_text(row), ++m_version});
  }

  unsigned submit(const std::string& queue)
  {
    got.reset();
    gateway->handle({http::method::post,
                     "host",
                     "/" + queue + "/" + k_id,
                     adapter::submission_body(spec_of(seconds{1})),
                     {"3000"}},
                    [this](const http::outgoing_reply& answer) { got = answer; });
    time.run_until(time.now() + milliseconds{100});
    BOOST_TEST_REQUIRE(got.has_value());
    return got->status;
  }

  bool kept()
  {
    bool found = false;
    jobs.find(k_id, seconds{1},
              [&found](const node::found_job& job) { found = job.job.has_value(); });
    time.run_until(time.now() + milliseconds{100});
    return found;
  }

private:
  static constexpr const char* k_partition = node::k_partition;
  adapter::row_version m_version = 100;
};

// Refuses jobs for an overloaded partition, against the store's model.
struct refusing : node::accepting
{
  accept_outcome refuse(std::deque<fate> fates)
  {
    got.reset();
    wire.fates = std::move(fates);
    jobs.refuse(k_id, "overloaded", time.now() + seconds{3},
                [this](const node::accept_result& result) { got = result; });
    time.run_until(time.now() + seconds{4});
    BOOST_TEST_REQUIRE(got.has_value());
    return got->end;
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(AdmissionTest)

BOOST_AUTO_TEST_CASE(a_job_is_accepted_while_it_can_still_start_in_time)
{
  const jobs::job_spec spec = spec_of(seconds{1});
  BOOST_TEST(!node::excess_wait(policy_of(2), spec, row_of(k_latest_start)).has_value());
  const auto excess =
      node::excess_wait(policy_of(2), spec, row_of(k_latest_start + milliseconds{700}));
  BOOST_TEST_REQUIRE(excess.has_value());
  BOOST_TEST((*excess == milliseconds{700}));
}

BOOST_AUTO_TEST_CASE(other_priorities_and_owners_without_overload_accept)
{
  const jobs::job_spec spec = spec_of(seconds{1});
  BOOST_TEST(!node::excess_wait(policy_of(0), spec, row_of(seconds{60})).has_value());
  BOOST_TEST(!node::excess_wait(policy_of(1), spec, row_of(seconds{60})).has_value());
  BOOST_TEST(!node::excess_wait(policy_of(2), spec, {}).has_value());
}

BOOST_AUTO_TEST_CASE(long_running_and_repeating_jobs_are_accepted)
{
  jobs::job_spec long_running_spec = spec_of(seconds{1});
  long_running_spec.steps.front().long_running = true;
  BOOST_TEST(!node::excess_wait(policy_of(2), long_running_spec, row_of(seconds{60})).has_value());
  jobs::job_spec repeating_spec = spec_of(seconds{1});
  repeating_spec.repeats = 1;
  BOOST_TEST(!node::excess_wait(policy_of(2), repeating_spec, row_of(seconds{60})).has_value());
}

BOOST_AUTO_TEST_CASE(the_owners_row_reports_start_waits)
{
  const node::owner_row row = row_of(milliseconds{4321});
  const auto read = node::owner_row_from(node::to_row_text(row));
  BOOST_TEST_REQUIRE(read.has_value());
  BOOST_TEST((read->start_waits == row.start_waits));
  BOOST_TEST(node::to_row_text(node::owner_row{}).find("start_waits") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(callers_retry_once_the_backlog_is_worked_off_urgent_ones_first)
{
  std::set<seconds> others;
  for (int i = 10; i < 100; ++i)
  {
    const std::string id = "00000000000000" + std::to_string(i);
    const seconds after = node::retry_after_overload(2, id, milliseconds{3500});
    BOOST_TEST((after >= seconds{4}));
    BOOST_TEST((node::retry_after_overload(0, id, milliseconds{3500}) < after));
    others.insert(after);
  }
  BOOST_TEST(others.size() > 3U); // not all at once
  BOOST_TEST((node::retry_after_overload(0, k_id, milliseconds{0}) >= seconds{1}));
  BOOST_TEST((node::retry_after_overload(2, k_id, std::chrono::hours{1}) < seconds{30}));
}

// Guards against two spreads by the same hash: callers of less urgent queues got 2 s or 4 s and
// never 3 s, although the backlog is worked off within 1 s.
BOOST_AUTO_TEST_CASE(a_short_backlog_spreads_callers_evenly)
{
  std::map<seconds, int> others;
  std::map<seconds, int> urgent;
  for (int i = 10; i < 100; ++i)
  {
    const std::string id = "00000000000000" + std::to_string(i);
    ++others[node::retry_after_overload(2, id, milliseconds{400})];
    ++urgent[node::retry_after_overload(0, id, milliseconds{400})];
  }
  BOOST_TEST(others.size() == 2U);
  BOOST_TEST(others[seconds{2}] > 20);
  BOOST_TEST(others[seconds{3}] > 20);
  BOOST_TEST(urgent.size() == 2U);
  BOOST_TEST(urgent[seconds{1}] > 20);
}

BOOST_FIXTURE_TEST_CASE(a_job_that_would_start_too_late_is_refused_at_once, gateway_under_test)
{
  owner_reports(row_of(k_latest_start + seconds{3}));
  BOOST_TEST(submit("usual") == 503U);
  BOOST_TEST(!kept());
  const auto header = std::find_if(got->headers.begin(), got->headers.end(),
                                   [](const auto& each) { return each.first == "Retry-After"; });
  BOOST_TEST_REQUIRE((header != got->headers.end()));
  BOOST_TEST(std::stoi(header->second) >= 3);
  BOOST_TEST(metrics.value(common::refusal_reason::queue_full) == 1U);
  BOOST_TEST(submit("urgent") == 200U);
}

BOOST_FIXTURE_TEST_CASE(once_the_backlog_is_gone_the_same_job_is_accepted, gateway_under_test)
{
  owner_reports(row_of(k_latest_start + seconds{3}));
  BOOST_TEST_REQUIRE(submit("usual") == 503U);
  owner_reports(row_of(k_latest_start));
  BOOST_TEST(submit("usual") == 200U);
  BOOST_TEST(kept());
}

BOOST_FIXTURE_TEST_CASE(a_job_that_is_stored_already_is_not_refused, gateway_under_test)
{
  BOOST_TEST_REQUIRE(submit("usual") == 200U);
  owner_reports(row_of(k_latest_start + seconds{3}));
  BOOST_TEST(submit("usual") == 200U);
  BOOST_TEST(kept());
}

BOOST_FIXTURE_TEST_CASE(an_outdated_owner_row_is_ignored, gateway_under_test)
{
  owner_reports(row_of(k_latest_start + seconds{3}));
  time.run_until(time.now() + seconds{3});
  BOOST_TEST(submit("usual") == 200U);
}

BOOST_FIXTURE_TEST_CASE(a_refusal_is_written_before_it_is_answered, refusing)
{
  BOOST_TEST((refuse({}) == accept_outcome::refused));
  BOOST_TEST((got->evidence == node::row_evidence::marked));
  BOOST_TEST(!kept());
}

BOOST_FIXTURE_TEST_CASE(without_the_store_the_outcome_is_unknown, refusing)
{
  BOOST_TEST((refuse(std::deque<fate>(1000, fate::lost)) == accept_outcome::unknown));
}

// The reply to the first submission's write is lost, so nobody learns that the job is stored.
BOOST_FIXTURE_TEST_CASE(a_job_whose_acceptance_was_lost_stays_accepted, refusing)
{
  wire.fates = {fate::answer_lost};
  submit([](const node::accept_result&) {});
  BOOST_TEST((refuse({}) == accept_outcome::accepted));
  BOOST_TEST(!got->first);
  BOOST_TEST(kept());
}

BOOST_FIXTURE_TEST_CASE(a_submission_still_queued_in_the_store_does_not_undo_a_refusal, refusing)
{
  wire.fates = {fate::held, fate::lost};
  submit([](const node::accept_result&) {});
  BOOST_TEST((refuse({}) == accept_outcome::refused));
  wire.carry_out_held();
  BOOST_TEST(!kept());
}

BOOST_AUTO_TEST_SUITE_END()
