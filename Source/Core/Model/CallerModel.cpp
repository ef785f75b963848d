// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Model/CallerModel.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <memory>
#include <utility>

#include <nlohmann/json.hpp>

#include "platform/WireNames.h"

namespace yardhill::model
{
namespace
{
using nlohmann::json;
using std::chrono::milliseconds;
namespace wire = adapter::wire;

constexpr unsigned k_submit_tries = 4;
constexpr unsigned k_cancel_tries = 5;
constexpr std::uint32_t k_long_running_tasks = 4;
// The long-running jobs in the queue with scarce advice have one task per worker, and two. There
// are fewer tasks than the workers that the queue's policy should permit may take.
constexpr std::uint32_t k_limited_tasks = 12;
constexpr std::uint32_t k_paired_tasks = 10;
// Bounds of the time between two other jobs there. Each of their steps needs a call of about 600
// ms, so that these take a fifth of the time of three instances.
constexpr milliseconds k_min_scarce_spacing{500};
constexpr milliseconds k_max_scarce_spacing{2500};
constexpr const char* k_timeout_ms = "3000";
// A caller that gets no reply within its request timeout and a small margin retries.
constexpr milliseconds k_reply_timeout{3100};
constexpr milliseconds k_min_retry_delay{50};
constexpr milliseconds k_max_retry_delay{900};
// One in this many connections breaks before the reply arrives.
constexpr std::uint64_t k_broken_connection_odds = 16;
// One in this many callers does not retry after a refusal.
constexpr std::uint64_t k_give_up_odds = 3;
constexpr milliseconds k_cancel_retry{1500};
// A task that crashes its workers does so soon after its start; one in k_late_crash_odds does so
// later, up to k_latest_crash.
constexpr milliseconds k_crash{1};
constexpr milliseconds k_late_crash{30};
constexpr milliseconds k_latest_crash{2500};
constexpr std::uint64_t k_late_crash_odds = 4;

std::string job_id(std::uint64_t number)
{
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(number));
  return text.data();
}

std::string submission_of(const jobs::job_spec& spec)
{
  json steps = json::array();
  for (const jobs::step_spec& step : spec.steps)
    steps.push_back({{wire::k_count, step.count},
                     {wire::k_cpu, step.demand.cpu_millis},
                     {wire::k_memory, step.demand.memory_mib},
                     {wire::k_estimate_ms, step.estimate.count()},
                     {wire::k_depends_on, step.depends_on},
                     {wire::k_long_running, step.long_running},
                     {wire::k_gang, step.gang},
                     {wire::k_speculative, step.speculative},
                     {wire::k_checkpointing, step.checkpointing}});
  for (std::size_t i = 0; i < spec.steps.size(); ++i)
  {
    if (spec.steps[i].max_tasks_per_worker > 0)
      steps[i][wire::k_most_per_worker] = spec.steps[i].max_tasks_per_worker;
  }
  return json{{wire::k_payload, spec.payload}, {wire::k_steps, std::move(steps)}}.dump();
}

// Parses the name of a job state as callers see it.
jobs::job_state state_from(const std::string& name)
{
  for (const jobs::job_state each : {jobs::job_state::queued, jobs::job_state::active,
                                     jobs::job_state::completed, jobs::job_state::failed})
  {
    if (jobs::to_text(each) == name)
      return each;
  }
  return jobs::job_state::cancelled;
}
} // namespace

caller_model::caller_model(virtual_time& time, std::uint64_t seed, run_judge& judge,
                           deliver_function deliver_request)
    : m_time(time), m_random(seed), m_judge(judge), m_deliver(std::move(deliver_request))
{
}

duration caller_model::draw_time(milliseconds least, milliseconds most)
{
  return least + milliseconds(static_cast<std::int64_t>(
                     draw(static_cast<std::uint64_t>((most - least).count()))));
}

jobs::job_spec caller_model::random_spec()
{
  jobs::job_spec spec;
  spec.payload = "payload-" + std::to_string(m_jobs);
  const bool is_long_running = draw(10) == 0;
  const std::size_t steps = is_long_running ? 1 : 1 + draw(3);
  for (std::size_t i = 0; i < steps; ++i)
  {
    jobs::step_spec step;
    step.count = static_cast<std::uint32_t>(1 + draw(4));
    step.demand.cpu_millis = static_cast<std::int64_t>(500 + draw(2000));
    step.demand.memory_mib = 100;
    step.estimate = milliseconds(900);
    if (i > 0)
      step.depends_on.push_back(static_cast<std::uint32_t>(i - 1));
    step.long_running = is_long_running;
    step.gang = !is_long_running && draw(8) == 0;
    if (step.gang) // small enough for the few workers that a policy may permit
      step.demand.cpu_millis = 500;
    step.speculative = !is_long_running && !step.gang && draw(6) == 0;
    step.checkpointing = draw(2) == 0;
    spec.steps.push_back(step);
  }
  return spec;
}

void caller_model::submit_jobs_until(time_point end)
{
  if (m_time.now() > end)
    return;
  hand_in();
  m_time.schedule(draw_time(milliseconds(50), milliseconds(400)),
                  [this, end] { submit_jobs_until(end); });
}

void caller_model::burst(std::uint64_t jobs, milliseconds time)
{
  for (std::uint64_t i = 0; i < jobs; ++i)
    m_time.schedule(draw_time(milliseconds(0), time), [this] { hand_in(); });
}

void caller_model::set_workspaces(workspace_model& workspaces, std::uint64_t seed)
{
  m_workspaces = &workspaces;
  m_workspace_random.seed(seed);
}

void caller_model::choose_workspace(const std::string& id)
{
  if (m_workspaces == nullptr)
    return;
  const std::vector<std::string> names = m_workspaces->names();
  m_workspace_of[id] = names[m_workspace_random() % names.size()];
  m_judge.belongs_to(id, m_workspace_of[id]);
}

std::vector<std::string> caller_model::headers_of(const std::string& id)
{
  std::vector<std::string> headers{k_timeout_ms};
  if (m_workspaces != nullptr)
    headers.push_back(m_workspaces->draw_key(m_workspace_of.at(id)));
  return headers;
}

std::uint64_t caller_model::waiting(const std::string& prefix, time_point accepted_by) const
{
  return static_cast<std::uint64_t>(std::count_if(m_accepted_at.begin(), m_accepted_at.end(),
                                                  [&](const auto& each)
                                                  {
                                                    return each.second <= accepted_by &&
                                                           m_prefixes.at(each.first) == prefix &&
                                                           m_judge.waits(each.first);
                                                  }));
}

std::string caller_model::hand_in()
{
  std::string id = job_id(++m_jobs);
  m_prefixes[id] = draw(2) == 0 ? k_urgent_prefix : k_plain_prefix;
  m_specs[id] = random_spec();
  m_judge.submitted(id, m_specs[id], k_max_attempts);
  choose_workspace(id);
  submit(id, submission_of(m_specs[id]), k_submit_tries);
  if (m_specs[id].long_running() || draw(12) == 0)
    m_time.schedule(draw_time(milliseconds(300), milliseconds(8000)),
                    [this, id] { cancel(id, k_cancel_tries); });
  return id;
}

void caller_model::submit_crashing(std::uint64_t jobs)
{
  for (std::uint64_t i = 0; i < jobs; ++i)
  {
    const std::string id = hand_in();
    const auto step = static_cast<std::uint32_t>(draw(m_specs[id].steps.size()));
    const auto index = static_cast<std::uint32_t>(draw(m_specs[id].steps[step].count));
    const bool late = draw(k_late_crash_odds) == 0;
    set_crash(id, step, index,
              late ? draw_time(k_late_crash, k_latest_crash) : draw_time(k_crash, k_late_crash));
  }
}

std::string caller_model::submit_crashing(const jobs::job_spec& spec, duration after)
{
  std::string id = hand_in(spec);
  set_crash(id, 0, 0, after);
  return id;
}

void caller_model::set_crash(const std::string& id, std::uint32_t step, std::uint32_t index,
                             duration after)
{
  for (std::uint32_t cycle = 0; cycle < m_specs[id].cycles(); ++cycle)
  {
    const task_ref task{id, {cycle, step, index}};
    m_crashes[task] = after;
    m_judge.expect_worker_crashes(task);
  }
}

std::optional<duration> caller_model::crashes_after(const task_ref& task) const
{
  const auto found = m_crashes.find(task);
  return found == m_crashes.end() ? std::nullopt : std::optional(found->second);
}

std::string caller_model::hand_in(const jobs::job_spec& spec)
{
  return hand_in(spec, k_plain_prefix);
}

std::string caller_model::hand_in(const jobs::job_spec& spec, const char* prefix)
{
  std::string id = job_id(++m_jobs);
  m_prefixes[id] = prefix;
  m_specs[id] = spec;
  m_judge.submitted(id, spec, k_max_attempts);
  choose_workspace(id);
  submit(id, submission_of(spec), k_submit_tries);
  return id;
}

void caller_model::submit_long_running()
{
  jobs::step_spec step;
  step.count = k_long_running_tasks;
  step.demand.cpu_millis = 1000;
  step.demand.memory_mib = 100;
  step.estimate = milliseconds(900);
  step.long_running = true;
  step.checkpointing = true;
  jobs::job_spec spec;
  spec.payload = "lasting";
  spec.steps.push_back(step);
  m_judge.expect_to_keep_running(hand_in(spec));
}

bool caller_model::needs_scarce_advice(const std::string& job) const
{
  const auto found = m_prefixes.find(job);
  return found != m_prefixes.end() && found->second == k_scarce_prefix;
}

void caller_model::submit_scarce(std::uint64_t seed, time_point end)
{
  m_scarce_random.seed(seed);
  submit_limited_long_running(k_limited_tasks, 1);
  submit_limited_long_running(k_paired_tasks, 2);
  submit_scarce_until(end);
}

void caller_model::submit_limited_long_running(std::uint32_t tasks,
                                               std::uint32_t max_tasks_per_worker)
{
  jobs::step_spec step;
  step.count = tasks;
  step.max_tasks_per_worker = max_tasks_per_worker;
  step.demand.cpu_millis = 500;
  step.demand.memory_mib = 100;
  step.estimate = milliseconds(900);
  step.long_running = true;
  step.checkpointing = true;
  jobs::job_spec spec;
  spec.payload = "limited";
  spec.steps.push_back(step);
  m_judge.expect_to_keep_running(hand_in(spec, k_scarce_prefix));
}

void caller_model::submit_scarce_until(time_point end)
{
  if (m_time.now() > end)
    return;
  hand_in(random_scarce_spec(), k_scarce_prefix);
  const auto spacing =
      static_cast<std::uint64_t>((k_max_scarce_spacing - k_min_scarce_spacing).count());
  m_time.schedule(k_min_scarce_spacing +
                      milliseconds(static_cast<std::int64_t>(m_scarce_random() % spacing)),
                  [this, end] { submit_scarce_until(end); });
}

jobs::job_spec caller_model::random_scarce_spec()
{
  jobs::job_spec spec;
  spec.payload = "scarce-" + std::to_string(m_jobs);
  const std::size_t steps = 1 + m_scarce_random() % 2;
  for (std::size_t i = 0; i < steps; ++i)
  {
    jobs::step_spec step;
    step.count = static_cast<std::uint32_t>(1 + m_scarce_random() % 4);
    step.demand.cpu_millis = static_cast<std::int64_t>(500 + m_scarce_random() % 1000);
    step.demand.memory_mib = 100;
    step.estimate = milliseconds(900);
    if (i > 0)
      step.depends_on.push_back(static_cast<std::uint32_t>(i - 1));
    spec.steps.push_back(step);
  }
  return spec;
}

void caller_model::submit_again(const std::string& id, const std::string& body, unsigned tries)
{
  if (tries > 0)
    m_time.schedule(draw_time(k_min_retry_delay, k_max_retry_delay),
                    [this, id, body, tries] { submit(id, body, tries - 1); });
}

// Resubmits a job seconds after it was accepted, as some callers do.
void caller_model::submit_late(const std::string& id, const std::string& body)
{
  m_time.schedule(draw_time(milliseconds(500), milliseconds(9000)),
                  [this, id, body] { submit(id, body, 0); });
}

void caller_model::submit(const std::string& id, const std::string& body, unsigned tries)
{
  m_judge.tried(id);
  const auto finished = std::make_shared<bool>(false);
  const auto ended = [this, id, body, tries, finished](unsigned status)
  {
    if (!std::exchange(*finished, true))
      on_submitted(id, body, tries, status);
  };
  const bool sent =
      m_deliver({http::method::post, k_host, m_prefixes[id] + id, body, headers_of(id)},
                [ended](const http::outgoing_reply& answer) { ended(answer.status); });
  if (!sent)
  {
    submit_again(id, body, tries);
    return;
  }
  // The connection may break while the instance still processes the call.
  const bool breaks = draw(k_broken_connection_odds) == 0;
  m_time.schedule(breaks ? draw_time(milliseconds(2), milliseconds(400)) : k_reply_timeout,
                  [ended] { ended(0); });
}

void caller_model::on_submitted(const std::string& id, const std::string& body, unsigned tries,
                                unsigned status)
{
  m_judge.answered(id, status);
  if (status == 200)
    m_accepted_at.emplace(id, m_time.now());
  const bool refused = status == 429 || status == 503;
  // With 401 the caller has used a key that was revoked, and tries another one.
  const bool unclear = status == 0 || status == 401 || status == 502 || status == 504;
  if (unclear || (refused && draw(k_give_up_odds) != 0))
    submit_again(id, body, tries);
  else if (!refused && tries > 0 && draw(6) == 0)
    submit_late(id, body);
}

void caller_model::cancel(const std::string& id, unsigned tries)
{
  const auto answered = std::make_shared<bool>(false);
  m_judge.cancel_requested(id);
  m_deliver({http::method::remove, k_host, m_prefixes[id] + id, "", headers_of(id)},
            [this, id, answered](const http::outgoing_reply& answer)
            {
              *answered = answer.status == 200 || answer.status == 410;
              if (answer.status == 200)
                m_judge.cancelled(id, m_time.now());
            });
  m_time.schedule(k_cancel_retry,
                  [this, id, tries, answered]
                  {
                    if (!*answered && tries > 0)
                      cancel(id, tries - 1);
                  });
}

void caller_model::query_all()
{
  for (const auto& [id, prefix] : m_prefixes)
  {
    std::vector<std::string> headers{k_timeout_ms};
    if (m_workspaces != nullptr)
      headers.push_back(m_workspaces->present_key(m_workspace_of.at(id)));
    m_deliver({http::method::get, k_host, prefix + id, "", std::move(headers)},
              [this, id = id](const http::outgoing_reply& answer) { on_state(id, answer); });
  }
}

void caller_model::on_state(const std::string& id, const http::outgoing_reply& answer)
{
  if (answer.status != 200)
    return;
  m_states[id] = state_from(json::parse(answer.body).at(wire::k_state).get<std::string>());
  m_judge.shown(id, m_states[id], m_time.now());
}
} // namespace yardhill::model
