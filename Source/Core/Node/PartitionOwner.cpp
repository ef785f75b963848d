// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/PartitionOwner.h"

#include <algorithm>
#include <array>
#include <utility>

#include "Common/EventLog.h"
#include "Scheduling/Backlog.h"

namespace yardhill::node
{
namespace
{
constexpr std::chrono::milliseconds k_takeover_timeout{900};
// Each owner's run numbers begin above every number that an earlier owner can have used: no task is
// started this often by one owner.
constexpr scheduling::run_number k_runs_per_epoch = 1000;
// How long a takeover waits for the worker entries after the partition's own rows are read. The
// entries only show where there is free capacity; which workers may be running something is known
// from the claims alone.
constexpr std::chrono::milliseconds k_worker_entries_timeout{700};
} // namespace

partition_owner::partition_owner(const owner_dependencies& dependencies, instance_identity self,
                                 std::string partition, const ownership_options& options)
    : m_dependencies(dependencies),
      m_self(std::move(self)),
      m_partition(std::move(partition)),
      m_options(options),
      m_watch(dependencies.time, dependencies.clock, m_self, m_partition, options),
      m_handover_policy(
          options, dependencies.path, [this] { return m_dependencies.spare_millis(m_partition); },
          dependencies.strongest_peer_millis),
      m_previous_requests(dependencies.time, m_partition, dependencies.send_to_peer),
      m_no_requests_since(dependencies.time.now()),
      m_isolation(options.max_commit_rows),
      m_pass_timer(dependencies.time)
{
}

partition_owner::~partition_owner() = default;

// ---- Ownership

void partition_owner::owner_row_changed(const adapter::row& row)
{
  const auto observed = m_watch.update(row);
  if (!observed)
    return;
  m_dependencies.capacities.add_all(observed->largest);
  if ((m_state == state::owning || m_state == state::loading) &&
      observed->life != m_self.incarnation && row.version > m_token)
    end_ownership("the owner's row names another instance");
  // A takeover of this instance was carried out although its reply was lost. This does not apply to
  // a row of an ownership that has ended: the feed may be far behind.
  if (m_state == state::watching && !m_stopping && m_watch.is_unanswered_takeover(*observed))
  {
    adapter::transaction_result result;
    result.end = adapter::store_outcome::done;
    result.version = row.version;
    on_acquired(*observed, result);
  }
}

bool partition_owner::should_take(common::time_point now,
                                  std::optional<common::time_point> feed_healthy_since) const
{
  if (!feed_healthy_since || m_stopping || m_dependencies.queues.version == 0 ||
      m_dependencies.path.isolated())
    return false;
  return m_watch.takeover_due(now, *feed_healthy_since, m_handover_policy.stronger_peer());
}

void partition_owner::acquire()
{
  m_state = state::acquiring;
  m_takeover_sent = m_dependencies.time.now();
  // The write succeeds only if the row is still the observed one. The previous owner's latest
  // renewal is then the observed one, and was requested before it was observed.
  const observed_owner& earlier = m_watch.observed();
  m_previous_requests.begin(m_watch, earlier.row.epoch + 1);
  owner_row row;
  row.holder = m_self.name;
  row.life = m_self.incarnation;
  row.epoch = earlier.row.epoch + 1;
  // Jobs that were waiting may still be waiting, so the previous owner's counts are passed on until
  // this instance has read all jobs. They keep their age: otherwise owners that are lost one after
  // the other would pass old counts on as new for ever.
  row.pending = earlier.row.pending;
  row.counted_at = earlier.row.counted_at;
  row.waiting_cpu = earlier.row.waiting_cpu;
  row.free_cpu = earlier.row.free_cpu;
  row.largest = m_dependencies.capacities.largest();
  row.labels = earlier.row.labels;
  row.previous_requests_end = m_dependencies.clock.latest_store_time(m_previous_requests.end());
  adapter::transaction change;
  change.conditions.push_back({owner_key(m_partition), earlier.version});
  change.puts.push_back({owner_key(m_partition), to_row_text(row)});
  common::log_process("take_over",
                      {{"partition", m_partition},
                       {"from", earlier.row.holder},
                       {"epoch", row.epoch},
                       {"silent_ms", m_dependencies.time.now() - earlier.changed_at},
                       {"earlier_left_ms", previous_leases_end() - m_dependencies.time.now()}});
  m_dependencies.store.transact(change, k_takeover_timeout,
                                [this, row](const adapter::transaction_result& result)
                                {
                                  if (m_state == state::acquiring)
                                    on_acquired(row, result);
                                });
}

common::time_point partition_owner::previous_leases_end() const
{
  if (m_previous_requests.end() == common::time_point{})
    return {};
  return m_previous_requests.end() + scheduling::scheduler_options{}.max_lease();
}

void partition_owner::on_orders_query(const std::string& peer,
                                      const common::previous_requests_query& question)
{
  // An instance that is taking the partition over does not reply: the reply to its own takeover may
  // still arrive and make it an earlier owner. An instance that has seen the later owner's row
  // never becomes an earlier owner.
  if (question.partition != m_partition || m_state != state::watching ||
      m_watch.observed().row.epoch < question.epoch)
    return;
  const auto quiet = std::chrono::floor<std::chrono::milliseconds>(m_dependencies.time.now() -
                                                                   m_no_requests_since);
  m_dependencies.send_to_peer(
      peer, common::previous_requests_reply{m_partition, question.epoch,
                                            static_cast<std::uint64_t>(quiet.count())});
}

void partition_owner::on_orders_reply(const std::string& peer,
                                      const common::previous_requests_reply& reply)
{
  if (m_previous_requests.on_reply(peer, reply) && m_scheduler)
    m_scheduler->shorten_earlier_owners_leases(previous_leases_end());
}

void partition_owner::on_acquired(const owner_row& row, const adapter::transaction_result& result)
{
  // The reply may be to a second copy of the write, which conflicted with the row that the first
  // copy wrote.
  const adapter::row* const present = find_row(result.conflicting, k_owners_table);
  const auto written = present == nullptr ? common::result<owner_row>(common::new_error({}))
                                          : owner_row_from(present->value);
  if (written && written->life == row.life && written->epoch == row.epoch)
  {
    adapter::transaction_result done;
    done.end = adapter::store_outcome::done;
    done.version = present->version;
    on_acquired(row, done);
    return;
  }
  if (result.end != adapter::store_outcome::done)
  {
    m_state = state::watching;
    m_watch.delay_takeover(m_options.retry_pause);
    if (result.end == adapter::store_outcome::unclear)
      m_watch.takeover_unanswered(row);
    common::log_process("take_over_failed", {{"partition", m_partition},
                                             {"end", adapter::to_text(result.end)},
                                             {"detail", result.detail}});
    if (present != nullptr)
      owner_row_changed(*present);
    return;
  }
  m_dependencies.metrics.add(common::counter::takeovers);
  m_row = row;
  m_token = result.version;
  m_previous_requests.recompute_end();
  m_watch.row_written(row, result.version);
  m_last_renewal = m_takeover_sent;
  m_ownership = std::make_shared<int>(0);
  load();
}

void partition_owner::load()
{
  m_state = state::loading;
  m_has_reported_counts = false;
  m_intake = std::make_unique<job_intake>(m_dependencies.time, m_dependencies.feed_store,
                                          m_dependencies.clock, m_partition, m_token,
                                          [this] { schedule_pass(); });
  m_loader = std::make_shared<partition_loader>(
      m_dependencies.time, m_dependencies.store, m_dependencies.clock, m_partition,
      [this](loaded_partition loaded) { on_loaded(std::move(loaded)); });
  m_loader->start();
}

void partition_owner::on_loaded(loaded_partition loaded)
{
  m_loader.reset();
  m_loaded = std::move(loaded);
  m_loaded_at = m_dependencies.time.now();
  begin_when_ready(m_loaded_at);
}

void partition_owner::worker_entries_read()
{
  begin_when_ready(m_dependencies.time.now());
}

void partition_owner::begin_when_ready(common::time_point now)
{
  if (!m_loaded ||
      (!m_dependencies.worker_entries_known() && now - m_loaded_at < k_worker_entries_timeout))
    return;
  const loaded_partition loaded = *std::exchange(m_loaded, std::nullopt);
  begin_owning(loaded);
}

void partition_owner::begin_owning(const loaded_partition& loaded)
{
  m_state = state::owning;
  m_isolation = commit_isolation(m_options.max_commit_rows);
  const common::time_point now = m_dependencies.time.now();
  start_commits(loaded);
  m_sweeper = std::make_unique<row_sweeper>(m_dependencies.time, m_dependencies.store, m_partition,
                                            m_options.ended_job_retention);
  m_sweeper->add_ended(loaded.ended);
  m_sweeper->add_unneeded_progress(loaded.unneeded_progress);
  scheduling::scheduler_options options;
  options.share = m_dependencies.layout.share_of(m_partition);
  options.rows = m_options.rows;
  const auto first_run = static_cast<scheduling::run_number>((m_row.epoch - 1) * k_runs_per_epoch);
  m_scheduler =
      std::make_unique<scheduling::job_scheduler>(options, first_run, m_dependencies.metrics);
  m_scheduler->token_given(m_token);
  // Later owners count this owner's authority from the takeover's row, so it starts when the
  // takeover was sent; reading the rows may have taken seconds since.
  m_scheduler->set_authority(m_takeover_sent + m_options.authority, m_takeover_sent);
  m_scheduler->suspend_starts();
  m_scheduler->set_earlier_owners_lease_end(previous_leases_end());
  update_wall_clock(now);
  queues_changed();
  if (!m_previous_requests.previous_end_reported())
    m_scheduler->ignore_stated_ends();
  for (const auto& [id, claim] : loaded.claims)
    m_scheduler->restore_claim(id, claim, now);
  for (const auto& [id, info] : m_dependencies.worker_entries)
    worker_entry(info);
  m_intake->begin(*m_scheduler, loaded);
  m_scheduler->begin_accounting(now);
  common::log_process("partition_owned", {{"partition", m_partition},
                                          {"epoch", m_row.epoch},
                                          {"token", m_token},
                                          {"jobs", loaded.jobs.size()},
                                          {"load_ms", now - m_takeover_sent}});
  m_intake->follow_feed();
  schedule_pass();
}

bool partition_owner::has_labels(const jobs::job_spec& spec) const
{
  const std::set<std::string>& known = seen().row.labels;
  return std::all_of(spec.steps.begin(), spec.steps.end(),
                     [&known](const jobs::step_spec& step) {
                       return step.required_label.empty() || known.contains(step.required_label);
                     });
}

void partition_owner::job_accepted_here(const jobs::accepted_job& job, adapter::row_version version)
{
  if (owns())
    m_intake->job_stored(job, version);
  else if (!seen().row.holder.empty())
    m_dependencies.send_to_peer(seen().row.holder,
                                common::job_notice{job.id, jobs::to_row_text(job), version});
}

void partition_owner::job_cancelled_here(const std::string& id)
{
  if (owns())
    m_intake->job_cancelled(id);
  else if (!seen().row.holder.empty())
    m_dependencies.send_to_peer(seen().row.holder, common::job_notice{id, {}, 0});
}

void partition_owner::on_notice(const common::job_notice& notice)
{
  if (m_intake)
    m_intake->on_notice(notice);
}

std::optional<jobs::job_state> partition_owner::written_state(const std::string& id) const
{
  if (!owns() || !m_scheduler->may_act(m_dependencies.time.now()))
    return std::nullopt;
  const auto latest = m_scheduler->state_of(id);
  if (!latest)
    return std::nullopt;
  // The store may already say that the job is active, and report that to others.
  if (*latest == jobs::job_state::queued && m_commits->has_in_flight(id))
    return std::nullopt;
  if (jobs::is_final(*latest) &&
      (m_commits->has_in_flight(id) || m_scheduler->has_uncommitted_state(id)))
    return jobs::job_state::active;
  return latest;
}

pending_job_counts partition_owner::pending() const
{
  const common::time_point now = m_dependencies.time.now();
  if (owns() && m_scheduler->may_act(now))
    return {m_scheduler->load().pending, now - m_intake->known_until()};
  const owner_row& reported = seen().row;
  if (!reported.counted_at)
    return {reported.pending, std::nullopt};
  return {reported.pending, m_dependencies.clock.age_of(*reported.counted_at)};
}

void partition_owner::end_ownership(const char* why)
{
  common::log_process("partition_lost", {{"partition", m_partition},
                                         {"why", why},
                                         {"epoch", m_row.epoch},
                                         {"token", m_token},
                                         {"holder", seen().row.holder}});
  m_dependencies.metrics.add(common::counter::owner_lost);
  scheduling::publish({}, m_dependencies.metrics);
  if (m_loader)
    m_loader->abandon();
  m_loader.reset();
  m_loaded.reset();
  m_intake.reset();
  m_ownership.reset();
  m_scheduler.reset();
  m_commits.reset();
  m_sweeper.reset();
  m_pass_timer.cancel();
  m_pass_scheduled = false;
  m_releasing = false;
  m_handover_policy.reset();
  m_state = state::watching;
  m_no_requests_since = m_dependencies.time.now();
  m_watch.delay_takeover(m_options.silence);
}

// ---- Events from workers, callers and the store

void partition_owner::worker_entry(const scheduling::worker_info& info)
{
  if (!owns() || m_dependencies.layout.partition_of_worker(info.address) != m_partition)
    return;
  m_scheduler->worker_entry(info, m_dependencies.time.now());
  schedule_pass();
}

void partition_owner::worker_entry_invalid(const common::worker_id& id)
{
  if (!owns())
    return;
  m_scheduler->worker_entry_invalid(id);
  schedule_pass();
}

void partition_owner::worker_entry_gone(const common::worker_id& id)
{
  if (!owns())
    return;
  m_scheduler->worker_entry_gone(id, m_dependencies.time.now());
  schedule_pass();
}

void partition_owner::queues_changed()
{
  if (!owns())
    return;
  std::map<std::string, jobs::queue_policy> policies;
  for (const jobs::queue_route& route : m_dependencies.queues.routes)
    policies[route.name] = route.policy;
  m_scheduler->set_policies(std::move(policies));
  if (m_dependencies.queues.workspaces)
    m_scheduler->set_workspaces(m_dependencies.queues.workspaces->all());
  schedule_pass();
}

void partition_owner::on_store_reachable()
{
  if (m_intake)
    m_intake->ask_again();
}

// ---- Running the scheduler

void partition_owner::tick(common::time_point now,
                           std::optional<common::time_point> feed_healthy_since)
{
  if (m_state == state::watching && should_take(now, feed_healthy_since))
    acquire();
  if (m_state == state::owning || m_state == state::loading)
    m_previous_requests.tick();
  begin_when_ready(now);
  if (m_state != state::owning)
    return;
  m_sweeper->add_ended(m_scheduler->take_ended_jobs());
  m_sweeper->tick();
  if (now - m_last_pass >= m_scheduler->pass_spacing())
    run_pass();
}

void partition_owner::schedule_pass()
{
  if (m_pass_scheduled || !m_scheduler)
    return;
  m_pass_scheduled = true;
  // Events that arrive before then are handled by the same pass.
  m_pass_timer.start(m_scheduler->pass_spacing(),
                     [this]
                     {
                       m_pass_scheduled = false;
                       run_pass();
                     });
}

void partition_owner::update_wall_clock(common::time_point now)
{
  m_scheduler->set_wall_clock(m_dependencies.time.wall(), now);
}

void partition_owner::run_pass()
{
  if (!owns())
    return;
  const common::time_point now = m_dependencies.time.now();
  m_last_pass = now;
  update_wall_clock(now);
  m_scheduler->set_advice_slots(m_dependencies.advice.slots(now));
  m_scheduler->set_request_times(m_dependencies.workers.worker_request_timeout(),
                                 m_dependencies.workers.round_trip());
  m_scheduler->set_loop_lateness(m_dependencies.loop.latest());
  m_scheduler->tick(now);
  for (const scheduling::command& each : m_scheduler->take_commands())
    execute(each);
  if (m_scheduler->fenced())
  {
    end_ownership("a worker obeys a later owner");
    return;
  }
  commit_if_due(now);
  m_dependencies.metrics.record(common::timing::decision, m_dependencies.time.now() - now);
}

template<class answer_type>
std::function<void(answer_type)> partition_owner::while_owner(
    void (scheduling::job_scheduler::*handle)(const answer_type&, common::time_point))
{
  return [this, handle, alive = std::weak_ptr<int>(m_ownership)](const answer_type& answer)
  {
    if (alive.expired() || !m_scheduler)
      return;
    (m_scheduler.get()->*handle)(answer, m_dependencies.time.now());
    schedule_pass();
  };
}

void partition_owner::execute(const scheduling::command& command)
{
  using scheduling::job_scheduler;
  static constexpr std::array<std::optional<common::counter>,
                              std::variant_size_v<scheduling::command>>
      k_counters{common::counter::starts_sent, common::counter::stops_sent,
                 common::counter::holds_sent};
  if (const auto counted = k_counters.at(command.index()))
    m_dependencies.metrics.add(*counted);
  const common::time_point now = m_dependencies.time.now();
  if (const auto* start = std::get_if<scheduling::start_command>(&command))
    m_dependencies.workers.start(
        *start, now, while_owner<scheduling::start_answer>(&job_scheduler::start_answered));
  else if (const auto* stop = std::get_if<scheduling::stop_command>(&command))
    m_dependencies.workers.stop(
        *stop, now, while_owner<scheduling::stop_answer>(&job_scheduler::stop_answered));
  else if (const auto* hold = std::get_if<scheduling::hold_command>(&command))
    m_dependencies.workers.hold(
        *hold, now, while_owner<scheduling::hold_answer>(&job_scheduler::hold_answered));
  else if (const auto* pace = std::get_if<scheduling::pace_command>(&command))
    m_dependencies.workers.pace(*pace);
  else if (const auto* advice = std::get_if<scheduling::advice_command>(&command))
    m_dependencies.advice.ask(
        *advice, while_owner<scheduling::advice_answer>(&job_scheduler::advice_answered));
}

void partition_owner::hand_over()
{
  m_stopping = true;
}

bool partition_owner::handed_over() const
{
  return m_stopping && m_state == state::watching;
}
} // namespace yardhill::node
