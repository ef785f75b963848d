// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Guards against an owner that sends requests for longer than a later owner waits. A later owner
// counts the end of an owner's requests from its latest renewal. A commit without a renewal,
// written at its second attempt seconds after that renewal, extended the owner's authority in full
// from then on.

#include <boost/test/unit_test.hpp>

#include "UnitTests/Node/OwnerHarness.h"

using namespace yardhill;
using node::owner_under_test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr const char* k_job = "0123456789abcdef";

jobs::accepted_job some_job(const std::string& id)
{
  jobs::accepted_job job;
  job.id = id;
  job.home = node::k_partition;
  job.spec.steps.resize(1);
  return job;
}
} // namespace

BOOST_AUTO_TEST_SUITE(AuthorityTest)

BOOST_FIXTURE_TEST_CASE(a_late_commit_without_a_renewal_does_not_extend_the_authority,
                        owner_under_test)
{
  pass(seconds{2});
  owner.on_notice({k_job, jobs::to_row_text(some_job(k_job)), 1000});
  const std::string cancelled = "fedcba9876543210";
  owner.on_notice({cancelled, jobs::to_row_text(some_job(cancelled)), 1001});
  const adapter::row_version before = owner.seen().version;
  while (owner.seen().version == before)
    pass(milliseconds{25});
  const common::time_point renewed = time.now();
  const adapter::row_version renewal = owner.seen().version;
  pass(milliseconds{250});
  wire.turn_away = true;
  owner.on_notice({cancelled, {}, 0}); // a commit without a renewal
  pass(seconds{2});
  wire.turn_away = false;
  while (!owner.written_state(cancelled) ||
         *owner.written_state(cancelled) != jobs::job_state::cancelled)
    time.run_until(time.now() + milliseconds{1});
  wire.turn_away = true; // before the next renewal
  BOOST_TEST_REQUIRE(owner.seen().version == renewal);
  const node::ownership_options options;
  pass(std::chrono::ceil<milliseconds>(options.requests_end(renewed) - time.now()));
  BOOST_TEST(!owner.written_state(k_job).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
