// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Keys of workspaces: which calls are served, refused with 401, or refused as nobody here knows.

#include <optional>
#include <string>

#include <boost/test/unit_test.hpp>

#include "Common/EventLog.h"
#include "Model/ExploredCell.h"
#include "platform/Ingress.h"

using namespace yardhill;
using model::explored_cell;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr std::uint64_t k_seed = 1;
constexpr unsigned k_ok = 200;
constexpr unsigned k_unauthorized = 401;
constexpr unsigned k_forbidden = 403;
constexpr unsigned k_gone = 410;
constexpr unsigned k_unprocessable = 422;
const std::string k_id = "00000000000000aa";

struct cell_with_workspaces
{
  explored_cell cell{k_seed};

  explicit cell_with_workspaces(bool keys_needed = true)
  {
    cell.add_workspaces(k_seed, true, keys_needed);
    run_for(seconds{3});
  }

  void run_for(milliseconds time) { cell.time().run_until(cell.time().now() + time); }

  // A key that the workspace has now.
  std::string key_of(const std::string& workspace)
  {
    const auto now = cell.time().now();
    for (const std::string& key : cell.workspaces()->keys_always_valid(now, now))
    {
      if (key.starts_with(workspace))
        return key;
    }
    return {};
  }

  unsigned call(http::method verb, const std::string& id, const std::string& key,
                const std::string& body = {}, const std::string& prefix = model::k_plain_prefix)
  {
    std::optional<unsigned> status;
    cell.instances()[0].core->handle({verb, model::k_host, prefix + id, body, {"3000", key}},
                                     [&status](const http::outgoing_reply& answer)
                                     { status = answer.status; });
    run_for(seconds{1});
    BOOST_TEST_REQUIRE(status.has_value());
    return *status;
  }

  unsigned submit(const std::string& key, std::int64_t cpu_millis = 1000)
  {
    jobs::job_spec spec;
    spec.payload = "payload";
    spec.steps.resize(1);
    spec.steps.front().demand.cpu_millis = cpu_millis;
    spec.steps.front().estimate = milliseconds{900};
    // No worker has it, so the job stays queued.
    spec.steps.front().required_label = "none-has-it";
    return call(http::method::post, k_id, key, adapter::submission_body(spec));
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(CallerKeyTest)

BOOST_FIXTURE_TEST_CASE(calls_without_a_valid_key_are_refused, cell_with_workspaces)
{
  for (const std::string& key : {std::string(), model::workspace_model::unknown_key()})
  {
    BOOST_TEST(submit(key) == k_unauthorized);
    BOOST_TEST(call(http::method::get, k_id, key) == k_unauthorized);
    BOOST_TEST(call(http::method::remove, k_id, key) == k_unauthorized);
    BOOST_TEST(call(http::method::get, "", key) == k_unauthorized);
  }
  BOOST_TEST(call(http::method::get, k_id, key_of("manuals")) == k_gone);
}

BOOST_FIXTURE_TEST_CASE(calls_with_a_valid_key_are_served, cell_with_workspaces)
{
  BOOST_TEST(submit(key_of("manuals")) == k_ok);
  BOOST_TEST(call(http::method::get, k_id, key_of("manuals")) == k_ok);
}

BOOST_FIXTURE_TEST_CASE(a_revoked_key_is_refused_and_its_job_goes_on, cell_with_workspaces)
{
  const std::string key = key_of("manuals");
  BOOST_TEST_REQUIRE(submit(key) == k_ok);
  cell.workspaces()->revoke_all_keys("manuals");
  cell.reconfigure();
  run_for(seconds{1});
  BOOST_TEST(call(http::method::get, k_id, key) == k_unauthorized);
  cell.workspaces()->add_missing_keys();
  cell.reconfigure();
  run_for(seconds{1});
  BOOST_TEST(call(http::method::get, k_id, key_of("manuals")) == k_ok);
}

// A newer configuration, which this instance has not read yet, may have the key.
BOOST_FIXTURE_TEST_CASE(a_new_key_is_not_refused_by_an_instance_that_is_behind,
                        cell_with_workspaces)
{
  cell.network().troubles.cuts.insert({cell.instances()[0].name, "store"});
  cell.workspaces()->revoke_all_keys("manuals");
  cell.workspaces()->add_missing_keys();
  cell.reconfigure();
  run_for(seconds{4});
  BOOST_TEST(call(http::method::get, "", key_of("manuals")) != k_unauthorized);
}

BOOST_FIXTURE_TEST_CASE(no_workspace_cancels_a_job_of_another, cell_with_workspaces)
{
  BOOST_TEST_REQUIRE(submit(key_of("manuals")) == k_ok);
  BOOST_TEST(call(http::method::remove, k_id, key_of("samples")) == k_forbidden);
  BOOST_TEST(call(http::method::remove, k_id, key_of("manuals")) == k_ok);
}

struct cell_with_public_queues : cell_with_workspaces
{
  cell_with_public_queues() : cell_with_workspaces(false) {}
};

BOOST_FIXTURE_TEST_CASE(a_public_queue_needs_no_key, cell_with_public_queues)
{
  BOOST_TEST(submit("") == k_ok);
  BOOST_TEST(call(http::method::get, k_id, "") == k_ok);
  BOOST_TEST(call(http::method::remove, k_id, "") == k_ok);
}

BOOST_FIXTURE_TEST_CASE(a_caller_without_a_key_cancels_only_jobs_of_its_queue,
                        cell_with_public_queues)
{
  BOOST_TEST_REQUIRE(submit(key_of("manuals")) == k_ok);
  BOOST_TEST(call(http::method::remove, k_id, "", {}, model::k_urgent_prefix) == k_forbidden);
  BOOST_TEST(call(http::method::remove, k_id, "") == k_ok);
}

BOOST_FIXTURE_TEST_CASE(a_task_larger_than_its_workspace_may_run_is_refused, cell_with_workspaces)
{
  BOOST_TEST(submit(key_of("handbooks"), 18500) == k_unprocessable);
  BOOST_TEST(submit(key_of("samples"), 18500) == k_ok);
}

BOOST_AUTO_TEST_SUITE_END()
