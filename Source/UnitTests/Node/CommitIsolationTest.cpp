// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <boost/test/unit_test.hpp>

#include "Node/CommitIsolation.h"

using namespace yardhill;

BOOST_AUTO_TEST_SUITE(CommitIsolationTest)

BOOST_AUTO_TEST_CASE(refused_commits_get_smaller_until_one_part_is_left)
{
  node::commit_isolation isolation(90);
  BOOST_TEST(!isolation.active());
  std::size_t commits = 0;
  while (isolation.limit() > 1)
  {
    BOOST_TEST(!isolation.refused(isolation.limit()));
    ++commits;
  }
  BOOST_TEST(commits <= 7U);
  BOOST_TEST(isolation.active());
}

BOOST_AUTO_TEST_CASE(a_part_refused_alone_between_renewals_is_at_fault)
{
  node::commit_isolation isolation(90);
  BOOST_TEST(!isolation.refused(1));
  BOOST_TEST(isolation.wants_renewal());
  isolation.written(0);
  BOOST_TEST(!isolation.refused(1));
  isolation.written(0);
  BOOST_TEST(isolation.refused(1));
}

// Guards against giving up jobs because the store refuses everything.
BOOST_AUTO_TEST_CASE(no_part_is_at_fault_while_no_renewal_is_written)
{
  node::commit_isolation isolation(90);
  for (int i = 0; i < 100; ++i)
  {
    BOOST_TEST(!isolation.refused(1));
    BOOST_TEST(!isolation.refused(0));
  }
}

BOOST_AUTO_TEST_CASE(commits_grow_again_once_parts_are_written)
{
  node::commit_isolation isolation(90);
  isolation.refused(90);
  for (std::size_t written = 0; written < 200; written += isolation.limit())
    isolation.written(isolation.limit());
  BOOST_TEST(!isolation.active());
}

BOOST_AUTO_TEST_SUITE_END()
