// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

#include <boost/test/unit_test.hpp>

#include "Load/LoadPlan.h"

using namespace yardhill;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
load::load_profile sample_profile(const std::string& name)
{
  std::ifstream file(std::string(YARDHILL_ROOT) + "/Data/platform/" + name);
  std::ostringstream text;
  text << file.rdbuf();
  common::problem_list problems;
  auto load_profile = load::parse_load_profile(text.str(), name, problems);
  BOOST_TEST_REQUIRE(load_profile.has_value());
  return *load_profile;
}
} // namespace

BOOST_AUTO_TEST_SUITE(LoadProfileTest)

BOOST_AUTO_TEST_CASE(sample_profiles_are_parsed)
{
  const load::load_profile load_profile = sample_profile("periyar.jsonc");
  BOOST_TEST(load_profile.workers == 48U);
  BOOST_TEST(load_profile.worker_capacity.memory_mib == 32768);
  BOOST_TEST_REQUIRE(load_profile.kinds.size() == 3U);
  BOOST_TEST(load_profile.kinds[0].steps[1].spec.depends_on.front() == 0U);
  BOOST_TEST(load_profile.kinds[2].is_long_running());
  BOOST_TEST(sample_profile("thies.jsonc").kinds.size() == 3U);
}

BOOST_AUTO_TEST_CASE(each_mistake_names_its_field)
{
  common::problem_list problems;
  const auto load_profile = load::parse_load_profile(
      R"({"service":"s","zones":["z"],"workers":{"count":0,"cpu_millis":1,"memory":"1GiB"},)"
      R"("kinds":[{"name":"k","host":"h","path_prefix":"/k/","priority":0,"max_attempts":1,)"
      R"("latency_target":"250","deadline":"3s","per_second":1,"steps":[],"colour":"red"}]})",
      "file", problems);
  BOOST_TEST(!load_profile.has_value());
  std::set<std::string> fields;
  for (const auto& each : problems)
    fields.insert(each.field);
  BOOST_TEST(fields.contains("workers.count"));
  BOOST_TEST(fields.contains("kinds[0].latency_target"));
  BOOST_TEST(fields.contains("kinds[0].steps"));
  BOOST_TEST(fields.contains("kinds[0].colour"));
}

BOOST_AUTO_TEST_CASE(a_plan_follows_from_its_seed_and_keeps_the_rates)
{
  const load::load_profile load_profile = sample_profile("periyar.jsonc");
  const auto plan = load::plan_load(load_profile, {seconds{100}, 1.0, 7});
  const auto again = load::plan_load(load_profile, {seconds{100}, 1.0, 7});
  BOOST_TEST_REQUIRE(plan.size() == again.size());
  BOOST_TEST(plan.back().id == again.back().id);
  BOOST_TEST(std::is_sorted(plan.begin(), plan.end(),
                            [](const auto& one, const auto& other) { return one.at < other.at; }));
  const auto previews =
      std::count_if(plan.begin(), plan.end(), [](const auto& each) { return each.kind == 0; });
  BOOST_TEST(previews > 1300); // expected: 1,450; four standard deviations below: 1,298
  BOOST_TEST(previews < 1603);
  const auto one_step_jobs =
      std::count_if(plan.begin(), plan.end(),
                    [](const auto& each) { return each.kind == 0 && each.spec.steps.size() == 1; });
  BOOST_TEST(one_step_jobs > previews / 4); // two fifths of these jobs have one step
  BOOST_TEST(one_step_jobs < previews / 2);
}

BOOST_AUTO_TEST_SUITE_END()
