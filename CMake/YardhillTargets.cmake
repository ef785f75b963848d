# SPDX-FileCopyrightText: 2026 yardhill contributors
# SPDX-License-Identifier: Apache-2.0

# Options that every target of the project shares.
add_library(yardhill_options INTERFACE)
target_compile_options(yardhill_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow)
# A deployment's build must not fail on a false alarm of a compiler that CI does not use.
option(YARDHILL_WARNINGS_ARE_ERRORS "Stop at the first warning" ON)
if(YARDHILL_WARNINGS_ARE_ERRORS)
  target_compile_options(yardhill_options INTERFACE -Werror)
endif()
target_include_directories(yardhill_options INTERFACE "${CMAKE_SOURCE_DIR}/Source/Core"
  "${CMAKE_SOURCE_DIR}/Source" "${CMAKE_SOURCE_DIR}")
target_include_directories(yardhill_options SYSTEM INTERFACE "${EXPECTED_INCLUDE}")
# cpprest's macro U breaks fmt, which spdlog uses.
target_compile_definitions(yardhill_options INTERFACE _TURN_OFF_PLATFORM_STRING SPDLOG_FMT_EXTERNAL)

# yardhill_library(NAME SOURCES ... LINKS ...): a static library with the project's options.
function(yardhill_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINKS" ${ARGN})
  add_library(${name} STATIC ${ARG_SOURCES})
  target_link_libraries(${name} PUBLIC yardhill_options ${ARG_LINKS})
endfunction()
