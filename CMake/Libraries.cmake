# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0
# Finds the libraries that Tools/setup installs.
find_package(Boost 1.74 REQUIRED)
find_package(cpprestsdk REQUIRED)
find_package(OpenSSL REQUIRED) # cpprest's headers call it
find_package(docopt REQUIRED)
find_package(spdlog REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(Threads REQUIRED)

find_path(EXPECTED_INCLUDE tl/expected.hpp REQUIRED)
find_path(FLATBUFFERS_INCLUDE flatbuffers/flatbuffers.h REQUIRED)
find_library(XXHASH_LIBRARY xxhash REQUIRED)

find_program(CCACHE ccache)
if(CCACHE)
  set(CMAKE_CXX_COMPILER_LAUNCHER "${CCACHE}")
endif()
