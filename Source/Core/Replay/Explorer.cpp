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
constexpr duration k_first = std::chrono::seconds{3}; // the cell has settled by then
constexpr duration k_settle = std::chrono::seconds{45};

// Collects actions at random times and remembers what has to be mended.
class trace_maker
{
public:
  trace_maker(std::uint64_t seed, duration trouble) : m_random(seed), m_trouble(trouble)
  {
    m_made.header.seed = seed;
    m_made.header.zones = 1 + below(2);
    m_made.header.instances = 2 + below(2);
    m_made.header.workers = 3 + below(5);
    m_made.header.partitions = 1 + below(3) / 2;
    // A gang must find room in one partition, beside the services there.
    if (m_made.header.partitions > 1)
      m_made.header.workers += 3;
    m_made.header.until = k_first + trouble + k_settle * 2;
  }

  trace make()
  {
    const std::uint32_t troubles = 1 + below(6);
    for (std::uint32_t each = 0; each < troubles; ++each)
      add_trouble();
    const std::uint32_t requests = 10 + below(60);
    for (std::uint32_t each = 0; each < requests; ++each)
      add_request();
    mend_all();
    ask_again();
    std::ranges::stable_sort(m_made.actions, {}, &trace_action::at);
    return std::move(m_made);
  }

private:
  using trouble_maker = void (trace_maker::*)();

  std::uint32_t below(std::uint32_t bound)
  {
    return static_cast<std::uint32_t>(m_random() % bound);
  }

  time_point moment()
  {
    return time_point{k_first + duration{static_cast<duration::rep>(
                                    m_random() % static_cast<std::uint64_t>(m_trouble.count()))}};
  }

  // From tens of milliseconds to longer than any lease.
  duration span()
  {
    constexpr std::uint32_t scales[] = {100, 1000, 5000, 20000};
    return std::chrono::milliseconds{10 + below(scales[below(4)])};
  }

  std::string zone() { return std::string(1, static_cast<char>('a' + below(m_made.header.zones))); }
  std::string instance()
  {
    return zone() + "-" + std::to_string(1 + below(m_made.header.instances));
  }
  std::string worker() { return zone() + "w-" + std::to_string(1 + below(m_made.header.workers)); }

  void add(time_point at, action_kind kind, const std::string& who = {},
           const std::string& other = {}, std::int64_t number = 0)
  {
    trace_action action;
    action.at = at;
    action.kind = kind;
    action.who = who;
    action.other = other;
    action.number = number;
    m_made.actions.push_back(std::move(action));
  }

  void add_trouble()
  {
    static constexpr trouble_maker s_troubles[] = {
        &trace_maker::kill_instance,  &trace_maker::pause_instance,
        &trace_maker::stop_instance,  &trace_maker::cut_instance,
        &trace_maker::cut_from_store, &trace_maker::cut_from_worker,
        &trace_maker::store_down,     &trace_maker::store_loses,
        &trace_maker::store_slow,     &trace_maker::worker_trouble,
        &trace_maker::worker_trouble, &trace_maker::change_config,
        &trace_maker::late_messages,  &trace_maker::cut_from_all_workers,
    };
    (this->*s_troubles[below(std::size(s_troubles))])();
  }

  void kill_instance()
  {
    const std::string who = instance();
    const time_point at = moment();
    add(at, action_kind::kill, who);
    add(at + span(), action_kind::start, who);
  }

  void pause_instance()
  {
    const std::string who = instance();
    const time_point at = moment();
    add(at, action_kind::pause, who);
    add(at + span(), action_kind::resume, who);
  }

  void stop_instance()
  {
    const std::string who = instance();
    const time_point at = moment();
    add(at, action_kind::stop, who);
    add(at + std::chrono::seconds{5}, action_kind::start, who);
  }

  void cut(const std::string& from, const std::string& to, time_point at, duration length)
  {
    add(at, action_kind::cut, from, to);
    add(at + length, action_kind::heal, from, to);
    m_cuts.insert({from, to});
  }

  // One way or both.
  void cut_pair(const std::string& one, const std::string& other)
  {
    const time_point at = moment();
    const duration length = span();
    const std::uint32_t ways = 1 + below(3);
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
    const time_point at = moment();
    const duration length = span();
    for (std::uint32_t each = 1; each <= m_made.header.workers; ++each)
    {
      if (below(4) != 0)
        cut(who, who.substr(0, 1) + "w-" + std::to_string(each), at, length);
    }
  }

  void store_down()
  {
    const time_point at = moment();
    add(at, action_kind::store_outage, {}, {}, 1);
    add(at + span(), action_kind::store_outage);
  }

  void store_loses() { add(moment(), action_kind::store_lose, {}, {}, 1 + below(4)); }

  void store_slow()
  {
    const time_point at = moment();
    add(at, action_kind::store_slow, {}, {}, 100'000 + below(1'500'000));
    add(at + span(), action_kind::store_slow);
  }

  void late_messages()
  {
    const time_point at = moment();
    add(at, action_kind::slow_messages, {}, {}, 5 + below(100));
    add(at + span(), action_kind::slow_messages);
  }

  void worker_trouble()
  {
    const std::string who = worker();
    const time_point at = moment();
    switch (below(4))
    {
    case 0:
      add(at, action_kind::worker_kill, who);
      add(at + span(), action_kind::worker_reboot, who);
      m_dead.insert(who);
      break;
    case 1:
      add(at, action_kind::worker_reboot, who);
      break;
    case 2:
      add(at, action_kind::worker_fail, who, {}, 1);
      add(at + span(), action_kind::worker_fail, who);
      break;
    default:
      add(at, action_kind::worker_leave, who, {}, 1);
      add(at + span(), action_kind::worker_leave, who);
      break;
    }
  }

  void change_config() { add(moment(), action_kind::apply, instance(), {}, 1 + below(3)); }

  void add_request()
  {
    static constexpr const char* s_workloads[] = {"preview", "preview", "rebuild", "nightly",
                                                  "set"};
    trace_action action;
    action.at = moment();
    action.kind = action_kind::submit;
    action.who = instance();
    action.workload = s_workloads[below(std::size(s_workloads))];
    // Few keys, so that the same one is sent through several instances, now and later.
    constexpr std::uint32_t keys = 12;
    const std::uint32_t key = below(keys);
    if (below(3) != 0 || action.workload == "rebuild")
      action.key = "k" + std::to_string(key);
    // The run time goes with the key: the same request again is the same.
    action.number = 1000 * (10 + (key * 7919) % 3000);
    if (action.key.empty())
      action.number = 1000 * (10 + below(3000));
    if (!action.key.empty())
      m_keyed.insert({action.workload, action.key, action.number});
    if (!action.key.empty() && below(10) == 0)
    {
      trace_action cancel = action;
      cancel.kind = action_kind::cancel;
      cancel.who = instance();
      cancel.at += span();
      m_made.actions.push_back(cancel);
    }
    m_made.actions.push_back(action);
  }

  void mend_all()
  {
    const time_point at = time_point{k_first + m_trouble};
    // What mends itself later is mended again; nothing breaks after this.
    std::erase_if(m_made.actions, [at](const trace_action& action) { return action.at > at; });
    add(at, action_kind::store_outage);
    add(at, action_kind::store_slow);
    add(at, action_kind::store_lose);
    add(at, action_kind::slow_messages);
    for (const auto& [from, to] : m_cuts)
      add(at, action_kind::heal, from, to);
    for (std::uint32_t zone = 0; zone < m_made.header.zones; ++zone)
    {
      const std::string name(1, static_cast<char>('a' + zone));
      for (std::uint32_t each = 1; each <= m_made.header.instances; ++each)
      {
        add(at, action_kind::resume, name + "-" + std::to_string(each));
        add(at + std::chrono::seconds{10}, action_kind::start, name + "-" + std::to_string(each));
      }
      for (std::uint32_t each = 1; each <= m_made.header.workers; ++each)
      {
        const std::string worker = name + "w-" + std::to_string(each);
        add(at, action_kind::worker_fail, worker);
        add(at, action_kind::worker_leave, worker);
        if (m_dead.contains(worker))
          add(at, action_kind::worker_reboot, worker);
      }
    }
  }

  void ask_again()
  {
    const time_point at = time_point{k_first + m_trouble + k_settle};
    for (const auto& [workload, key, number] : m_keyed)
    {
      trace_action action;
      action.at = at;
      action.kind = action_kind::submit;
      action.who = instance();
      action.workload = workload;
      action.key = key;
      action.number = number;
      m_made.actions.push_back(std::move(action));
    }
  }

  std::mt19937_64 m_random;
  duration m_trouble;
  trace m_made;
  std::set<std::pair<std::string, std::string>> m_cuts;
  std::set<std::string> m_dead;
  std::set<std::tuple<std::string, std::string, std::int64_t>> m_keyed;
};
} // namespace

trace explore(std::uint64_t seed, duration trouble)
{
  return trace_maker(seed, trouble).make();
}
} // namespace yardhill::replay
