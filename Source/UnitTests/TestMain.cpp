// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// The main function of every test program.

#define BOOST_TEST_MODULE yardhill
#include <boost/test/unit_test.hpp>
