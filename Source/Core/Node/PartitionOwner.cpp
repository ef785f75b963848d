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
// A later owner numbers its runs above every number an earlier one can have used: no task is
// started this often by one owner.
constexpr scheduling::run_number k_runs_per_epoch = 1000;
// After the partition's own rows are read, the workers' entries are waited for this long: they tell
// where there is room. Who may run something is told by the claims alone.
constexpr std::chrono::milliseconds k_entries_patience{700};
} // namespace

partition_owner::partition_owner(const node_parts& parts, instance_identity self,
                                 std::string partition, const ownership_options& options)
    : m_parts(parts),
      m_self(std::move(self)),
      m_partition(std::move(partition)),
      m_options(options),
      m_watch(parts.time, parts.clock, m_self, m_partition, options),
      m_better_owner(
          options, parts.path, [this] { return m_parts.spare_millis(m_partition); },
          parts.strongest_peer),
      m_earlier(parts.time, m_partition, parts.send_to_peer),
      m_quiet_since(parts.time.now()),
      m_step_timer(parts.time)
{
}

partition_owner::~partition_owner() = default;

// ---- Who owns the partition

void partition_owner::owner_row_changed(const adapter::row& row)
{
  const auto seen = m_watch.take_in(row);
  if (!seen)
    return;
  m_parts.capacities.note_all(seen->largest);
  if ((m_state == state::owning || m_state == state::loading) && seen->life != m_self.life &&
      row.version > m_token)
    lose("the owner's row names another instance");
  // A write of ours whose answer was lost has come true.
  // Not so for a row of an ownership that has ended: the feed may be far behind.
  if (m_state == state::watching && !m_stopping && m_watch.is_unclear_takeover(*seen))
  {
    adapter::transaction_result result;
    result.end = adapter::store_outcome::done;
    result.version = row.version;
    on_acquired(*seen, result);
  }
}

bool partition_owner::should_take(common::time_point now,
                                  std::optional<common::time_point> feed_healthy_since) const
{
  if (!feed_healthy_since || m_stopping || m_parts.queues.version == 0 || m_parts.path.isolated())
    return false;
  return m_watch.takeover_due(now, *feed_healthy_since, m_better_owner.stronger_peer());
}

void partition_owner::acquire()
{
  m_state = state::acquiring;
  m_takeover_sent = m_parts.time.now();
  // The write holds only if the row is still the one seen, so the earlier owner's latest renewal is
  // that one, and was asked for before it was seen.
  const seen_owner& earlier = m_watch.seen();
  m_earlier.begin(m_watch, earlier.row.epoch + 1);
  owner_row row;
  row.holder = m_self.name;
  row.life = m_self.life;
  row.epoch = earlier.row.epoch + 1;
  // What waited may still wait; this instance's own counts come once all jobs are read. They are as
  // old as they were: owners that are lost one after the other would pass them on for ever.
  row.pending = earlier.row.pending;
  row.counted_at = earlier.row.counted_at;
  row.waiting_cpu = earlier.row.waiting_cpu;
  row.free_cpu = earlier.row.free_cpu;
  row.largest = m_parts.capacities.largest();
  row.labels = earlier.row.labels;
  row.earlier_orders_end = m_parts.clock.latest_at(m_earlier.end());
  adapter::transaction change;
  change.conditions.push_back({owner_key(m_partition), earlier.version});
  change.puts.push_back({owner_key(m_partition), to_row_text(row)});
  common::log_process("take_over",
                      {{"partition", m_partition},
                       {"from", earlier.row.holder},
                       {"epoch", row.epoch},
                       {"silent_ms", m_parts.time.now() - earlier.changed_at},
                       {"earlier_left_ms", earlier_leases_end() - m_parts.time.now()}});
  m_parts.store.transact(change, k_takeover_timeout,
                         [this, row](const adapter::transaction_result& result)
                         {
                           if (m_state == state::acquiring)
                             on_acquired(row, result);
                         });
}

common::time_point partition_owner::earlier_leases_end() const
{
  if (m_earlier.end() == common::time_point{})
    return {};
  return m_earlier.end() + scheduling::scheduler_options{}.longest_lease();
}

void partition_owner::on_orders_question(const std::string& peer,
                                         const common::orders_question& question)
{
  // While this instance takes the partition over, an answer to an earlier takeover may still come.
  // Whoever has seen the later owner's row never becomes an earlier owner.
  if (question.partition != m_partition || m_state != state::watching ||
      m_watch.seen().row.epoch < question.epoch)
    return;
  const auto quiet =
      std::chrono::floor<std::chrono::milliseconds>(m_parts.time.now() - m_quiet_since);
  m_parts.send_to_peer(peer, common::orders_reply{m_partition, question.epoch,
                                                  static_cast<std::uint64_t>(quiet.count())});
}

void partition_owner::on_orders_reply(const std::string& peer, const common::orders_reply& reply)
{
  if (m_earlier.on_reply(peer, reply) && m_scheduler)
    m_scheduler->bring_earlier_end_forward(earlier_leases_end());
}

void partition_owner::on_acquired(const owner_row& row, const adapter::transaction_result& result)
{
  // The answer may be that to a copy of the write, which has met the row that it was to write.
  const adapter::row* const present = row_in(result.conflicting, k_owners_table);
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
    m_watch.pause(m_options.retry_pause);
    if (result.end == adapter::store_outcome::unclear)
      m_watch.takeover_unclear(row);
    common::log_process("take_over_failed", {{"partition", m_partition},
                                             {"end", adapter::to_text(result.end)},
                                             {"detail", result.detail}});
    if (present != nullptr)
      owner_row_changed(*present);
    return;
  }
  m_parts.metrics.add(common::counter::takeovers);
  m_row = row;
  m_token = result.version;
  m_earlier.count_again();
  m_watch.written(row, result.version);
  m_last_renewal = m_takeover_sent;
  m_ownership = std::make_shared<int>(0);
  load();
}

void partition_owner::load()
{
  m_state = state::loading;
  m_has_told_counts = false;
  m_intake = std::make_unique<job_intake>(m_parts.time, m_parts.feed_store, m_parts.clock,
                                          m_partition, m_token, [this] { step_soon(); });
  m_loader = std::make_shared<partition_loader>(
      m_parts.time, m_parts.store, m_parts.clock, m_partition,
      [this](loaded_partition loaded) { on_loaded(std::move(loaded)); });
  m_loader->start();
}

void partition_owner::on_loaded(loaded_partition loaded)
{
  m_loader.reset();
  m_loaded = std::move(loaded);
  m_loaded_at = m_parts.time.now();
  begin_when_known(m_loaded_at);
}

void partition_owner::workers_read()
{
  begin_when_known(m_parts.time.now());
}

void partition_owner::begin_when_known(common::time_point now)
{
  if (!m_loaded || (!m_parts.workers_known() && now - m_loaded_at < k_entries_patience))
    return;
  const loaded_partition loaded = *std::exchange(m_loaded, std::nullopt);
  begin_owning(loaded);
}

void partition_owner::begin_owning(const loaded_partition& loaded)
{
  m_state = state::owning;
  const common::time_point now = m_parts.time.now();
  start_commits(loaded);
  m_sweeper =
      std::make_unique<row_sweeper>(m_parts.time, m_parts.store, m_partition, m_options.keep_ended);
  m_sweeper->ended(loaded.ended);
  scheduling::scheduler_options options;
  options.share = m_parts.layout.share_of(m_partition);
  const auto first_run = static_cast<scheduling::run_number>((m_row.epoch - 1) * k_runs_per_epoch);
  m_scheduler = std::make_unique<scheduling::job_scheduler>(options, first_run, m_parts.metrics);
  m_scheduler->token_given(m_token);
  // Later owners count from the takeover's row; reading may have taken seconds since.
  m_scheduler->set_authority(m_takeover_sent + m_options.authority, m_takeover_sent);
  m_scheduler->hold_orders();
  m_scheduler->set_earlier_end(earlier_leases_end());
  tell_time(now);
  queues_changed();
  if (!m_earlier.told())
    m_scheduler->doubt_stated_ends();
  for (const auto& [id, claim] : loaded.claims)
    m_scheduler->restore_claim(id, claim, now);
  for (const auto& [id, info] : m_parts.worker_entries)
    worker_entry(info);
  m_intake->begin(*m_scheduler, loaded);
  m_scheduler->begin_accounting(now);
  common::log_process("partition_owned", {{"partition", m_partition},
                                          {"epoch", m_row.epoch},
                                          {"token", m_token},
                                          {"jobs", loaded.jobs.size()},
                                          {"load_ms", now - m_takeover_sent}});
  m_intake->follow_feed();
  step_soon();
}

bool partition_owner::has_labels(const jobs::job_spec& spec) const
{
  const std::set<std::string>& known = seen().row.labels;
  return std::all_of(spec.steps.begin(), spec.steps.end(),
                     [&known](const jobs::step_spec& step) {
                       return step.required_label.empty() || known.contains(step.required_label);
                     });
}

void partition_owner::job_kept_here(const jobs::accepted_job& job, adapter::row_version version)
{
  if (owns())
    m_intake->job_kept(job, version);
  else if (!seen().row.holder.empty())
    m_parts.send_to_peer(seen().row.holder,
                         common::job_notice{job.id, jobs::to_row_text(job), version});
}

void partition_owner::job_cancelled_here(const std::string& id)
{
  if (owns())
    m_intake->job_cancelled(id);
  else if (!seen().row.holder.empty())
    m_parts.send_to_peer(seen().row.holder, common::job_notice{id, {}, 0});
}

void partition_owner::on_notice(const common::job_notice& notice)
{
  if (m_intake)
    m_intake->on_notice(notice);
}

std::optional<jobs::job_state> partition_owner::written_state(const std::string& id) const
{
  if (!owns() || !m_scheduler->may_act(m_parts.time.now()))
    return std::nullopt;
  const auto latest = m_scheduler->state_of(id);
  if (!latest)
    return std::nullopt;
  // The store may say already that the job is active, and tells it to others.
  if (*latest == jobs::job_state::queued && m_commits->carries(id))
    return std::nullopt;
  if (jobs::is_final(*latest) && (m_commits->carries(id) || m_scheduler->unwritten(id)))
    return jobs::job_state::active;
  return latest;
}

known_pending partition_owner::pending() const
{
  const common::time_point now = m_parts.time.now();
  if (owns() && m_scheduler->may_act(now))
    return {m_scheduler->load().pending, now - m_intake->known_until()};
  const owner_row& told = seen().row;
  if (!told.counted_at)
    return {told.pending, std::nullopt};
  return {told.pending, m_parts.clock.age_of(*told.counted_at)};
}

void partition_owner::lose(const char* why)
{
  common::log_process("partition_lost", {{"partition", m_partition},
                                         {"why", why},
                                         {"epoch", m_row.epoch},
                                         {"token", m_token},
                                         {"holder", seen().row.holder}});
  m_parts.metrics.add(common::counter::owner_lost);
  scheduling::publish({}, m_parts.metrics);
  if (m_loader)
    m_loader->abandon();
  m_loader.reset();
  m_loaded.reset();
  m_intake.reset();
  m_ownership.reset();
  m_scheduler.reset();
  m_commits.reset();
  m_sweeper.reset();
  m_step_timer.cancel();
  m_step_due = false;
  m_releasing = false;
  m_better_owner.reset();
  m_state = state::watching;
  m_quiet_since = m_parts.time.now();
  m_watch.pause(m_options.silence);
}

// ---- What workers and callers bring

void partition_owner::worker_entry(const scheduling::worker_info& info)
{
  if (!owns() || m_parts.layout.of_worker(info.address) != m_partition)
    return;
  m_scheduler->worker_entry(info, m_parts.time.now());
  step_soon();
}

void partition_owner::worker_entry_invalid(const common::worker_id& id)
{
  if (!owns())
    return;
  m_scheduler->worker_entry_invalid(id);
  step_soon();
}

void partition_owner::worker_entry_gone(const common::worker_id& id)
{
  if (!owns())
    return;
  m_scheduler->worker_entry_gone(id, m_parts.time.now());
  step_soon();
}

void partition_owner::queues_changed()
{
  if (!owns())
    return;
  std::map<std::string, jobs::queue_policy> policies;
  for (const jobs::queue_route& route : m_parts.queues.routes)
    policies[route.name] = route.policy;
  m_scheduler->set_policies(std::move(policies));
  step_soon();
}

void partition_owner::store_heard()
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
    m_earlier.tick();
  begin_when_known(now);
  if (m_state != state::owning)
    return;
  m_sweeper->ended(m_scheduler->take_ended());
  m_sweeper->tick();
  if (now - m_last_step >= m_scheduler->pass_spacing())
    step();
}

void partition_owner::step_soon()
{
  if (m_step_due || !m_scheduler)
    return;
  m_step_due = true;
  // Events that come until then are worked off by the same pass.
  m_step_timer.start(m_scheduler->pass_spacing(),
                     [this]
                     {
                       m_step_due = false;
                       step();
                     });
}

void partition_owner::tell_time(common::time_point now)
{
  m_scheduler->set_wall_clock(m_parts.time.wall(), now);
}

void partition_owner::step()
{
  if (!owns())
    return;
  const common::time_point now = m_parts.time.now();
  m_last_step = now;
  tell_time(now);
  m_scheduler->set_advice_slots(m_parts.advice.slots(now));
  m_scheduler->set_order_times(m_parts.workers.worker_request_timeout(),
                               m_parts.workers.round_trip());
  m_scheduler->set_loop_lateness(m_parts.loop.latest());
  m_scheduler->tick(now);
  for (const scheduling::command& each : m_scheduler->take_commands())
    carry_out(each);
  if (m_scheduler->fenced())
  {
    lose("a worker obeys a later owner");
    return;
  }
  pump_commits(now);
  m_parts.metrics.record(common::timing::decision, m_parts.time.now() - now);
}

template<class answer_type>
std::function<void(answer_type)> partition_owner::while_owner(
    void (scheduling::job_scheduler::*handle)(const answer_type&, common::time_point))
{
  return [this, handle, alive = std::weak_ptr<int>(m_ownership)](const answer_type& answer)
  {
    if (alive.expired() || !m_scheduler)
      return;
    (m_scheduler.get()->*handle)(answer, m_parts.time.now());
    step_soon();
  };
}

void partition_owner::carry_out(const scheduling::command& what)
{
  using scheduling::job_scheduler;
  static constexpr std::array<std::optional<common::counter>,
                              std::variant_size_v<scheduling::command>>
      k_counters{common::counter::starts_sent, common::counter::stops_sent,
                 common::counter::holds_sent};
  if (const auto counted = k_counters.at(what.index()))
    m_parts.metrics.add(*counted);
  const common::time_point now = m_parts.time.now();
  if (const auto* start = std::get_if<scheduling::start_command>(&what))
    m_parts.workers.start(*start, now,
                          while_owner<scheduling::start_answer>(&job_scheduler::start_answered));
  else if (const auto* stop = std::get_if<scheduling::stop_command>(&what))
    m_parts.workers.stop(*stop, now,
                         while_owner<scheduling::stop_answer>(&job_scheduler::stop_answered));
  else if (const auto* hold = std::get_if<scheduling::hold_command>(&what))
    m_parts.workers.hold(*hold, now,
                         while_owner<scheduling::hold_answer>(&job_scheduler::hold_answered));
  else if (const auto* pace = std::get_if<scheduling::pace_command>(&what))
    m_parts.workers.pace(*pace);
  else if (const auto* advice = std::get_if<scheduling::advice_command>(&what))
    m_parts.advice.ask(*advice,
                       while_owner<scheduling::advice_answer>(&job_scheduler::advice_answered));
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
