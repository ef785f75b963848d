// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/CallerGateway.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>

#include "Common/EventLog.h"
#include "Node/RetryAfter.h"
#include "platform/Ingress.h"

namespace yardhill::node
{
namespace
{
using common::refusal_reason;

// For callers that send no deadline; the usual deadline at the sites.
constexpr std::chrono::milliseconds k_default_caller_timeout{3000};
// An answer has to reach the caller before the caller's timeout ends.
constexpr std::chrono::milliseconds k_answer_margin{150};
constexpr std::chrono::milliseconds k_read_timeout{900};
// Callers may be given counts that are up to 2 s old (the platform's bound); the remaining 200 ms
// are for the transfer of the answer to the caller.
constexpr std::chrono::milliseconds k_max_count_age{1800};
// How many jobs' homes are remembered, each to save a read of the job's row; about 2 MB when full.
constexpr std::size_t k_max_remembered_homes = 20000;

std::chrono::milliseconds parse_timeout(const std::string& text)
{
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || value <= 0)
    return k_default_caller_timeout;
  return std::chrono::milliseconds(value);
}

std::string age_text(const std::optional<common::duration>& age)
{
  return age ? std::to_string(common::to_milliseconds(*age).count()) + " ms old" : "of unknown age";
}
} // namespace

caller_gateway::caller_gateway(common::timekeeper& time, job_store& store,
                               job_state_queries& states, const store_path& path,
                               const jobs::queue_table& queues,
                               const configuration_watch& configuration,
                               const known_capacities& capacities, const layout_manager& layout,
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
      m_startup_requests(time)
{
}

std::chrono::milliseconds caller_gateway::timeout_of(std::chrono::milliseconds caller_timeout) const
{
  if (!m_stop_deadline)
    return caller_timeout;
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(*m_stop_deadline - m_time.now());
  return std::clamp(left, std::chrono::milliseconds{0}, caller_timeout);
}

void caller_gateway::handle(http::incoming_request request, http::responder respond)
{
  m_metrics.add(common::counter::requests);
  auto call = std::make_shared<caller_call>();
  call->respond = std::move(respond);
  call->received = m_time.now();
  call->known_version = m_store.newest_known_version();
  call->timeout =
      timeout_of(parse_timeout(adapter::caller_headers_from(request.captured_headers).timeout_ms));
  call->body = std::move(request.body);
  call->reads = request.verb == http::method::get;
  if (!may_serve() &&
      m_startup_requests.enqueue([this, call, request] { dispatch(call, request); }))
    return;
  dispatch(call, request);
}

void caller_gateway::release_startup_requests()
{
  if (may_serve())
    m_startup_requests.release();
}

void caller_gateway::dispatch(const std::shared_ptr<caller_call>& call,
                              const http::incoming_request& request)
{
  if (m_queues.version == 0)
  {
    refuse_unconfigured(*call, request.verb, "no configuration has arrived yet");
    return;
  }
  if (m_partitions.empty())
  {
    refuse_unconfigured(*call, request.verb, "the cell's partitions are not known yet");
    return;
  }
  if (m_configuration.may_be_outdated())
  {
    refuse_unconfigured(*call, request.verb, "a newer configuration may be due here");
    return;
  }
  const std::string path = request.target.substr(0, request.target.find('?'));
  const std::string host = request.host.substr(0, request.host.find(':'));
  const jobs::queue_route* const route = m_queues.find(host, path);
  if (route == nullptr)
  {
    refuse(*call, {404, refusal_reason::unknown_workload, "no such queue"});
    return;
  }
  call->route = *route;
  if (!identify_workspace(call, request.verb,
                          adapter::caller_headers_from(request.captured_headers).key))
    return;
  call->id = path.substr(call->route->path_prefix.size());
  if (call->id.empty() && request.verb == http::method::get)
    reply_with_pending_count(*call);
  else if (!adapter::is_job_id(call->id))
    refuse(*call, {400, refusal_reason::malformed_request, "a job's id has 16 hexadecimal digits"});
  else if (request.verb == http::method::post)
    submit(call);
  else if (request.verb == http::method::get)
    reply_with_state(call);
  else if (request.verb == http::method::remove)
    cancel(call);
  else
    refuse(*call, {405, refusal_reason::malformed_request, "no such method"});
}

// The key itself is never logged.
bool caller_gateway::identify_workspace(const std::shared_ptr<caller_call>& call, http::method verb,
                                        const std::string& key)
{
  if (!m_queues.workspaces)
    return true;
  if (const jobs::workspace* const found = m_queues.workspaces->find_by_key(key))
    call->workspace = *found;
  if (call->workspace || !m_queues.needs_key(*call->route))
    return true;
  // A newer configuration may have the key.
  if (m_configuration.newest() == 0)
    refuse_unconfigured(*call, verb, "the key is unknown here, and a newer configuration exists");
  else
    refuse(*call, {401, refusal_reason::unknown_key,
                   key.empty() ? "the call has no key" : "no workspace has this key"});
  return false;
}

void caller_gateway::refuse_unconfigured(const caller_call& call, http::method verb,
                                         const std::string& reason)
{
  // A submission may be a retry of one that another instance has stored, so the outcome is unknown.
  const unsigned status = verb == http::method::post ? 504 : 503;
  refuse(call, {status, refusal_reason::config_invalid, reason});
}

void caller_gateway::refuse(const caller_call& call, const refusal& rejection)
{
  m_metrics.add(rejection.reason);
  // Callers ask for states and counts again and again, also while each such request is refused.
  const auto log = call.reads ? common::log_request : common::log_decision;
  log("refused", call.id,
      {{"status", rejection.status},
       {"reason", common::to_text(rejection.reason)},
       {"detail", rejection.detail},
       {"row", to_text(rejection.evidence)},
       {"queue", call.route ? call.route->name : std::string()},
       {"workspace", call.workspace ? call.workspace->name : std::string()},
       {"config_version", m_queues.version},
       {"instance_age_ms", m_time.now() - m_started},
       {"after_ms", m_time.now() - call.received}});
  http::outgoing_reply answer;
  answer.status = rejection.status;
  answer.body = adapter::error_body(rejection.detail);
  if (rejection.status == 503 || rejection.status == 504)
  {
    const std::uint32_t priority = call.route ? call.route->policy.priority : 0;
    const auto after = rejection.retry_after.value_or(default_retry_after(priority, call.id));
    answer.headers.emplace_back("Retry-After", std::to_string(after.count()));
  }
  // The caller's next attempt then opens a new connection, which the platform routes to another
  // instance.
  answer.close = m_path.isolated() || m_configuration.may_be_outdated();
  call.respond(std::move(answer));
}

partition_owner* caller_gateway::partition(const std::string& name) const
{
  const auto found = std::find_if(m_partitions.begin(), m_partitions.end(),
                                  [&name](const auto& each) { return each->partition() == name; });
  return found == m_partitions.end() ? nullptr : found->get();
}

bool caller_gateway::can_run(const partition_owner& partition, const jobs::job_spec& spec) const
{
  const observed_owner& seen = partition.seen();
  if (seen.version == 0 || m_time.now() - seen.changed_at > k_owner_row_max_age)
    return false;
  return partition.has_labels(spec);
}

// A job has two candidate partitions. Its home is the first one while that has more free processor
// capacity than its waiting tasks need, else the less loaded of the two: the reported loads are up
// to a second old, and instances that all chose the cell's least loaded partition would overload
// it. If neither candidate can run the job, its home is any partition that can. A job that may be
// shared belongs to every partition if all have workers with the labels it requires.
std::string caller_gateway::choose_home(const std::string& job, const jobs::job_spec& spec) const
{
  const auto load_of = [](const partition_owner& each)
  { return each.seen().row.waiting_cpu - each.seen().row.free_cpu; };
  const auto has_labels = [&spec](const auto& each) { return each->has_labels(spec); };
  if (spec.may_be_shared(m_partitions.size()) &&
      std::all_of(m_partitions.begin(), m_partitions.end(), has_labels))
    return jobs::k_every_partition;
  const partition_owner* best = nullptr;
  for (const std::string& name : m_layout.layout()->partitions_of_job(job))
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
  return best == nullptr ? m_layout.layout()->partitions_of_job(job).front() : best->partition();
}

void caller_gateway::submit(const std::shared_ptr<caller_call>& call)
{
  if (m_path.isolated())
  {
    // An earlier attempt may have been stored, here or by another instance, and cannot be looked
    // up.
    refuse(*call,
           {504, refusal_reason::store_unavailable, "cut off from the store and other zones"});
    return;
  }
  auto spec = adapter::submission_from(call->body);
  if (!spec)
  {
    refuse(*call, {400, refusal_reason::malformed_request, common::to_text(spec.error())});
    return;
  }
  if (const auto reason = never_runs(*call, *spec))
  {
    refuse(*call, {422, refusal_reason::never_fits, *reason});
    return;
  }
  jobs::accepted_job job;
  job.id = call->id;
  job.queue = call->route->name;
  job.workspace = call->workspace ? call->workspace->name : std::string();
  job.terms = terms_of(*call);
  job.spec = *std::move(spec);
  job.home = choose_home(job.id, job.spec);
  job.accepted_at = m_time.wall();
  if (const auto reason = jobs::storage_error(job, m_store.limits()))
  {
    refuse(*call, {400, refusal_reason::malformed_request, *reason});
    return;
  }
  const common::time_point deadline = call->received + call->timeout - k_answer_margin;
  if (refuse_if_overloaded(call, job, deadline))
    return;
  m_store.accept(job, call->route->policy.priority, call->known_version, deadline,
                 [this, call, job](const accept_result& result)
                 { on_accepted(call, job, result); });
}

jobs::acceptance_terms caller_gateway::terms_of(const caller_call& call)
{
  jobs::acceptance_terms terms;
  terms.policy = call.route->policy;
  if (call.workspace)
  {
    terms.workspace_limit = call.workspace->max_running;
    terms.workspace_weight = call.workspace->weight;
  }
  return terms;
}

std::optional<std::string> caller_gateway::never_runs(const caller_call& call,
                                                      const jobs::job_spec& spec) const
{
  if (auto reason = m_capacities.never_fits(call.route->policy.service, spec))
    return reason;
  if (!call.workspace)
    return std::nullopt;
  return never_within(*call.workspace, spec);
}

void caller_gateway::on_accepted(const std::shared_ptr<caller_call>& call,
                                 const jobs::accepted_job& job, const accept_result& result)
{
  if (result.end == accept_outcome::refused)
  {
    refuse(*call, {503, refusal_reason::store_unavailable, result.detail, result.evidence});
    return;
  }
  if (result.end == accept_outcome::unknown)
  {
    refuse(*call, {504, refusal_reason::run_unclear, result.detail});
    return;
  }
  common::log_decision("job_accepted", job.id,
                       {{"queue", job.queue},
                        {"workspace", job.workspace},
                        {"home", result.first ? std::string_view(job.home) : "as before"},
                        {"first", result.first},
                        {"steps", job.spec.steps.size()},
                        {"config_version", m_queues.version},
                        {"row_version", result.version},
                        {"after_ms", m_time.now() - call->received}});
  call->respond({200, "{}", "application/json", {}});
  if (!result.first)
    return;
  remember_home(job.id, job.home);
  for (const auto& each : m_partitions)
  {
    if (runs_in(job, each->partition()))
      each->job_accepted_here(job, result.version);
  }
}

void caller_gateway::remember_home(const std::string& id, const std::string& home)
{
  // Clearing the whole map now and then costs one read per job that callers still ask for.
  if (m_homes.size() >= k_max_remembered_homes)
    m_homes.clear();
  m_homes[id] = home;
}

void caller_gateway::with_job(const std::shared_ptr<caller_call>& call,
                              std::function<void(const found_job&)> then)
{
  m_store.find(
      call->id, k_read_timeout,
      [this, call, then = std::move(then)](const found_job& found)
      {
        if (!found.answered)
          refuse(*call, {503, refusal_reason::store_unavailable, "the store did not answer"});
        else if (!found.job)
          refuse(*call, {410, refusal_reason::unknown_task, "no such job", row_evidence::absent});
        else
          then(found);
      });
}

// The job's owner has the most recent state; the store has the state of jobs that have ended or
// whose partition has come to another owner.
void caller_gateway::reply_with_state(const std::shared_ptr<caller_call>& call)
{
  const auto home = m_homes.find(call->id);
  const cell_layout& layout = *m_layout.layout();
  const auto [first, second] = layout.partitions_of_job(call->id);
  if (home == m_homes.end())
    query_owners(call, first == second ? std::vector{first} : std::vector{first, second}, {});
  else if (home->second == jobs::k_every_partition)
    query_owners(call, layout.names(), {});
  else
    query_owners(call, {home->second}, {});
}

void caller_gateway::query_owners(const std::shared_ptr<caller_call>& call,
                                  std::vector<std::string> partitions,
                                  std::optional<jobs::job_state> so_far)
{
  const partition_owner* const owner = partitions.empty() ? nullptr : partition(partitions.front());
  if (owner == nullptr)
  {
    if (so_far)
      send_state(*call, *so_far);
    else
      read_state(call);
    return;
  }
  partitions.erase(partitions.begin());
  m_states.ask(
      *owner, call->id,
      [this, call, partitions = std::move(partitions), so_far](std::optional<jobs::job_state> state)
      {
        // A job shared by all partitions may be queued at one owner and already running at another.
        if (!state || *state == jobs::job_state::queued)
          query_owners(call, partitions, state ? state : so_far);
        else
          send_state(*call, *state);
      });
}

std::string caller_gateway::progress_partition(const std::string& job,
                                               const std::string& home) const
{
  return home == jobs::k_every_partition ? m_layout.layout()->partitions_of_job(job).front() : home;
}

void caller_gateway::send_state(const caller_call& call, jobs::job_state state)
{
  common::log_request(
      "state_shown", call.id,
      {{"state", jobs::to_text(state)}, {"after_ms", m_time.now() - call.received}});
  call.respond({200, adapter::state_body(state), "application/json", {}});
}

void caller_gateway::read_state(const std::shared_ptr<caller_call>& call)
{
  const auto home = m_homes.find(call->id);
  if (home == m_homes.end())
  {
    read_job_and_state(call);
    return;
  }
  m_store.state(
      progress_partition(call->id, home->second), call->id, k_read_timeout,
      [this, call](const written_state& written)
      {
        if (!written.answered)
          refuse(*call, {503, refusal_reason::store_unavailable, "the store did not answer"});
        else if (written.state)
          send_state(*call, *written.state);
        else
          read_job_and_state(call); // not begun yet, or ended and removed long ago
      });
}

void caller_gateway::read_job_and_state(const std::shared_ptr<caller_call>& call)
{
  const auto read_state_of = [this, call](const found_job& found)
  {
    remember_home(call->id, found.job->home);
    m_store.state(
        progress_partition(call->id, found.job->home), call->id, k_read_timeout,
        [this, call](const written_state& written)
        {
          if (written.answered)
            send_state(*call, written.state.value_or(jobs::job_state::queued));
          else
            refuse(*call, {503, refusal_reason::store_unavailable, "the store did not answer"});
        });
  };
  with_job(call, read_state_of);
}

void caller_gateway::cancel(const std::shared_ptr<caller_call>& call)
{
  with_job(call,
           [this, call](const found_job& found)
           {
             const std::string home = found.job->home;
             if (!may_cancel(*call, *found.job))
             {
               refuse(*call, {403, refusal_reason::other_workspace,
                              "the job belongs to another workspace"});
               return;
             }
             if (found.cancelled)
             {
               on_cancelled(*call, home, true);
               return;
             }
             m_store.cancel(call->id, k_read_timeout,
                            [this, call, home](bool stored) { on_cancelled(*call, home, stored); });
           });
}

// Without a key a caller can only have come through a public queue, and may cancel the jobs of that
// queue: whoever submits there with a key need not cancel with it.
bool caller_gateway::may_cancel(const caller_call& call, const jobs::accepted_job& job)
{
  if (job.workspace.empty())
    return true;
  return call.workspace ? call.workspace->name == job.workspace : call.route->name == job.queue;
}

void caller_gateway::on_cancelled(const caller_call& call, const std::string& home, bool stored)
{
  if (!stored)
  {
    refuse(call, {504, refusal_reason::run_unclear, "the cancellation could not be kept for sure"});
    return;
  }
  common::log_decision("job_cancelled", call.id, {{"after_ms", m_time.now() - call.received}});
  call.respond({200, "{}", "application/json", {}});
  for (const auto& each : m_partitions)
  {
    if (each->partition() == home || home == jobs::k_every_partition)
      each->job_cancelled_here(call.id);
  }
}

// A caller cannot tell a wrong count from a right one, so a count that is too old is refused.
void caller_gateway::reply_with_pending_count(const caller_call& call)
{
  std::uint64_t pending = 0;
  for (const auto& each : m_partitions)
  {
    const pending_job_counts known = each->pending();
    const std::string& owner = each->seen().row.holder;
    if (!known.age || *known.age > k_max_count_age)
    {
      refuse(call, {503, refusal_reason::records_incomplete,
                    "the count that " + owner + " told is " + age_text(known.age)});
      return;
    }
    const auto found = known.jobs.find(call.route->name);
    const std::uint64_t waiting = found == known.jobs.end() ? 0 : found->second;
    common::log_request("count_shown", call.route->name,
                        {{"pending", waiting}, {"age_ms", *known.age}, {"owner", owner}});
    pending += waiting;
  }
  call.respond({200, adapter::pending_body(pending), "application/json", {}});
}
} // namespace yardhill::node
