// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/CallerGateway.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

#include "Common/EventLog.h"
#include "Node/ComeBack.h"
#include "platform/Ingress.h"

namespace yardhill::node
{
namespace
{
using common::refusal_reason;

// For callers that do not say how long they wait; the sites' usual deadline.
constexpr std::chrono::milliseconds k_usual_patience{3000};
// An answer has to reach the caller before its patience ends.
constexpr std::chrono::milliseconds k_answer_margin{150};
constexpr std::chrono::milliseconds k_read_timeout{900};
// Callers may be told counts that are up to 2 s old (the platform's bound); the rest is for the
// way.
constexpr std::chrono::milliseconds k_oldest_count{1800};
// Homes remembered to save a read of the job's row; about 2 MB when full.
constexpr std::size_t k_most_homes = 20000;

std::chrono::milliseconds patience_from(const std::string& text)
{
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || value <= 0)
    return k_usual_patience;
  return std::chrono::milliseconds(value);
}

std::string age_text(const std::optional<common::duration>& age)
{
  return age ? std::to_string(common::to_milliseconds(*age).count()) + " ms old" : "of unknown age";
}
} // namespace

caller_gateway::caller_gateway(common::timekeeper& time, job_store& store, state_desk& states,
                               const store_path& path, const jobs::queue_table& queues,
                               const configuration_watch& configuration,
                               const seen_capacities& capacities, const layout_keeper& layout,
                               const std::vector<std::unique_ptr<partition_owner>>& partitions,
                               common::metrics& counts)
    : m_time(time),
      m_store(store),
      m_states(states),
      m_path(path),
      m_queues(queues),
      m_configuration(configuration),
      m_capacities(capacities),
      m_layout(layout),
      m_partitions(partitions),
      m_metrics(counts),
      m_started(time.now()),
      m_early(time)
{
}

std::chrono::milliseconds caller_gateway::patience_of(const http::incoming_request& request) const
{
  const std::chrono::milliseconds callers = patience_from(request.captured_header);
  if (!m_end)
    return callers;
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(*m_end - m_time.now());
  return std::clamp(left, std::chrono::milliseconds{0}, callers);
}

void caller_gateway::handle(http::incoming_request request, http::responder respond)
{
  m_metrics.add(common::counter::requests);
  auto what = std::make_shared<call>();
  what->respond = std::move(respond);
  what->received = m_time.now();
  what->known = m_store.version_so_far();
  what->patience = patience_of(request);
  what->body = std::move(request.body);
  if (!may_serve() && m_early.hold([this, what, request] { dispatch(what, request); }))
    return;
  dispatch(what, request);
}

void caller_gateway::release_early()
{
  if (may_serve())
    m_early.release();
}

void caller_gateway::dispatch(const std::shared_ptr<call>& what,
                              const http::incoming_request& request)
{
  if (m_queues.version == 0)
  {
    refuse_unconfigured(*what, request.verb, "no configuration has arrived yet");
    return;
  }
  if (m_partitions.empty())
  {
    refuse_unconfigured(*what, request.verb, "the cell's partitions are not known yet");
    return;
  }
  if (m_configuration.late())
  {
    refuse_unconfigured(*what, request.verb, "a newer configuration may be due here");
    return;
  }
  const std::string path = request.target.substr(0, request.target.find('?'));
  const std::string host = request.host.substr(0, request.host.find(':'));
  const jobs::queue_route* const route = m_queues.find(host, path);
  if (route == nullptr)
  {
    refuse(*what, {404, refusal_reason::unknown_workload, "no such queue"});
    return;
  }
  what->route = *route;
  what->id = path.substr(what->route->path_prefix.size());
  if (what->id.empty() && request.verb == http::method::get)
    count(*what);
  else if (!adapter::is_job_id(what->id))
    refuse(*what, {400, refusal_reason::malformed_request, "a job's id has 16 hexadecimal digits"});
  else if (request.verb == http::method::post)
    submit(what);
  else if (request.verb == http::method::get)
    show(what);
  else if (request.verb == http::method::remove)
    cancel(what);
  else
    refuse(*what, {405, refusal_reason::malformed_request, "no such method"});
}

void caller_gateway::refuse_unconfigured(const call& what, http::method verb,
                                         const std::string& why)
{
  // Another instance may have kept the job that is handed in here again.
  const unsigned status = verb == http::method::post ? 504 : 503;
  refuse(what, {status, refusal_reason::config_invalid, why});
}

void caller_gateway::refuse(const call& what, const refusal& how)
{
  m_metrics.add(how.why);
  common::log_request("refused", what.id,
                      {{"status", how.status},
                       {"reason", common::to_text(how.why)},
                       {"detail", how.detail},
                       {"row", to_text(how.evidence)},
                       {"config_version", m_queues.version},
                       {"instance_age_ms", m_time.now() - m_started},
                       {"after_ms", m_time.now() - what.received}});
  http::outgoing_reply answer;
  answer.status = how.status;
  answer.body = adapter::error_body(how.detail);
  if (how.status == 503 || how.status == 504)
  {
    const std::uint32_t priority = what.route ? what.route->policy.priority : 0;
    const auto after = how.come_back.value_or(come_back_after(priority, what.id));
    answer.headers.emplace_back("Retry-After", std::to_string(after.count()));
  }
  // The caller's next try then opens a connection, which the platform takes elsewhere.
  answer.close = m_path.isolated() || m_configuration.late();
  what.respond(std::move(answer));
}

partition_owner* caller_gateway::partition(const std::string& name) const
{
  const auto found = std::find_if(m_partitions.begin(), m_partitions.end(),
                                  [&name](const auto& each) { return each->partition() == name; });
  return found == m_partitions.end() ? nullptr : found->get();
}

bool caller_gateway::can_run(const partition_owner& partition, const jobs::job_spec& spec) const
{
  const seen_owner& seen = partition.seen();
  if (seen.version == 0 || m_time.now() - seen.changed_at > k_owner_fresh)
    return false;
  return partition.has_labels(spec);
}

// The job's first partition while that has room for more than what waits there, else the one of its
// two that is less loaded: the loads are up to a second old, and instances that all chose the least
// loaded partition would flood it. Where neither can run the job, any that can.
std::string caller_gateway::home_for(const std::string& job, const jobs::job_spec& spec) const
{
  const auto load_of = [](const partition_owner& each)
  { return each.seen().row.waiting_cpu - each.seen().row.free_cpu; };
  const auto has_labels = [&spec](const auto& each) { return each->has_labels(spec); };
  if (spec.may_be_shared(m_partitions.size()) &&
      std::all_of(m_partitions.begin(), m_partitions.end(), has_labels))
    return jobs::k_every_partition;
  const partition_owner* best = nullptr;
  for (const std::string& name : m_layout.layout()->of_job(job))
  {
    const partition_owner* const each = partition(name);
    if (each == nullptr || !can_run(*each, spec) ||
        (best != nullptr && (load_of(*best) < 0 || load_of(*each) >= load_of(*best))))
      continue;
    best = each;
  }
  for (const auto& each : m_partitions)
  {
    if (best != nullptr)
      break;
    if (can_run(*each, spec))
      best = each.get();
  }
  return best == nullptr ? m_layout.layout()->of_job(job).front() : best->partition();
}

void caller_gateway::submit(const std::shared_ptr<call>& what)
{
  if (m_path.isolated())
  {
    // An earlier try may have been kept, here or elsewhere, and cannot be looked for.
    refuse(*what,
           {504, refusal_reason::store_unavailable, "cut off from the store and other zones"});
    return;
  }
  auto spec = adapter::submission_from(what->body);
  if (!spec)
  {
    refuse(*what, {400, refusal_reason::malformed_request, common::to_text(spec.error())});
    return;
  }
  if (const auto why = m_capacities.never_fits(what->route->policy.service, *spec))
  {
    refuse(*what, {422, refusal_reason::never_fits, *why});
    return;
  }
  jobs::accepted_job job;
  job.id = what->id;
  job.queue = what->route->name;
  job.spec = *std::move(spec);
  job.home = home_for(job.id, job.spec);
  job.accepted_at = m_time.wall();
  const common::time_point deadline = what->received + what->patience - k_answer_margin;
  if (shed(what, job, deadline))
    return;
  m_store.accept(job, what->known, deadline,
                 [this, what, job](const accept_result& result)
                 { on_accepted(what, job, result); });
}

void caller_gateway::on_accepted(const std::shared_ptr<call>& what, const jobs::accepted_job& job,
                                 const accept_result& result)
{
  if (result.end == accept_end::refused)
  {
    refuse(*what, {503, refusal_reason::store_unavailable, result.detail, result.evidence});
    return;
  }
  if (result.end == accept_end::unknown)
  {
    refuse(*what, {504, refusal_reason::run_unclear, result.detail});
    return;
  }
  common::log_request("job_accepted", job.id,
                      {{"queue", job.queue},
                       {"home", result.first ? std::string_view(job.home) : "as before"},
                       {"first", result.first},
                       {"steps", job.spec.steps.size()},
                       {"config_version", m_queues.version},
                       {"row_version", result.version},
                       {"after_ms", m_time.now() - what->received}});
  what->respond({200, "{}", "application/json", {}});
  if (!result.first)
    return;
  remember_home(job.id, job.home);
  for (const auto& each : m_partitions)
  {
    if (runs_in(job, each->partition()))
      each->job_kept_here(job, result.version);
  }
}

void caller_gateway::remember_home(const std::string& id, const std::string& home)
{
  // Forgetting everything now and then costs one read per job that is still asked for.
  if (m_homes.size() >= k_most_homes)
    m_homes.clear();
  m_homes[id] = home;
}

void caller_gateway::with_job(const std::shared_ptr<call>& what,
                              std::function<void(const found_job&)> then)
{
  m_store.find(
      what->id, k_read_timeout,
      [this, what, then = std::move(then)](const found_job& found)
      {
        if (!found.answered)
          refuse(*what, {503, refusal_reason::store_unavailable, "the store did not answer"});
        else if (!found.job)
          refuse(*what, {410, refusal_reason::unknown_task, "no such job", row_evidence::absent});
        else
          then(found);
      });
}

// Its owner knows a job best; the store knows those that have ended or come to another owner.
void caller_gateway::show(const std::shared_ptr<call>& what)
{
  const auto home = m_homes.find(what->id);
  const cell_layout& layout = *m_layout.layout();
  const auto [first, second] = layout.of_job(what->id);
  if (home == m_homes.end())
    show_from_owners(what, first == second ? std::vector{first} : std::vector{first, second}, {});
  else if (home->second == jobs::k_every_partition)
    show_from_owners(what, layout.names(), {});
  else
    show_from_owners(what, {home->second}, {});
}

void caller_gateway::show_from_owners(const std::shared_ptr<call>& what,
                                      std::vector<std::string> partitions,
                                      std::optional<jobs::job_state> so_far)
{
  const partition_owner* const owner = partitions.empty() ? nullptr : partition(partitions.front());
  if (owner == nullptr)
  {
    if (so_far)
      show_state(*what, *so_far);
    else
      show_from_store(what);
    return;
  }
  partitions.erase(partitions.begin());
  m_states.ask(
      *owner, what->id,
      [this, what, partitions = std::move(partitions), so_far](std::optional<jobs::job_state> state)
      {
        // A shared job that one owner has not begun may be at work under another.
        if (!state || *state == jobs::job_state::queued)
          show_from_owners(what, partitions, state ? state : so_far);
        else
          show_state(*what, *state);
      });
}

std::string caller_gateway::progress_home(const std::string& job, const std::string& home) const
{
  return home == jobs::k_every_partition ? m_layout.layout()->of_job(job).front() : home;
}

void caller_gateway::show_state(const call& what, jobs::job_state state)
{
  common::log_request(
      "state_shown", what.id,
      {{"state", jobs::to_text(state)}, {"after_ms", m_time.now() - what.received}});
  what.respond({200, adapter::state_body(state), "application/json", {}});
}

void caller_gateway::show_from_store(const std::shared_ptr<call>& what)
{
  const auto home = m_homes.find(what->id);
  if (home == m_homes.end())
  {
    show_kept(what);
    return;
  }
  m_store.state(
      progress_home(what->id, home->second), what->id, k_read_timeout,
      [this, what](const written_state& written)
      {
        if (!written.answered)
          refuse(*what, {503, refusal_reason::store_unavailable, "the store did not answer"});
        else if (written.state)
          show_state(*what, *written.state);
        else
          show_kept(what); // not begun yet, or ended and removed long ago
      });
}

void caller_gateway::show_kept(const std::shared_ptr<call>& what)
{
  const auto show = [this, what](const found_job& found)
  {
    remember_home(what->id, found.job->home);
    m_store.state(
        progress_home(what->id, found.job->home), what->id, k_read_timeout,
        [this, what](const written_state& written)
        {
          if (written.answered)
            show_state(*what, written.state.value_or(jobs::job_state::queued));
          else
            refuse(*what, {503, refusal_reason::store_unavailable, "the store did not answer"});
        });
  };
  with_job(what, show);
}

void caller_gateway::cancel(const std::shared_ptr<call>& what)
{
  with_job(what,
           [this, what](const found_job& found)
           {
             const std::string home = found.job->home;
             if (found.cancelled)
             {
               on_cancelled(*what, home, true);
               return;
             }
             m_store.cancel(what->id, k_read_timeout,
                            [this, what, home](bool kept) { on_cancelled(*what, home, kept); });
           });
}

void caller_gateway::on_cancelled(const call& what, const std::string& home, bool kept)
{
  if (!kept)
  {
    refuse(what, {504, refusal_reason::run_unclear, "the cancellation could not be kept for sure"});
    return;
  }
  common::log_request("job_cancelled", what.id, {{"after_ms", m_time.now() - what.received}});
  what.respond({200, "{}", "application/json", {}});
  for (const auto& each : m_partitions)
  {
    if (each->partition() == home || home == jobs::k_every_partition)
      each->job_cancelled_here(what.id);
  }
}

// A wrong count cannot be told from a right one, so one that is too old is not given.
void caller_gateway::count(const call& what)
{
  std::uint64_t pending = 0;
  for (const auto& each : m_partitions)
  {
    const known_pending known = each->pending();
    const std::string& owner = each->seen().row.holder;
    if (!known.age || *known.age > k_oldest_count)
    {
      refuse(what, {503, refusal_reason::records_incomplete,
                    "the count that " + owner + " told is " + age_text(known.age)});
      return;
    }
    const auto found = known.jobs.find(what.route->name);
    const std::uint64_t waiting = found == known.jobs.end() ? 0 : found->second;
    common::log_request("count_shown", what.route->name,
                        {{"pending", waiting}, {"age_ms", *known.age}, {"owner", owner}});
    pending += waiting;
  }
  what.respond({200, adapter::pending_body(pending), "application/json", {}});
}
} // namespace yardhill::node
