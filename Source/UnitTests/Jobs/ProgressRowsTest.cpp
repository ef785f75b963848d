// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "Jobs/ProgressRows.h"

using namespace yardhill::jobs;

namespace
{
constexpr row_limits k_limits{};

job_progress progress_of(std::uint32_t cycles, std::uint32_t steps, std::uint32_t count)
{
  job_progress progress;
  progress.state = job_state::active;
  progress.done.assign(cycles, {steps, std::vector<bool>(count, false)});
  return progress;
}

job_progress read(const progress_rows& rows)
{
  job_progress progress = job_progress_from(rows.texts.front());
  for (std::size_t i = 1; i < rows.texts.size(); ++i)
    add_continuation(progress, job_progress_from(rows.texts[i]));
  return progress;
}

// A history as a task has it that was lost with its worker, in the longest form.
task_history longest_history()
{
  task_history history;
  history.failed_runs = {4294967, 4294968};
  history.checkpoint = std::string(16, 'c');
  history.crashes = {{4294969}, {4294970}, 4294971, std::string(40, 'w'), 1, 2, true, 3, 4};
  return history;
}

accepted_job job_of(std::uint32_t repeats, std::size_t steps, std::uint32_t count)
{
  accepted_job job;
  job.spec.repeats = repeats;
  job.spec.steps.resize(steps);
  for (step_spec& step : job.spec.steps)
    step.count = count;
  return job;
}

bool all_fit(const progress_rows& rows)
{
  return std::all_of(rows.texts.begin(), rows.texts.end(),
                     [](const std::string& text) { return text.size() <= k_limits.bytes; });
}
} // namespace

BOOST_AUTO_TEST_SUITE(ProgressRowsTest)

BOOST_AUTO_TEST_CASE(progress_of_ordinary_size_takes_one_row_in_the_known_form)
{
  job_progress progress = progress_of(8, 5, 52);
  progress.begun[{0, 0, 0}] = "zone";
  progress.histories[{0, 0, 3}] = longest_history();
  const progress_rows rows = to_rows(progress, k_limits);
  BOOST_TEST_REQUIRE(rows.texts.size() == 1U);
  BOOST_TEST(rows.texts.front() == to_row_text(progress));
}

// Guards against commits that the store refuses since a job's progress outgrows a row: many tasks
// are lost with their worker.
BOOST_AUTO_TEST_CASE(histories_of_many_tasks_go_into_continuation_rows)
{
  job_progress progress = progress_of(1, 1, 1600);
  progress.begun[{0, 0, 0}] = "zone";
  progress.done[0][0][7] = true;
  for (std::uint32_t i = 0; i < 1600; ++i)
    progress.histories[{0, 0, i}] = longest_history();
  const progress_rows rows = to_rows(progress, k_limits);
  BOOST_TEST(rows.texts.size() > 1U);
  BOOST_TEST(rows.texts.size() <= k_limits.rows);
  BOOST_TEST(all_fit(rows));
  const job_progress again = read(rows);
  BOOST_TEST((again.done == progress.done));
  BOOST_TEST((again.begun == progress.begun));
  BOOST_TEST((again.histories == progress.histories));
  // What software without continuation rows reads.
  const job_progress first = job_progress_from(rows.texts.front());
  BOOST_TEST((first.state == progress.state));
  BOOST_TEST((first.done == progress.done));
  BOOST_TEST((first.begun == progress.begun));
}

// Guards against the same for a job that runs many times.
BOOST_AUTO_TEST_CASE(tasks_of_many_cycles_go_into_continuation_rows)
{
  job_progress progress = progress_of(260, 5, 52);
  for (std::uint32_t cycle = 0; cycle < 200; ++cycle)
  {
    for (std::uint32_t step = 0; step < 5; ++step)
    {
      progress.begun[{cycle, step, 0}] = "kochi-kakkanad";
      progress.done[cycle][step].assign(52, true);
    }
  }
  const progress_rows rows = to_rows(progress, k_limits);
  BOOST_TEST(rows.texts.size() > 1U);
  BOOST_TEST(all_fit(rows));
  job_progress again = read(rows);
  BOOST_TEST((again.begun == progress.begun));
  BOOST_TEST(again.done.size() == 200U); // what is missing is not done
  again.done.resize(260, progress.done.back());
  BOOST_TEST((again.done == progress.done));
}

BOOST_AUTO_TEST_CASE(checkpoints_are_left_out_before_histories)
{
  job_progress progress = progress_of(1, 1, 4000);
  for (std::uint32_t i = 0; i < 4000; ++i)
  {
    progress.histories[{0, 0, i}].failed_runs = {i + 1};
    progress.histories[{0, 0, i}].checkpoint = std::string(500, 'c');
  }
  const progress_rows rows = to_rows(progress, k_limits);
  BOOST_TEST(rows.texts.size() <= k_limits.rows);
  BOOST_TEST(rows.omitted_checkpoints == 4000U);
  BOOST_TEST(rows.omitted_histories == 0U);
  BOOST_TEST(all_fit(rows));
  BOOST_TEST(
      (read(rows).histories.at({0, 0, 3999}).failed_runs == std::vector<std::uint32_t>{4000}));
}

// The widest jobs that are accepted fit, with every task lost and every step begun.
BOOST_AUTO_TEST_CASE(every_accepted_job_fits_into_its_rows)
{
  for (const auto& [repeats, steps, count] :
       {std::tuple(0U, 1U, 4000U), std::tuple(8U, 5U, 52U), std::tuple(260U, 5U, 52U),
        std::tuple(1000U, 1U, 100U), std::tuple(1000U, 4U, 16U), std::tuple(20U, 64U, 62U),
        std::tuple(1000U, 1U, 4000U), std::tuple(45U, 1U, 4000U)})
  {
    const accepted_job job = job_of(repeats, steps, count);
    const bool accepted = !storage_error(job, k_limits);
    job_progress progress = progress_of(job.spec.cycles(), steps, count);
    for (std::uint32_t cycle = 0; cycle < job.spec.cycles(); ++cycle)
    {
      for (std::uint32_t step = 0; step < steps; ++step)
      {
        progress.begun[{cycle, step, 0}] = std::string(200, 'z');
        progress.done[cycle][step][0] = true;
        for (std::uint32_t task = 1; accepted && task < count; ++task)
          progress.histories[{cycle, step, task}].crashes.lost = true;
      }
    }
    const progress_rows rows = to_rows(progress, k_limits);
    BOOST_TEST((!accepted || rows.texts.size() <= k_limits.rows),
               repeats << " x " << steps << " x " << count << ": " << rows.texts.size());
    BOOST_TEST(all_fit(rows));
  }
}

BOOST_AUTO_TEST_CASE(jobs_that_the_store_cannot_keep_are_told)
{
  BOOST_TEST(!storage_error(job_of(0, 1, 4000), k_limits));
  BOOST_TEST(!storage_error(job_of(8, 5, 52), k_limits));
  BOOST_TEST(!storage_error(job_of(260, 5, 52), k_limits));
  BOOST_TEST(storage_error(job_of(1000, 1, 4000), k_limits).value_or("").find("repetitions") !=
             std::string::npos);
  accepted_job described = job_of(0, 64, 1);
  for (step_spec& step : described.spec.steps)
    step.image = std::string(1000, 'i');
  BOOST_TEST(storage_error(described, k_limits).value_or("").find("description") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(the_key_of_a_continuation_row_names_its_job)
{
  BOOST_TEST(continuation_key("00000000000000a1", 2) == "00000000000000a1+02");
  BOOST_TEST(continued_job("00000000000000a1+02").value_or("") == "00000000000000a1");
  BOOST_TEST(!continued_job("00000000000000a1").has_value());
  BOOST_TEST(continuation_key("a", 9) < continuation_key("a", 10));
}

BOOST_AUTO_TEST_SUITE_END()
