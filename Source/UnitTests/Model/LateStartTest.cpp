// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// A start request that had no answer is carried out seconds late, by the next incarnation of its
// worker, which keeps the id and knows nothing of the earlier one. If the task has been done
// meanwhile and its end is acknowledged, it runs a second time (TWICE); if the next incarnation is
// smaller, several such starts together exceed its capacity (LIMIT).
//
// Each case forces one order of events: the delayed request arrives at a chosen time after the
// incarnation's beginning. A worker rejects it once it has seen a higher fencing token, so the
// cases are separated by whether an owner can have reached the incarnation by then.

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "Model/ExploredCell.h"
#include "platform/WireNames.h"

using namespace yardhill;
using namespace yardhill::model;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
namespace wire = adapter::wire;

namespace
{
constexpr std::uint64_t k_seed_count = 3;
constexpr milliseconds k_observation_time{3000};
constexpr std::uint32_t k_other_tasks = 40;

// Times from the incarnation's beginning until the delayed request arrives.
//
// An owner learns of an incarnation from its entry and then sends a hold, so at least two messages
// pass, which take up to 3 ms each. No fencing token prevents a start before that. All that is left
// to the owner is not to acknowledge the end of the task's run while a copy of its start request
// may still arrive: TWICE counts only ends that are taken note of.
const std::vector<milliseconds> k_before_any_hold{milliseconds{1}, milliseconds{2},
                                                  milliseconds{5}};
// The owner's first hold can have arrived, and has to carry a higher token than the request.
const std::vector<milliseconds> k_around_first_hold{milliseconds{10}, milliseconds{15},
                                                    milliseconds{20}, milliseconds{30}};
const std::vector<milliseconds> k_after_first_hold{milliseconds{50},  milliseconds{100},
                                                   milliseconds{200}, milliseconds{300},
                                                   milliseconds{500}, milliseconds{1000}};
// For an incarnation whose entry is written k_entry_delay after its beginning. Only holds at the
// worker that fell silent can show the incarnation sooner.
constexpr milliseconds k_entry_delay{500};
const std::vector<milliseconds> k_before_entry{
    milliseconds{50}, milliseconds{100}, milliseconds{200}, milliseconds{300}, milliseconds{450}};
const std::vector<milliseconds> k_after_entry{milliseconds{550}, milliseconds{700},
                                              milliseconds{1000}};

// What becomes of the worker while the delayed request is in flight.
enum class fate
{
  restarts,                // once, `arrival` before the request arrives
  silent_then_restarts,    // the worker gets no call meanwhile, so the task is started elsewhere
  restarts_twice,          // right after the request was sent, and `arrival` before it arrives
  restarts_after_the_send, // only right after the request was sent
};

struct late_start_plan
{
  std::uint64_t seed = 1;
  milliseconds delay{4000}; // of the first copy of the start request
  milliseconds arrival{0};  // of that copy, after the beginning of the latest incarnation
  milliseconds downtime{700};
  milliseconds entry_delay{0};
  milliseconds store_time{0}; // of each transaction and read from the last crash on
  fate worker = fate::restarts;
  bool busy = false; // the worker has other runs
  bool speculative = false;
  std::optional<milliseconds> owner_killed; // after the first copy was sent
  std::uint32_t tasks = 1;
  std::int64_t cpu_millis = 500;
  bool smaller_incarnations = false;
  bool unanswered_copies = false; // further copies of the start request are lost
};

struct late_start_result
{
  bool forced = false;      // the events had the planned order
  bool carried_out = false; // by the late arrival
  std::vector<std::string> violations;
  std::string trace;
};

// Plays one plan. It sees and decides about all calls that reach workers.
class late_start_play
{
public:
  explicit late_start_play(const late_start_plan& plan) : m_plan(plan), m_cell(plan.seed)
  {
    // The clock begins below that of the earlier incarnation, so that no request comes too late by
    // its lease end.
    m_cell.fleet().set_incarnation_planner([] { return incarnation_plan{true, {}, {}}; });
    for (fleet_worker& each : m_cell.workers())
      m_cell.network().serve(each.settings.address, each.machine,
                             [this, &each](const std::string& from, const http::request& call,
                                           http::reply_handler done)
                             { on_call(each, from, call, std::move(done)); });
  }

  late_start_result play()
  {
    m_cell.judge().expect_connectivity();
    run_for(seconds{3});
    if (m_plan.busy)
    {
      m_cell.callers().hand_in(job_of(k_other_tasks, 1000, true));
      run_for(seconds{2});
    }
    jobs::job_spec spec = job_of(m_plan.tasks, m_plan.cpu_millis, false);
    spec.steps.front().speculative = m_plan.speculative;
    m_job = m_cell.callers().hand_in(spec);
    run_for(m_plan.delay + seconds{1} + k_observation_time);
    check_second_starts();
    m_result.forced = m_result.forced && m_arrived == m_delayed.size() && !m_delayed.empty() &&
                      (m_plan.tasks == 1 || m_delayed.size() > 1);
    m_result.violations.insert(m_result.violations.end(), m_cell.judge().violations().begin(),
                               m_cell.judge().violations().end());
    return m_result;
  }

private:
  struct observed_run
  {
    std::string life;
    std::uint64_t number = 0; // of its end
    time_point listed;
    bool acknowledged = false;
  };

  static jobs::job_spec job_of(std::uint32_t count, std::int64_t cpu_millis, bool long_running)
  {
    jobs::step_spec step;
    step.count = count;
    step.demand.cpu_millis = cpu_millis;
    step.demand.memory_mib = 100;
    step.estimate = milliseconds{900};
    step.long_running = long_running;
    jobs::job_spec spec;
    spec.payload = "payload";
    spec.steps = {step};
    return spec;
  }

  void run_for(duration span) { m_cell.time().run_until(m_cell.time().now() + span); }

  void note(const std::string& text)
  {
    const auto at =
        std::chrono::duration_cast<std::chrono::microseconds>(m_cell.time().now() - m_cell.begin());
    std::string ms = std::to_string(static_cast<double>(at.count()) / 1000.0);
    m_result.trace += "\n    " + ms.substr(0, ms.size() - 4) + " ms " + text;
  }

  bool is_own(const json& body) const
  {
    return !m_job.empty() && body.value(wire::k_task, std::string()).starts_with(m_job);
  }

  void on_call(fleet_worker& which, const std::string& from, const http::request& call,
               http::reply_handler done)
  {
    const json body = json::parse(call.body);
    const bool first_copy = call.target == wire::k_start_path && is_own(body) &&
                            !m_delayed.contains(body.at(wire::k_task)) && chooses(which);
    if (first_copy)
    {
      delay_start(which, from, call);
      return;
    }
    const bool own_start = call.target == wire::k_start_path && is_own(body);
    const bool lost = (m_silent && &which == m_worker) ||
                      (m_plan.unanswered_copies && own_start && &which == m_worker &&
                       which.incarnations_begun == m_first_incarnation);
    if (lost)
    {
      if (own_start)
        note("run-start: " + describe(which, from, body) + ": lost");
      return;
    }
    deliver(which, from, call, std::move(done));
  }

  // The first start chooses the worker; a plan for a smaller incarnation needs the smallest kind.
  bool chooses(const fleet_worker& which)
  {
    if (m_worker != nullptr)
      return m_worker == &which && which.incarnations_begun == m_first_incarnation &&
             m_plan.tasks > 1;
    return !m_plan.smaller_incarnations || &which == &m_cell.workers().front();
  }

  void delay_start(fleet_worker& which, const std::string& from, http::request call)
  {
    const json body = json::parse(call.body);
    note("run-start: " + describe(which, from, body) + ": delayed");
    m_delayed.insert(body.at(wire::k_task).get<std::string>());
    if (m_worker == nullptr)
      schedule_faults(which, from);
    call.headers.emplace_back(k_delayed_call_header, "");
    const duration left = m_sent + m_plan.delay - m_cell.time().now();
    m_cell.time().schedule(left,
                           [this, &which, from, call]
                           {
                             note("the delayed request arrives");
                             if (m_plan.worker == fate::restarts_after_the_send)
                               m_result.forced = planned_state();
                             ++m_arrived;
                             deliver(which, from, call, nullptr);
                           });
  }

  void schedule_faults(fleet_worker& which, const std::string& owner)
  {
    m_worker = &which;
    m_first_incarnation = which.incarnations_begun;
    m_sent = m_cell.time().now();
    m_silent = m_plan.worker == fate::silent_then_restarts;
    if (m_plan.worker == fate::restarts_twice || m_plan.worker == fate::restarts_after_the_send)
      schedule_restart(milliseconds{50}, false);
    if (m_plan.worker != fate::restarts_after_the_send)
      schedule_restart(m_plan.delay - m_plan.arrival - m_plan.downtime, true);
    if (m_plan.owner_killed)
      m_cell.time().schedule(*m_plan.owner_killed, [this, owner] { replace(owner); });
  }

  void replace(const std::string& owner)
  {
    for (explored_instance& each : m_cell.instances())
    {
      if (each.name != owner)
        continue;
      note("owner " + owner + " is killed");
      m_cell.end_instance(each);
      m_cell.time().schedule(milliseconds{500}, [this, &each] { m_cell.start_instance(each); });
    }
  }

  void schedule_restart(duration after, bool last)
  {
    m_cell.time().schedule(after,
                           [this, last]
                           {
                             if (last)
                             {
                               m_result.forced = planned_state();
                               m_cell.store().set_transaction_time(m_plan.store_time);
                             }
                             note("worker " + m_worker->settings.life + " crashes");
                             m_cell.judge().worker_crashed(m_worker->settings.life);
                             worker_fleet::end_life(*m_worker);
                             m_silent = false;
                           });
    m_cell.time().schedule(after + m_plan.downtime, [this] { begin_incarnation(); });
  }

  // Before the last crash (or, without one, the arrival) each delayed task has to be done and its
  // end listed, unless the plan lets no copy of its start through.
  bool planned_state()
  {
    if (m_plan.busy && !m_cell.judge().busy_workers().contains(m_worker->settings.life))
      return false;
    if (m_plan.unanswered_copies && m_plan.worker == fate::restarts)
      return true;
    return std::all_of(m_delayed.begin(), m_delayed.end(),
                       [this](const std::string& task)
                       {
                         const auto found = m_done.find(task);
                         return found != m_done.end() && !found->second.empty();
                       });
  }

  void begin_incarnation()
  {
    if (m_plan.smaller_incarnations)
      m_worker->settings.capacity.cpu_millis /= 2;
    m_cell.fleet().begin_life(*m_worker);
    note("worker " + m_worker->settings.life + " begins");
    m_cell.time().schedule(m_plan.entry_delay,
                           [this]
                           {
                             note("its entry is written");
                             m_cell.update_entry(*m_worker);
                           });
  }

  std::string describe(const fleet_worker& which, const std::string& from, const json& body) const
  {
    std::string text = from + " to " + which.settings.life + ": token " +
                       std::to_string(body.value(wire::k_fencing_token, std::uint64_t{0}));
    if (body.contains(wire::k_task))
      text = body.value(wire::k_task, std::string()) + " run " +
             std::to_string(body.value(wire::k_run, 0)) + ", " + text;
    return text;
  }

  void deliver(fleet_worker& which, const std::string& from, const http::request& call,
               http::reply_handler done)
  {
    const json body = json::parse(call.body);
    if (!which.model)
    {
      if (&which == m_worker)
        note(call.target.substr(call.target.rfind('/') + 1) + ": " + describe(which, from, body) +
             ": nobody is there");
      return;
    }
    const std::string life = which.settings.life;
    if (call.target == wire::k_hold_path)
      note_hold(which, from, body);
    worker_fleet::handle(
        which, call,
        [this, &which, from, body, path = call.target, life, done](const http::reply& reply)
        {
          if (path == wire::k_hold_path)
            read_ends(life, reply);
          else if (is_own(body))
            note_order(which, from, body, path, reply, !done);
          if (done)
            done(reply);
        });
  }

  void note_order(const fleet_worker& which, const std::string& from, const json& body,
                  const std::string& path, const http::reply& reply, bool late)
  {
    std::string reason;
    if (reply.status == 409)
      reason = " " + json::parse(reply.body).value(wire::k_reason, std::string());
    const std::string task = body.at(wire::k_task);
    if (m_delayed.contains(task))
      note(path.substr(path.rfind('/') + 1) + ": " + describe(which, from, body) + ": " +
           std::to_string(reply.status) + reason);
    if (path != wire::k_start_path || reply.status != 200)
      return;
    m_starts.emplace_back(task, m_cell.time().now());
    m_result.carried_out |= late;
  }

  // Notes the first hold of each token at an incarnation, and acknowledgements of delayed tasks.
  void note_hold(const fleet_worker& which, const std::string& from, const json& body)
  {
    const std::string& life = which.settings.life;
    const std::uint64_t token = body.value(wire::k_fencing_token, std::uint64_t{0});
    const std::uint64_t last_seen = body.value(wire::k_acknowledged_end, std::uint64_t{0});
    if (&which == m_worker && m_holds_noted.insert({life, token}).second)
      note("first hold: " + describe(which, from, body));
    for (auto& [task, runs] : m_done)
    {
      for (observed_run& each : runs)
      {
        if (each.life != life || each.acknowledged || each.number > last_seen)
          continue;
        each.acknowledged = true;
        if (m_delayed.contains(task))
          note(std::string("the end of ").append(task).append(" is acknowledged at ").append(life));
      }
    }
  }

  void read_ends(const std::string& life, const http::reply& reply)
  {
    if (reply.status != 200 || m_job.empty())
      return;
    const json lists = json::parse(reply.body);
    for (const json& end : lists.at(wire::k_finished))
    {
      const std::string task = end.at(1);
      const std::uint64_t number = end.at(0);
      if (!task.starts_with(m_job) || end.at(3) != "done" ||
          !m_ends_read.insert({life, number}).second)
        continue;
      m_done[task].push_back({life, number, m_cell.time().now(), false});
      if (m_delayed.contains(task))
        note(std::string("the end of ").append(task).append(" as done is listed by ").append(life));
    }
  }

  // TWICE also counts an end that is acknowledged only after the second start.
  void check_second_starts()
  {
    if (m_plan.speculative)
      return;
    for (const auto& [task, at] : m_starts)
    {
      for (const observed_run& each : m_done[task])
      {
        if (each.acknowledged && at > each.listed)
          m_result.violations.push_back("TWICE: " + task + " started after it was done at " +
                                        each.life + ", an end that is taken note of");
      }
    }
  }

  late_start_plan m_plan;
  explored_cell m_cell;
  late_start_result m_result;
  std::string m_job;
  fleet_worker* m_worker = nullptr; // that of the delayed requests
  unsigned m_first_incarnation = 0;
  time_point m_sent{};
  bool m_silent = false;
  std::set<std::string> m_delayed; // tasks
  std::size_t m_arrived = 0;
  std::map<std::string, std::vector<observed_run>> m_done; // by task
  std::vector<std::pair<std::string, time_point>> m_starts;
  std::set<std::pair<std::string, std::uint64_t>> m_ends_read;
  std::set<std::pair<std::string, std::uint64_t>> m_holds_noted;
};

// Plays the plan with each arrival and some seeds.
void check(late_start_plan plan, const std::vector<milliseconds>& arrivals)
{
  std::size_t forced = 0;
  for (const milliseconds arrival : arrivals)
  {
    for (std::uint64_t seed = 1; seed <= k_seed_count; ++seed)
    {
      plan.arrival = arrival;
      plan.seed = seed;
      const late_start_result result = late_start_play(plan).play();
      // A run may fail by its own fault, which depends on the seed.
      if (!result.forced)
      {
        BOOST_TEST_MESSAGE("not forced: seed " << seed << " arrival " << arrival.count() << " ms"
                                               << result.trace);
        continue;
      }
      ++forced;
      std::string text;
      for (const std::string& each : result.violations)
        text += "\n  " + each;
      BOOST_TEST_MESSAGE("seed " << seed << " arrival " << arrival.count()
                                 << " ms carried out: " << result.carried_out);
      BOOST_TEST(result.violations.empty(), "seed " << seed << ", arrival " << arrival.count()
                                                    << " ms after the beginning" << text
                                                    << result.trace);
    }
  }
  BOOST_TEST(2 * forced > arrivals.size() * k_seed_count, forced << " plays had the planned order");
}
} // namespace

BOOST_AUTO_TEST_SUITE(LateStartTest)

// The second copy of the start request is carried out, the run is done and its end acknowledged.
BOOST_AUTO_TEST_CASE(idle_worker_before_any_hold)
{
  late_start_plan plan;
  check(plan, k_before_any_hold);
}

BOOST_AUTO_TEST_CASE(idle_worker_around_the_first_hold)
{
  late_start_plan plan;
  check(plan, k_around_first_hold);
}

BOOST_AUTO_TEST_CASE(idle_worker_after_the_first_hold)
{
  late_start_plan plan;
  check(plan, k_after_first_hold);
}

BOOST_AUTO_TEST_CASE(busy_worker_before_any_hold)
{
  late_start_plan plan;
  plan.busy = true;
  check(plan, k_before_any_hold);
}

BOOST_AUTO_TEST_CASE(busy_worker_around_the_first_hold)
{
  late_start_plan plan;
  plan.busy = true;
  check(plan, k_around_first_hold);
}

BOOST_AUTO_TEST_CASE(busy_worker_after_the_first_hold)
{
  late_start_plan plan;
  plan.busy = true;
  check(plan, k_after_first_hold);
}

// The holds to the earlier incarnation have failed before the next one begins.
BOOST_AUTO_TEST_CASE(idle_worker_long_down_before_any_hold)
{
  late_start_plan plan;
  plan.downtime = milliseconds{2500};
  plan.delay = seconds{6};
  check(plan, k_before_any_hold);
}

BOOST_AUTO_TEST_CASE(idle_worker_long_down_around_the_first_hold)
{
  late_start_plan plan;
  plan.downtime = milliseconds{2500};
  plan.delay = seconds{6};
  check(plan, k_around_first_hold);
}

BOOST_AUTO_TEST_CASE(idle_worker_long_down_after_the_first_hold)
{
  late_start_plan plan;
  plan.downtime = milliseconds{2500};
  plan.delay = seconds{6};
  check(plan, k_after_first_hold);
}

// From the crash on the store takes 200 ms for each call.
BOOST_AUTO_TEST_CASE(idle_worker_slow_store_around_the_first_hold)
{
  late_start_plan plan;
  plan.store_time = milliseconds{200};
  check(plan, k_around_first_hold);
}

BOOST_AUTO_TEST_CASE(idle_worker_slow_store_after_the_first_hold)
{
  late_start_plan plan;
  plan.store_time = milliseconds{200};
  check(plan, k_after_first_hold);
}

BOOST_AUTO_TEST_CASE(speculative_step_before_any_hold)
{
  late_start_plan plan;
  plan.speculative = true;
  check(plan, k_before_any_hold);
}

BOOST_AUTO_TEST_CASE(speculative_step_around_the_first_hold)
{
  late_start_plan plan;
  plan.speculative = true;
  check(plan, k_around_first_hold);
}

BOOST_AUTO_TEST_CASE(speculative_step_after_the_first_hold)
{
  late_start_plan plan;
  plan.speculative = true;
  check(plan, k_after_first_hold);
}

// The delayed request was the only one that the worker could have carried out.
BOOST_AUTO_TEST_CASE(done_elsewhere_after_silence_around_the_first_hold)
{
  late_start_plan plan;
  plan.worker = fate::silent_then_restarts;
  plan.delay = seconds{12};
  check(plan, k_around_first_hold);
}

BOOST_AUTO_TEST_CASE(done_elsewhere_after_silence_after_the_first_hold)
{
  late_start_plan plan;
  plan.worker = fate::silent_then_restarts;
  plan.delay = seconds{12};
  check(plan, k_after_first_hold);
}

BOOST_AUTO_TEST_CASE(speculative_done_elsewhere_after_silence_before_any_hold)
{
  late_start_plan plan;
  plan.worker = fate::silent_then_restarts;
  plan.delay = seconds{12};
  plan.speculative = true;
  check(plan, k_before_any_hold);
}

BOOST_AUTO_TEST_CASE(speculative_done_elsewhere_after_silence_around_the_first_hold)
{
  late_start_plan plan;
  plan.worker = fate::silent_then_restarts;
  plan.delay = seconds{12};
  plan.speculative = true;
  check(plan, k_around_first_hold);
}

BOOST_AUTO_TEST_CASE(speculative_done_elsewhere_after_silence_after_the_first_hold)
{
  late_start_plan plan;
  plan.worker = fate::silent_then_restarts;
  plan.delay = seconds{12};
  plan.speculative = true;
  check(plan, k_after_first_hold);
}

BOOST_AUTO_TEST_CASE(done_elsewhere_after_restart_around_the_first_hold)
{
  late_start_plan plan;
  plan.worker = fate::restarts_twice;
  plan.delay = seconds{6};
  check(plan, k_around_first_hold);
}

BOOST_AUTO_TEST_CASE(done_elsewhere_after_restart_after_the_first_hold)
{
  late_start_plan plan;
  plan.worker = fate::restarts_twice;
  plan.delay = seconds{6};
  check(plan, k_after_first_hold);
}

// Another owner has held the worker before it restarts.
BOOST_AUTO_TEST_CASE(owner_replaced_around_the_first_hold)
{
  late_start_plan plan;
  plan.owner_killed = milliseconds{2300};
  plan.delay = seconds{11};
  check(plan, k_around_first_hold);
}

BOOST_AUTO_TEST_CASE(owner_replaced_after_the_first_hold)
{
  late_start_plan plan;
  plan.owner_killed = milliseconds{2300};
  plan.delay = seconds{11};
  check(plan, k_after_first_hold);
}

BOOST_AUTO_TEST_CASE(busy_worker_owner_replaced_around_the_first_hold)
{
  late_start_plan plan;
  plan.busy = true;
  plan.owner_killed = milliseconds{2300};
  plan.delay = seconds{11};
  check(plan, k_around_first_hold);
}

BOOST_AUTO_TEST_CASE(busy_worker_owner_replaced_after_the_first_hold)
{
  late_start_plan plan;
  plan.busy = true;
  plan.owner_killed = milliseconds{2300};
  plan.delay = seconds{11};
  check(plan, k_after_first_hold);
}

BOOST_AUTO_TEST_CASE(owner_replaced_shortly_before_around_the_first_hold)
{
  late_start_plan plan;
  plan.owner_killed = milliseconds{2300};
  plan.delay = seconds{5};
  check(plan, k_around_first_hold);
}

BOOST_AUTO_TEST_CASE(owner_replaced_shortly_before_after_the_first_hold)
{
  late_start_plan plan;
  plan.owner_killed = milliseconds{2300};
  plan.delay = seconds{5};
  check(plan, k_after_first_hold);
}

// Tasks of 1.9 cores, two of them on a worker of 4 cores whose next incarnation has 2.
BOOST_AUTO_TEST_CASE(smaller_incarnation_around_the_first_hold)
{
  late_start_plan plan;
  plan.tasks = 36;
  plan.cpu_millis = 1900;
  plan.smaller_incarnations = true;
  plan.delay = seconds{6};
  check(plan, k_around_first_hold);
}

BOOST_AUTO_TEST_CASE(smaller_incarnation_after_the_first_hold)
{
  late_start_plan plan;
  plan.tasks = 36;
  plan.cpu_millis = 1900;
  plan.smaller_incarnations = true;
  plan.delay = seconds{6};
  check(plan, k_after_first_hold);
}

// No copy of the start requests was carried out before the worker crashes.
BOOST_AUTO_TEST_CASE(smaller_incarnation_tasks_still_starting_around_the_first_hold)
{
  late_start_plan plan;
  plan.tasks = 36;
  plan.cpu_millis = 1900;
  plan.smaller_incarnations = true;
  plan.delay = seconds{6};
  plan.unanswered_copies = true;
  check(plan, k_around_first_hold);
}

BOOST_AUTO_TEST_CASE(smaller_incarnation_tasks_still_starting_after_the_first_hold)
{
  late_start_plan plan;
  plan.tasks = 36;
  plan.cpu_millis = 1900;
  plan.smaller_incarnations = true;
  plan.delay = seconds{6};
  plan.unanswered_copies = true;
  check(plan, k_after_first_hold);
}

// The next incarnation's entry is written late.
BOOST_AUTO_TEST_CASE(idle_worker_entry_late_before_it)
{
  late_start_plan plan;
  plan.entry_delay = k_entry_delay;
  check(plan, k_before_entry);
}

BOOST_AUTO_TEST_CASE(idle_worker_entry_late_after_it)
{
  late_start_plan plan;
  plan.entry_delay = k_entry_delay;
  check(plan, k_after_entry);
}

BOOST_AUTO_TEST_CASE(busy_worker_entry_late_before_it)
{
  late_start_plan plan;
  plan.busy = true;
  plan.entry_delay = k_entry_delay;
  check(plan, k_before_entry);
}

BOOST_AUTO_TEST_CASE(busy_worker_entry_late_after_it)
{
  late_start_plan plan;
  plan.busy = true;
  plan.entry_delay = k_entry_delay;
  check(plan, k_after_entry);
}

BOOST_AUTO_TEST_CASE(idle_worker_long_down_entry_late_before_it)
{
  late_start_plan plan;
  plan.downtime = milliseconds{2500};
  plan.delay = seconds{6};
  plan.entry_delay = k_entry_delay;
  check(plan, k_before_entry);
}

BOOST_AUTO_TEST_CASE(idle_worker_long_down_entry_late_after_it)
{
  late_start_plan plan;
  plan.downtime = milliseconds{2500};
  plan.delay = seconds{6};
  plan.entry_delay = k_entry_delay;
  check(plan, k_after_entry);
}

// The request arrives when its task is done elsewhere and the incarnation has been held for
// seconds.
BOOST_AUTO_TEST_CASE(incarnation_held_for_seconds)
{
  late_start_plan plan;
  plan.worker = fate::restarts_after_the_send;
  plan.delay = seconds{6};
  check(plan, {milliseconds{0}});
}

BOOST_AUTO_TEST_SUITE_END()

// The delayed request arrives before any hold of the owner can, and the end of the task was listed
// by another worker or read by another owner, or two such requests meet at a smaller incarnation.
BOOST_AUTO_TEST_SUITE(LateStartBeforeFirstHoldTest)

BOOST_AUTO_TEST_CASE(busy_worker_owner_replaced)
{
  late_start_plan plan;
  plan.busy = true;
  plan.owner_killed = milliseconds{2300};
  plan.delay = seconds{11};
  check(plan, k_before_any_hold);
}

BOOST_AUTO_TEST_CASE(done_elsewhere_after_restart)
{
  late_start_plan plan;
  plan.worker = fate::restarts_twice;
  plan.delay = seconds{6};
  check(plan, k_before_any_hold);
}

BOOST_AUTO_TEST_CASE(done_elsewhere_after_silence)
{
  late_start_plan plan;
  plan.worker = fate::silent_then_restarts;
  plan.delay = seconds{12};
  check(plan, k_before_any_hold);
}

BOOST_AUTO_TEST_CASE(owner_replaced)
{
  late_start_plan plan;
  plan.owner_killed = milliseconds{2300};
  plan.delay = seconds{11};
  check(plan, k_before_any_hold);
}

BOOST_AUTO_TEST_CASE(owner_replaced_shortly_before)
{
  late_start_plan plan;
  plan.owner_killed = milliseconds{2300};
  plan.delay = seconds{5};
  check(plan, k_before_any_hold);
}

BOOST_AUTO_TEST_CASE(smaller_incarnation)
{
  late_start_plan plan;
  plan.tasks = 36;
  plan.cpu_millis = 1900;
  plan.smaller_incarnations = true;
  plan.delay = seconds{6};
  check(plan, k_before_any_hold);
}

BOOST_AUTO_TEST_CASE(smaller_incarnation_tasks_still_starting)
{
  late_start_plan plan;
  plan.tasks = 36;
  plan.cpu_millis = 1900;
  plan.smaller_incarnations = true;
  plan.delay = seconds{6};
  plan.unanswered_copies = true;
  check(plan, k_before_any_hold);
}

BOOST_AUTO_TEST_SUITE_END()
