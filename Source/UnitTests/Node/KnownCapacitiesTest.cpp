// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <boost/test/unit_test.hpp>

#include "Node/KnownCapacities.h"
#include "Node/OwnerRow.h"

using namespace yardhill;

namespace
{
scheduling::worker_info worker(std::int64_t cpu_millis, std::int64_t memory_mib)
{
  scheduling::worker_info info;
  info.service = "docbuild";
  info.capacity.cpu_millis = cpu_millis;
  info.capacity.memory_mib = memory_mib;
  return info;
}

jobs::job_spec job(std::int64_t cpu_millis, std::int64_t memory_mib)
{
  jobs::job_spec spec;
  spec.steps.resize(2);
  spec.steps[1].demand.cpu_millis = cpu_millis;
  spec.steps[1].demand.memory_mib = memory_mib;
  return spec;
}
} // namespace

BOOST_AUTO_TEST_SUITE(KnownCapacitiesTest)

BOOST_AUTO_TEST_CASE(nothing_is_refused_before_a_worker_is_known)
{
  const node::known_capacities capacities;
  BOOST_TEST(!capacities.never_fits("docbuild", job(1000000, 1)).has_value());
}

BOOST_AUTO_TEST_CASE(a_task_far_larger_than_every_worker_never_fits)
{
  node::known_capacities capacities;
  capacities.add(worker(16000, 8000));
  capacities.add(worker(4000, 64000));
  capacities.add(worker(2000, 4000));
  BOOST_TEST(!capacities.never_fits("docbuild", job(16000, 8000)).has_value());
  // A larger worker may be added later.
  BOOST_TEST(!capacities.never_fits("docbuild", job(30000, 16000)).has_value());
  BOOST_TEST(!capacities.never_fits("docbuild", job(8000, 128000)).has_value());
  const auto reason = capacities.never_fits("docbuild", job(33000, 100));
  BOOST_TEST_REQUIRE(reason.has_value());
  BOOST_TEST(reason->find("step 1") == 0U);
  // Twice the capacity of some worker covers each value alone, but of no single worker both.
  BOOST_TEST(capacities.never_fits("docbuild", job(9000, 128000)).has_value());
  BOOST_TEST(!capacities.never_fits("other", job(33000, 100)).has_value());
}

// Instances that own no partition learn about workers only from the owner's row.
BOOST_AUTO_TEST_CASE(the_owners_row_reports_the_capacities_it_knows)
{
  node::known_capacities owner;
  owner.add(worker(8000, 16000));
  owner.add(worker(16000, 32000));
  node::owner_row row;
  row.holder = "instance-1";
  row.life = "life-1";
  row.largest = owner.largest();
  const auto read = node::owner_row_from(node::to_row_text(row));
  BOOST_TEST_REQUIRE(read.has_value());
  node::known_capacities other;
  other.add_all(read->largest);
  BOOST_TEST(!other.never_fits("docbuild", job(32000, 1000)).has_value());
  BOOST_TEST(other.never_fits("docbuild", job(32001, 1000)).has_value());
  BOOST_TEST(!other.never_fits("another", job(32001, 1000)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
