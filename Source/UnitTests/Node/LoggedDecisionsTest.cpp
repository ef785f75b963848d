// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Which of a cell's log lines count as decisions. Guards against a job whose acceptance, refusal or
// end is missing from the log because callers asked for states at the same time.

#include <algorithm>
#include <cstdint>
#include <string>

#include <boost/test/unit_test.hpp>

#include "Common/EventLog.h"
#include "Common/LoggedLines.h"
#include "Model/ExploredCell.h"
#include "platform/Ingress.h"

using namespace yardhill;
using model::explored_cell;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr std::uint64_t k_seed = 1;
constexpr int k_flood = 20000;
constexpr seconds k_given_up_within{60};
const std::string k_malformed_id = "zz";

struct logging_cell
{
  explored_cell cell{k_seed};

  void run_for(milliseconds time) { cell.time().run_until(cell.time().now() + time); }

  // The budget is refilled in real time, and used up again in each short part of the virtual time.
  void run_flooded(milliseconds time);

  void call(http::method verb, const std::string& id, const std::string& body = {})
  {
    cell.instances()[0].core->handle(
        {verb, model::k_host, model::k_plain_prefix + id, body, {"3000"}},
        [](const http::outgoing_reply&) {});
  }

  static jobs::job_spec short_job()
  {
    jobs::job_spec spec;
    spec.payload = "payload";
    spec.steps.resize(1);
    spec.steps.front().demand.cpu_millis = 500;
    spec.steps.front().estimate = milliseconds{900};
    return spec;
  }

  // Submits jobs that meet every kind of decision, and logs their ids.
  void submit_all()
  {
    jobs::job_spec gang = short_job();
    gang.steps.front().count = 2;
    gang.steps.front().gang = true;
    jobs::job_spec waiting = short_job();
    waiting.steps.front().required_label = "none-has-it";
    m_waiting = cell.callers().hand_in(waiting);
    const std::string single = cell.callers().hand_in(short_job());
    const std::string together = cell.callers().hand_in(gang);
    const std::string crashing = cell.callers().submit_crashing(short_job(), milliseconds{100});
    call(http::method::post, k_malformed_id, adapter::submission_body(short_job()));
    common::log_process(
        "submitted",
        {{"waiting", m_waiting}, {"single", single}, {"gang", together}, {"crashing", crashing}});
  }

  void cancel_waiting() { call(http::method::remove, m_waiting); }

private:
  std::string m_waiting;
};

void log_states(int count)
{
  for (int i = 0; i < count; ++i)
    common::log_request("state_shown", "00000000000000ff", {});
}

void logging_cell::run_flooded(milliseconds time)
{
  constexpr int k_states = 100;
  constexpr milliseconds k_part{10};
  for (milliseconds passed{0}; passed < time; passed += k_part)
  {
    run_for(k_part);
    log_states(k_states);
  }
}
} // namespace

BOOST_AUTO_TEST_SUITE(LoggedDecisionsTest)

BOOST_FIXTURE_TEST_CASE(decisions_are_logged_although_repeating_lines_are_dropped, logging_cell)
{
  const auto lines = common::lines_logged_by(
      [this]
      {
        run_for(seconds{3});
        log_states(k_flood);
        submit_all();
        run_flooded(seconds{1});
        cancel_waiting();
        run_flooded(k_given_up_within);
      });
  const nlohmann::json* const submitted = common::find_event(lines, "submitted");
  BOOST_TEST_REQUIRE(submitted != nullptr);
  const auto logged = [&lines](const std::string& event, const std::string& id)
  {
    return std::any_of(lines.begin(), lines.end(),
                       [&](const nlohmann::json& line)
                       { return line.at("event") == event && line.value("request", "") == id; });
  };
  for (const char* const name : {"waiting", "single", "gang", "crashing"})
    BOOST_TEST(logged("job_accepted", submitted->at(name)), name);
  for (const char* const name : {"single", "gang", "crashing"})
    BOOST_TEST(logged("job_ended", submitted->at(name)), name);
  BOOST_TEST(logged("tasks_started", submitted->at("single")));
  BOOST_TEST(logged("gang_started", submitted->at("gang")));
  BOOST_TEST(logged("task_given_up", submitted->at("crashing")));
  BOOST_TEST(logged("job_cancelled", submitted->at("waiting")));
  BOOST_TEST(logged("refused", k_malformed_id));
}

// Callers ask again and again for the states of jobs while an instance cannot tell them.
BOOST_FIXTURE_TEST_CASE(refused_states_do_not_use_the_budget_of_decisions, logging_cell)
{
  const auto lines = common::lines_logged_by(
      [this]
      {
        run_for(seconds{3});
        for (int i = 0; i < k_flood; ++i)
          call(http::method::get, k_malformed_id);
      });
  const nlohmann::json* const dropped = common::find_event(lines, "log_lines_dropped");
  BOOST_TEST_REQUIRE(dropped != nullptr);
  BOOST_TEST(dropped->at("repeating").get<int>() > 0);
  BOOST_TEST(dropped->at("decisions") == 0);
}

BOOST_AUTO_TEST_SUITE_END()
