// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "Model/ExploredCell.h"
#include "platform/WireNames.h"

using namespace yardhill;
using namespace yardhill::model;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
namespace wire = adapter::wire;

// Each step takes at least 0.2 s, so that most of them become ready under the next owner.
constexpr std::uint32_t k_steps = 8;

struct cell_with_a_job
{
  explored_cell cell{1};
  std::string job;

  cell_with_a_job()
  {
    cell.configure(2);
    run_for(seconds{4});
    jobs::step_spec step;
    step.count = 2;
    step.demand.cpu_millis = 100;
    step.demand.memory_mib = 10;
    step.estimate = milliseconds{500};
    jobs::job_spec spec;
    for (std::uint32_t i = 0; i < k_steps; ++i)
    {
      spec.steps.push_back(step);
      if (i > 0)
        spec.steps.back().depends_on = {i - 1};
    }
    job = cell.callers().hand_in(spec);
    run_for(milliseconds{300});
  }

  void run_for(milliseconds span) { cell.time().run_until(cell.time().now() + span); }

  // The operator's next configuration has other routes for the same hosts and paths.
  void replace_routes()
  {
    const adapter::row_key config{wire::k_operator_table, "", wire::k_config_key};
    json written = json::parse(*cell.store().value(config));
    for (json& route : written.at(wire::k_routes))
      route[wire::k_name] = route.at(wire::k_name).get<std::string>() + " anew";
    written[wire::k_version] = 3;
    cell.store().put(config, written.dump());
  }

  void kill_owner()
  {
    for (explored_instance& each : cell.instances())
    {
      if (each.up() && each.core->owns_any())
        cell.end_instance(each);
    }
  }

  bool completed()
  {
    cell.callers().query_all();
    run_for(seconds{3});
    const auto state = cell.callers().states().find(job);
    return state != cell.callers().states().end() && state->second == jobs::job_state::completed;
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(RouteReplacedTest)

// Guards against accepted jobs that never run: their route is replaced, and then the owner of their
// partition is lost.
BOOST_FIXTURE_TEST_CASE(a_job_of_a_replaced_route_completes_under_the_next_owner, cell_with_a_job)
{
  replace_routes();
  run_for(milliseconds{300});
  kill_owner();
  run_for(seconds{40});
  BOOST_TEST(completed());
}

BOOST_FIXTURE_TEST_CASE(a_job_of_a_replaced_route_completes_under_the_same_owner, cell_with_a_job)
{
  replace_routes();
  run_for(seconds{40});
  BOOST_TEST(completed());
}

BOOST_AUTO_TEST_SUITE_END()
