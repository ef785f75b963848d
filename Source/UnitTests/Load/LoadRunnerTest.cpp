// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <deque>

#include <boost/test/unit_test.hpp>

#include "Load/LoadReport.h"
#include "Model/VirtualTime.h"

using namespace yardhill;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
// Instances that give the answers set by the test after one millisecond. A missing answer is
// reported after the timeout.
struct scripted_instances : http::peer_sender
{
  explicit scripted_instances(model::virtual_time& with) : time(with) {}

  void send(const common::endpoint& peer, http::request call, common::duration timeout,
            http::reply_handler done) override
  {
    calls.push_back({peer, call});
    http::reply answer;
    if (!answers.empty())
    {
      answer = answers.front();
      answers.pop_front();
    }
    else
    {
      answer = {200, R"({"state":"completed"})", {}, false};
    }
    const bool at_once = answer.answered() || answer.refused;
    const common::duration after = at_once ? milliseconds{1} : timeout;
    time.schedule(after, [answer, done = std::move(done)] { done(answer); });
  }

  model::virtual_time& time;
  std::deque<http::reply> answers;
  std::vector<std::pair<common::endpoint, http::request>> calls;
};

struct one_caller
{
  one_caller()
  {
    load::job_kind kind;
    kind.name = "kind";
    kind.queue = {"jobs.example", "/k/"};
    kind.deadline = seconds{3};
    load_profile.kinds.push_back(kind);
    plan.resize(1);
    plan.front().id = "0123456789abcdef";
    plan.front().spec.steps.resize(1);
  }

  load::kind_report play()
  {
    runner.play(plan, [this] { done = true; });
    time.run_until(time.now() + seconds{200});
    BOOST_TEST_REQUIRE(done);
    return load::report_by_kind(load_profile, runner.jobs()).front();
  }

  model::virtual_time time;
  scripted_instances instances{time};
  adapter::caller_client caller{instances};
  load::load_profile load_profile;
  std::vector<load::planned_job> plan;
  load::load_runner runner{time, caller, load_profile, {{"127.0.0.1", 1}, {"127.0.0.1", 2}}, {}};
  bool done = false;
};
} // namespace

BOOST_AUTO_TEST_SUITE(LoadRunnerTest)

BOOST_FIXTURE_TEST_CASE(a_refused_job_is_submitted_to_another_instance_with_the_same_id, one_caller)
{
  instances.answers = {{503, R"({"error":"the store is away"})", {}, false},
                       {},
                       {200, "{}", {}, false},
                       {200, R"({"state":"queued"})", {}, false},
                       {200, R"({"state":"active"})", {}, false}};
  const load::kind_report report = play();
  BOOST_TEST(report.completed == 1U);
  BOOST_TEST(report.refusals == 1U);
  BOOST_TEST(report.unanswered == 1U);
  BOOST_TEST(report.late == 1U); // one refusal, one timeout of three seconds and two retry pauses
  BOOST_TEST_REQUIRE(instances.calls.size() == 6U);
  BOOST_TEST(instances.calls[0].first.port != instances.calls[1].first.port);
  BOOST_TEST(instances.calls[0].second.target == "/k/0123456789abcdef");
  BOOST_TEST(instances.calls[0].second.target == instances.calls[2].second.target);
  BOOST_TEST(load::all_served({report}));
}

BOOST_FIXTURE_TEST_CASE(an_unreachable_instance_costs_no_time, one_caller)
{
  instances.answers = {{0, {}, "connect: refused", true}, {200, "{}", {}, false}};
  const load::kind_report report = play();
  BOOST_TEST(report.completed == 1U);
  BOOST_TEST(report.unanswered == 0U);
  BOOST_TEST((report.end_latencies.front() < milliseconds{10}));
}

BOOST_FIXTURE_TEST_CASE(an_invalid_job_is_not_submitted_again, one_caller)
{
  instances.answers = {{400, R"({"error":"no steps"})", {}, false}};
  const load::kind_report report = play();
  BOOST_TEST(report.accepted == 0U);
  BOOST_TEST(instances.calls.size() == 1U);
  BOOST_TEST(!load::all_served({report}));
  BOOST_TEST(runner.jobs().front().detail == "no steps");
}

BOOST_FIXTURE_TEST_CASE(a_job_that_never_ends_is_abandoned, one_caller)
{
  instances.answers.assign(1000, {200, R"({"state":"active"})", {}, false});
  const load::kind_report report = play();
  BOOST_TEST(report.accepted == 1U);
  BOOST_TEST(report.unfinished == 1U);
  BOOST_TEST(!load::all_served({report}));
}

BOOST_FIXTURE_TEST_CASE(a_long_running_job_is_cancelled_once_all_jobs_are_submitted, one_caller)
{
  plan.front().spec.steps.front().long_running = true;
  instances.answers = {{200, "{}", {}, false},
                       {200, R"({"state":"active"})", {}, false},
                       {200, "{}", {}, false},
                       {200, R"({"state":"canceled"})", {}, false}};
  const load::kind_report report = play();
  BOOST_TEST(report.completed == 1U);
  BOOST_TEST_REQUIRE(instances.calls.size() == 4U);
  BOOST_TEST((instances.calls[2].second.verb == http::method::remove));
}

BOOST_AUTO_TEST_SUITE_END()
