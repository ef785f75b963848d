// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Replay/Explorer.h"

#include <algorithm>
#include <random>
#include <set>
#include <vector>

namespace yardhill::replay
{
namespace
{
constexpr duration k_start_up_time = std::chrono::seconds{3}; // the cell has settled by then
constexpr duration k_recovery_time = std::chrono::seconds{45};

// Collects actions at random times and records which faults must be repaired.
class trace_generator
{
public:
  trace_generator(std::uint64_t seed, duration fault_period)
      : m_random(seed), m_fault_period(fault_period)
  {
    m_trace.header.seed = seed;
    m_trace.header.zones = 1 + random_below(2);
    m_trace.header.instances = 2 + random_below(2);
    m_trace.header.workers = 3 + random_below(5);
    m_trace.header.partitions = 1 + random_below(3) / 2;
    // A gang needs enough free capacity in one partition, beside the services there.
    if (m_trace.header.partitions > 1)
      m_trace.header.workers += 3;
    m_trace.header.until = k_start_up_time + fault_period + k_recovery_time * 2;
  }

  trace generate()
  {
    const std::uint32_t fault_count = 1 + random_below(6);
    for (std::uint32_t each = 0; each < fault_count; ++each)
      add_fault();
    const std::uint32_t requests = 10 + random_below(60);
    for (std::uint32_t each = 0; each < requests; ++each)
      add_request();
    add_repairs();
    add_repeat_requests();
    std::ranges::stable_sort(m_trace.actions, {}, &trace_action::at);
    return std::move(m_trace);
  }

private:
  using fault_function = void (trace_generator::*)();

  std::uint32_t random_below(std::uint32_t bound)
  {
    return static_cast<std::uint32_t>(m_random() % bound);
  }

  time_point random_time()
  {
    return time_point{k_start_up_time +
                      duration{static_cast<duration::rep>(
                          m_random() % static_cast<std::uint64_t>(m_fault_period.count()))}};
  }

  // From 10 ms to 20 s, which is longer than any lease.
  duration random_duration()
  {
    constexpr std::uint32_t bounds_ms[] = {100, 1000, 5000, 20000};
    return std::chrono::milliseconds{10 + random_below(bounds_ms[random_below(4)])};
  }

  std::string zone()
  {
    return std::string(1, static_cast<char>('a' + random_below(m_trace.header.zones)));
  }
  std::string instance()
  {
    return zone() + "-" + std::to_string(1 + random_below(m_trace.header.instances));
  }
  std::string worker()
  {
    return zone() + "w-" + std::to_string(1 + random_below(m_trace.header.workers));
  }

  void add(time_point at, action_kind kind, const std::string& who = {},
           const std::string& other = {}, std::int64_t number = 0)
  {
    trace_action action;
    action.at = at;
    action.kind = kind;
    action.who = who;
    action.other = other;
    action.number = number;
    m_trace.actions.push_back(std::move(action));
  }

  void add_fault()
  {
    static constexpr fault_function s_faults[] = {
        &trace_generator::kill_instance,  &trace_generator::pause_instance,
        &trace_generator::stop_instance,  &trace_generator::cut_instance,
        &trace_generator::cut_from_store, &trace_generator::cut_from_worker,
        &trace_generator::store_down,     &trace_generator::store_loses,
        &trace_generator::store_slow,     &trace_generator::worker_fault,
        &trace_generator::worker_fault,   &trace_generator::change_config,
        &trace_generator::late_messages,  &trace_generator::cut_from_all_workers,
    };
    (this->*s_faults[random_below(std::size(s_faults))])();
  }

  void kill_instance()
  {
    const std::string who = instance();
    const time_point at = random_time();
    add(at, action_kind::kill, who);
    add(at + random_duration(), action_kind::start, who);
  }

  void pause_instance()
  {
    const std::string who = instance();
    const time_point at = random_time();
    add(at, action_kind::pause, who);
    add(at + random_duration(), action_kind::resume, who);
  }

  void stop_instance()
  {
    const std::string who = instance();
    const time_point at = random_time();
    add(at, action_kind::stop, who);
    add(at + std::chrono::seconds{5}, action_kind::start, who);
  }

  void cut(const std::string& from, const std::string& to, time_point at, duration length)
  {
    add(at, action_kind::cut, from, to);
    add(at + length, action_kind::heal, from, to);
    m_cuts.insert({from, to});
  }

  // Cuts one direction or both.
  void cut_pair(const std::string& one, const std::string& other)
  {
    const time_point at = random_time();
    const duration length = random_duration();
    const std::uint32_t ways = 1 + random_below(3);
    if ((ways & 1U) != 0)
      cut(one, other, at, length);
    if ((ways & 2U) != 0)
      cut(other, one, at, length);
  }

  void cut_instance()
  {
    const std::string one = instance();
    const std::string other = instance();
    if (one != other)
      cut_pair(one, other);
  }

  void cut_from_store() { cut_pair(instance(), "store"); }

  void cut_from_worker() { cut_pair(instance(), worker()); }

  void cut_from_all_workers()
  {
    const std::string who = instance();
    const time_point at = random_time();
    const duration length = random_duration();
    for (std::uint32_t each = 1; each <= m_trace.header.workers; ++each)
    {
      if (random_below(4) != 0)
        cut(who, who.substr(0, 1) + "w-" + std::to_string(each), at, length);
    }
  }

  void store_down()
  {
    const time_point at = random_time();
    add(at, action_kind::store_outage, {}, {}, 1);
    add(at + random_duration(), action_kind::store_outage);
  }

  void store_loses() { add(random_time(), action_kind::store_lose, {}, {}, 1 + random_below(4)); }

  void store_slow()
  {
    const time_point at = random_time();
    add(at, action_kind::store_slow, {}, {}, 100'000 + random_below(1'500'000));
    add(at + random_duration(), action_kind::store_slow);
  }

  void late_messages()
  {
    const time_point at = random_time();
    add(at, action_kind::slow_messages, {}, {}, 5 + random_below(100));
    add(at + random_duration(), action_kind::slow_messages);
  }

  void worker_fault()
  {
    const std::string who = worker();
    const time_point at = random_time();
    switch (random_below(4))
    {
    case 0:
      add(at, action_kind::worker_kill, who);
      add(at + random_duration(), action_kind::worker_reboot, who);
      m_killed_workers.insert(who);
      break;
    case 1:
      add(at, action_kind::worker_reboot, who);
      break;
    case 2:
      add(at, action_kind::worker_fail, who, {}, 1);
      add(at + random_duration(), action_kind::worker_fail, who);
      break;
    default:
      add(at, action_kind::worker_leave, who, {}, 1);
      add(at + random_duration(), action_kind::worker_leave, who);
      break;
    }
  }

  void change_config()
  {
    add(random_time(), action_kind::apply, instance(), {}, 1 + random_below(3));
  }

  void add_request()
  {
    static constexpr const char* s_workloads[] = {"preview", "preview", "rebuild", "nightly",
                                                  "set"};
    trace_action action;
    action.at = random_time();
    action.kind = action_kind::submit;
    action.who = instance();
    action.workload = s_workloads[random_below(std::size(s_workloads))];
    // Few keys, so that the same key is sent through several instances and at several times.
    constexpr std::uint32_t keys = 12;
    const std::uint32_t key = random_below(keys);
    if (random_below(3) != 0 || action.workload == "rebuild")
      action.key = "k" + std::to_string(key);
    // The run time is derived from the key, so that repeats of a request are identical.
    action.number = 1000 * (10 + (key * 7919) % 3000);
    if (action.key.empty())
      action.number = 1000 * (10 + random_below(3000));
    if (!action.key.empty())
      m_keyed_requests.insert({action.workload, action.key, action.number});
    if (!action.key.empty() && random_below(10) == 0)
    {
      trace_action cancel = action;
      cancel.kind = action_kind::cancel;
      cancel.who = instance();
      cancel.at += random_duration();
      m_trace.actions.push_back(cancel);
    }
    m_trace.actions.push_back(action);
  }

  void add_repairs()
  {
    const time_point at = time_point{k_start_up_time + m_fault_period};
    // Drops all later actions, so that no fault starts after this time; repairs among the dropped
    // actions are replaced by those below.
    std::erase_if(m_trace.actions, [at](const trace_action& action) { return action.at > at; });
    add(at, action_kind::store_outage);
    add(at, action_kind::store_slow);
    add(at, action_kind::store_lose);
    add(at, action_kind::slow_messages);
    for (const auto& [from, to] : m_cuts)
      add(at, action_kind::heal, from, to);
    for (std::uint32_t zone = 0; zone < m_trace.header.zones; ++zone)
    {
      const std::string name(1, static_cast<char>('a' + zone));
      for (std::uint32_t each = 1; each <= m_trace.header.instances; ++each)
      {
        add(at, action_kind::resume, name + "-" + std::to_string(each));
        add(at + std::chrono::seconds{10}, action_kind::start, name + "-" + std::to_string(each));
      }
      for (std::uint32_t each = 1; each <= m_trace.header.workers; ++each)
      {
        const std::string worker = name + "w-" + std::to_string(each);
        add(at, action_kind::worker_fail, worker);
        add(at, action_kind::worker_leave, worker);
        if (m_killed_workers.contains(worker))
          add(at, action_kind::worker_reboot, worker);
      }
    }
  }

  void add_repeat_requests()
  {
    const time_point at = time_point{k_start_up_time + m_fault_period + k_recovery_time};
    for (const auto& [workload, key, number] : m_keyed_requests)
    {
      trace_action action;
      action.at = at;
      action.kind = action_kind::submit;
      action.who = instance();
      action.workload = workload;
      action.key = key;
      action.number = number;
      m_trace.actions.push_back(std::move(action));
    }
  }

  std::mt19937_64 m_random;
  duration m_fault_period;
  trace m_trace;
  std::set<std::pair<std::string, std::string>> m_cuts;
  std::set<std::string> m_killed_workers;
  std::set<std::tuple<std::string, std::string, std::int64_t>> m_keyed_requests;
};
} // namespace

trace generate_trace(std::uint64_t seed, duration fault_period)
{
  return trace_generator(seed, fault_period).generate();
}
} // namespace yardhill::replay
