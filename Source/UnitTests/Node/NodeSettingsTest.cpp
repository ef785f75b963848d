// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <boost/test/unit_test.hpp>

#include "Node/NodeSettings.h"

using namespace yardhill;

namespace
{
std::string text_with(const std::string& store)
{
  return R"({
  // comments are fine
  "name": "edge-1", "availability_zone": "z1",
  "callers_address": "10.1.0.13:8161", "ready_address": "10.1.0.13:8167",
  "own_address": "10.1.0.13", "first_own_port": 7720, "store_address": ")" +
         store + R"(",
  "advice_address": "", "stop_grace_s": 6, "lease_limit_ms": 10000, "keep_status_s": 120,
  "configuration_limit_ms": 2000,
  "processor_share": 0.25, "processor_cores": 2 })";
}
} // namespace

BOOST_AUTO_TEST_SUITE(NodeSettingsTest)

BOOST_AUTO_TEST_CASE(valid_settings_are_read)
{
  common::problem_list problems;
  const auto settings = node::parse_node_settings(text_with("10.2.0.7:8169"), "file", problems);
  BOOST_TEST(problems.empty());
  BOOST_TEST_REQUIRE(settings.has_value());
  BOOST_TEST(settings->store.port == 8169);
  BOOST_TEST(settings->metrics.port == 7720);
  BOOST_TEST(settings->peers.port == 7721);
  BOOST_TEST(!settings->advice.has_value());
  BOOST_TEST((settings->stop_grace == std::chrono::seconds{6}));
  BOOST_TEST((settings->configuration_limit == std::chrono::seconds{2}));
  BOOST_TEST(settings->processor_millis == 500U);
}

BOOST_AUTO_TEST_CASE(each_mistake_names_its_field)
{
  common::problem_list problems;
  BOOST_TEST(!node::parse_node_settings(text_with("nowhere"), "file", problems));
  BOOST_TEST_REQUIRE(problems.size() == 1U);
  BOOST_TEST(common::to_text(problems.front()).find("store_address") != std::string::npos);
  problems.clear();
  BOOST_TEST(!node::parse_node_settings("{}", "file", problems));
  BOOST_TEST(problems.size() >= 8U);
}

BOOST_AUTO_TEST_SUITE_END()
