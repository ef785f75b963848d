// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Model/CellExplorer.h"

#include <algorithm>
#include <array>
#include <memory>
#include <random>
#include <utility>

#include <nlohmann/json.hpp>

#include "Common/Hash.h"
#include "Model/AdviceModel.h"
#include "Model/CallerModel.h"
#include "Model/RunJudge.h"
#include "Model/StoreModel.h"
#include "Model/VirtualNetwork.h"
#include "Model/WorkerModel.h"
#include "Node/NodeCore.h"
#include "Node/OwnerRow.h"
#include "platform/WireNames.h"

namespace yardhill::model
{
namespace
{
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
namespace wire = adapter::wire;

constexpr std::size_t k_instances = 4;
constexpr std::size_t k_workers = 9;
constexpr std::size_t k_zones = 3;
constexpr milliseconds k_tick{25};
// Jobs come until troubles are over; the rest is for what is left to end.
constexpr seconds k_troubled{20};
constexpr seconds k_length{60};
// A worker whose entry is not renewed for this long is taken off the list.
constexpr milliseconds k_entry_lapse{4500};
constexpr milliseconds k_link_break{1500};
const common::endpoint k_store_address{"10.200.0.1", 80};
const common::endpoint k_advice_address{"10.200.0.2", 80};

std::string configuration()
{
  const auto route = [](const char* name, const char* prefix, int priority)
  {
    return json{{wire::k_name, name},         {wire::k_host, k_host},
                {wire::k_prefix, prefix},     {wire::k_service, "service"},
                {wire::k_priority, priority}, {wire::k_max_attempts, k_max_attempts},
                {wire::k_stretch, 1.5},       {wire::k_latency_target_ms, 250}};
  };
  json urgent = route("urgent", k_urgent_prefix, 0);
  urgent[wire::k_advice] = {
      {wire::k_decide_ms, 19.0}, {wire::k_each_ms, 0.28}, {wire::k_valid_ms, 2500}};
  return json{{wire::k_version, 1}, {wire::k_routes, {urgent, route("plain", k_plain_prefix, 1)}}}
      .dump();
}

// One instance's process.
struct instance
{
  std::string name;
  std::string zone;
  std::unique_ptr<process_time> time;
  std::unique_ptr<network_sender> sender;
  std::unique_ptr<common::metrics> metrics;
  std::unique_ptr<node::node_core> core; // last: it goes first

  bool up() const { return core != nullptr; }
};

struct worker
{
  worker_settings settings;
  std::unique_ptr<worker_model> model;
  unsigned life = 0;
  bool listed = false;
};

class cell
{
public:
  cell(std::uint64_t seed, omission without);

  exploration play();

private:
  // Set-up.
  void add_workers();
  void start_instance(instance& which);
  void start_worker(worker& which);
  void tick(instance& which);

  // Brings a caller's request to an instance that is up.
  bool carry(http::incoming_request request, http::responder respond);

  // Troubles.
  void draw_troubles();
  void trouble();
  void kill_instance(instance& which, duration down);
  void kill_owner();
  void kill_all();
  void freeze_one();
  void cut_from_store();
  void store_away();
  void lose_answers();
  void lose_orders();
  void late_orders();
  void crash_worker();
  void cut_worker();
  void cut_zone();
  void cut_for(const std::vector<std::pair<std::string, std::string>>& pairs, duration time);
  void forget_history();
  void link(instance& one, instance& other, bool up);
  void update_entry(worker& which);
  void note(const std::string& what);
  void forget_mechanism();

  std::uint64_t draw(std::uint64_t below) { return m_random() % below; }
  duration draw_time(milliseconds least, milliseconds most);
  instance* any_up();

  virtual_time m_time;
  std::mt19937_64 m_random;
  virtual_network m_network;
  advice_model m_advice;
  store_model m_store;
  run_judge m_judge;
  caller_model m_callers;
  std::vector<worker> m_workers;
  std::vector<instance> m_instances;
  std::vector<std::string> m_troubles;
  omission m_without;
  std::uint64_t m_lives = 0;
  std::uint64_t m_seed;
  time_point m_begin;
};

cell::cell(std::uint64_t seed, omission without)
    : m_random(seed),
      m_network(m_time, seed + 1),
      m_advice(m_time, seed, {}),
      m_store(m_time),
      m_callers(m_time, seed + 2, m_judge,
                [this](http::incoming_request request, http::responder respond)
                { return carry(std::move(request), std::move(respond)); }),
      m_without(without),
      m_seed(seed),
      m_begin(m_time.now())
{
  m_network.serve(k_store_address, "store",
                  [this](const std::string&, const http::request& call, http::reply_handler done)
                  { m_store.handle(call, std::move(done)); });
  m_network.serve(
      k_advice_address, "advice",
      [this](const std::string& from, const http::request& call, http::reply_handler done)
      { m_advice.handle(from, call, std::move(done)); });
  m_store.put({wire::k_operator_table, "", wire::k_config_key}, configuration());
  add_workers();
  m_instances.resize(k_instances);
  for (std::size_t i = 0; i < k_instances; ++i)
  {
    m_instances[i].name = "instance-" + std::to_string(i);
    m_instances[i].zone = "zone-" + std::to_string(i % k_zones);
    start_instance(m_instances[i]);
  }
}

void cell::add_workers()
{
  m_workers.resize(k_workers);
  for (std::size_t i = 0; i < k_workers; ++i)
  {
    worker_settings& settings = m_workers[i].settings;
    settings.address = {"10.1.0." + std::to_string(i + 1), 80};
    settings.zone = "zone-" + std::to_string(i % k_zones);
    settings.rack = "rack-" + std::to_string(i % k_zones);
    settings.capacity.cpu_millis = 4000 * static_cast<std::int64_t>(1 + i % 3);
    settings.capacity.memory_mib = 16000;
    settings.clock_ahead = milliseconds(static_cast<std::int64_t>(draw(100000)));
    settings.clock_rate = 1.0 - 0.002 * static_cast<double>(draw(11));
    start_worker(m_workers[i]);
  }
}

void cell::start_worker(worker& which)
{
  const std::string place = which.settings.address.address;
  which.settings.id = "worker-" + place + "-" + std::to_string(++which.life);
  which.model = std::make_unique<worker_model>(
      m_time, which.settings, m_advice, m_judge,
      [this](const task_ref& task, run_number run, const std::string& id)
      {
        const std::string key = task.job + std::to_string(task.place.step) +
                                std::to_string(task.place.index) + std::to_string(run) + id;
        const std::uint64_t luck = common::stable_hash(key, m_seed);
        run_course course;
        course.takes = milliseconds(static_cast<std::int64_t>(200 + luck % 1500));
        course.fails = luck / 2000 % 25 == 0;
        if (m_callers.specs().at(task.job).steps[task.place.step].long_running)
          course.takes = seconds(1 + static_cast<std::int64_t>(luck % 20));
        return course;
      });
  which.model->set_specs(m_callers.specs());
  m_network.serve(which.settings.address, place,
                  [&which](const std::string&, const http::request& call, http::reply_handler done)
                  {
                    if (which.model)
                      which.model->handle(call, std::move(done));
                  });
  update_entry(which);
}

void cell::update_entry(worker& which)
{
  const adapter::row_key at{wire::k_workers_table, "", which.settings.id};
  const bool reaches = which.model && !m_network.cut(which.settings.address.address, "store");
  if (reaches && !which.listed)
    m_store.put(at, which.model->entry(false));
  if (!reaches && which.listed)
    m_store.remove(at);
  which.listed = reaches;
}

void cell::start_instance(instance& which)
{
  which.time = std::make_unique<process_time>(m_time);
  which.sender = std::make_unique<network_sender>(m_network, *which.time, which.name);
  which.metrics = std::make_unique<common::metrics>();
  node::node_settings settings;
  settings.name = which.name;
  settings.zone = which.zone;
  settings.store = k_store_address;
  settings.advice = k_advice_address;
  const auto send = [this, &which](const std::string& peer, const common::peer_message& message)
  {
    for (instance& other : m_instances)
    {
      if (other.name != peer)
        continue;
      m_network.message(which.name, peer,
                        [&other, from = which.name, message]
                        {
                          if (other.up())
                            other.time->schedule(duration{0}, [&other, from, message]
                                                 { other.core->peer_received(from, message); });
                        });
    }
  };
  const node::node_world world{
      *which.time,   *which.sender, *which.sender, send, [](const http::listener_limits&) {},
      *which.metrics};
  which.core =
      std::make_unique<node::node_core>(settings, "life-" + std::to_string(++m_lives), world);
  which.core->start();
  tick(which);
  for (instance& other : m_instances)
  {
    if (&other != &which && other.up())
      link(which, other, true);
  }
}

void cell::link(instance& one, instance& other, bool up)
{
  for (const auto& [here, there] : {std::pair(&one, &other), std::pair(&other, &one)})
  {
    if (!here->up())
      continue;
    here->time->schedule(milliseconds(20),
                         [here = here, name = there->name, zone = there->zone, up]
                         {
                           if (up)
                             here->core->peer_linked(name, zone);
                           else
                             here->core->peer_unlinked(name);
                         });
  }
}

void cell::tick(instance& which)
{
  which.core->tick();
  which.time->schedule(k_tick, [this, &which] { tick(which); });
}

instance* cell::any_up()
{
  std::vector<instance*> up;
  for (instance& each : m_instances)
  {
    if (each.up())
      up.push_back(&each);
  }
  return up.empty() ? nullptr : up[draw(up.size())];
}

bool cell::carry(http::incoming_request request, http::responder respond)
{
  instance* const where = any_up();
  if (where == nullptr)
    return false;
  where->time->schedule(duration{0},
                        [where, request = std::move(request), respond = std::move(respond)]
                        { where->core->handle(request, respond); });
  return true;
}

// ---- Troubles

duration cell::draw_time(milliseconds least, milliseconds most)
{
  return least + milliseconds(static_cast<std::int64_t>(
                     draw(static_cast<std::uint64_t>((most - least).count()))));
}

void cell::note(const std::string& what)
{
  const auto at = std::chrono::duration_cast<milliseconds>(m_time.now() - m_begin);
  m_troubles.push_back(std::to_string(at.count()) + " ms: " + what);
}

void cell::draw_troubles()
{
  const std::uint64_t count = 2 + draw(5);
  for (std::uint64_t i = 0; i < count; ++i)
    m_time.schedule(draw_time(milliseconds(2000), milliseconds(18000)), [this] { trouble(); });
}

void cell::trouble()
{
  using kind = void (cell::*)();
  static constexpr std::array<kind, 12> k_kinds{
      &cell::kill_owner,   &cell::kill_all,     &cell::freeze_one,  &cell::cut_from_store,
      &cell::store_away,   &cell::lose_answers, &cell::lose_orders, &cell::late_orders,
      &cell::crash_worker, &cell::cut_worker,   &cell::cut_zone,    &cell::forget_history};
  (this->*k_kinds[draw(k_kinds.size())])();
}

void cell::kill_instance(instance& which, duration down)
{
  if (!which.up())
    return;
  which.core.reset();
  which.sender.reset();
  which.time.reset();
  for (instance& other : m_instances)
  {
    if (other.up())
      link(other, which, false);
  }
  m_time.schedule(down,
                  [this, &which]
                  {
                    if (!which.up())
                      start_instance(which);
                  });
}

void cell::kill_owner()
{
  for (instance& each : m_instances)
  {
    if (!each.up() || !each.core->owns_any())
      continue;
    note("kill owner " + each.name);
    forget_mechanism();
    kill_instance(each, draw_time(milliseconds(300), milliseconds(5000)));
    return;
  }
}

void cell::kill_all()
{
  note("kill all instances");
  forget_mechanism();
  for (instance& each : m_instances)
    kill_instance(each, draw_time(milliseconds(300), milliseconds(2000)));
}

void cell::freeze_one()
{
  instance* const which = any_up();
  if (which == nullptr)
    return;
  const duration time = draw_time(milliseconds(500), milliseconds(9000));
  note("freeze " + which->name);
  which->time->freeze_until(m_time.now() + time);
}

void cell::cut_for(const std::vector<std::pair<std::string, std::string>>& pairs, duration time)
{
  for (const auto& pair : pairs)
    m_network.troubles.cuts.insert(pair);
  for (instance& one : m_instances)
  {
    for (instance& other : m_instances)
    {
      if (&one < &other && m_network.cut(one.name, other.name))
        m_time.schedule(k_link_break, [this, &one, &other] { link(one, other, false); });
    }
  }
  m_time.schedule(std::min<duration>(k_entry_lapse, time),
                  [this]
                  {
                    for (worker& each : m_workers)
                      update_entry(each);
                  });
  m_time.schedule(time,
                  [this, pairs]
                  {
                    for (const auto& pair : pairs)
                      m_network.troubles.cuts.erase(pair);
                    for (instance& one : m_instances)
                    {
                      for (instance& other : m_instances)
                      {
                        if (&one < &other && !m_network.cut(one.name, other.name))
                          link(one, other, true);
                      }
                    }
                    m_time.schedule(milliseconds(1500),
                                    [this]
                                    {
                                      for (worker& each : m_workers)
                                        update_entry(each);
                                    });
                  });
}

void cell::cut_from_store()
{
  instance& which = m_instances[draw(m_instances.size())];
  note("cut from the store: " + which.name);
  cut_for({{which.name, "store"}}, draw_time(milliseconds(1000), milliseconds(9000)));
}

void cell::store_away()
{
  note("store away");
  std::vector<std::pair<std::string, std::string>> pairs;
  for (const instance& each : m_instances)
    pairs.emplace_back(each.name, "store");
  for (const worker& each : m_workers)
    pairs.emplace_back(each.settings.address.address, "store");
  cut_for(pairs, draw_time(milliseconds(1000), milliseconds(7500)));
}

void cell::lose_answers()
{
  note("answers of the store are lost");
  m_network.troubles.answers_lost = 0.3;
  m_time.schedule(seconds(4), [this] { m_network.troubles.answers_lost = 0.0; });
}

void cell::lose_orders()
{
  note("answers of workers are lost");
  m_network.troubles.orders_lost = 0.1;
  m_time.schedule(seconds(4), [this] { m_network.troubles.orders_lost = 0.0; });
}

void cell::late_orders()
{
  note("orders are carried out late");
  m_network.troubles.orders_late = 0.05;
  m_time.schedule(seconds(5), [this] { m_network.troubles.orders_late = 0.0; });
}

void cell::crash_worker()
{
  worker& which = m_workers[draw(m_workers.size())];
  if (!which.model)
    return;
  note("crash " + which.settings.id);
  which.model.reset();
  m_time.schedule(k_entry_lapse,
                  [this, &which]
                  {
                    if (!which.model)
                      update_entry(which);
                  });
  m_time.schedule(draw_time(milliseconds(1000), milliseconds(8000)),
                  [this, &which]
                  {
                    if (which.listed)
                      m_store.remove({wire::k_workers_table, "", which.settings.id});
                    which.listed = false;
                    start_worker(which);
                  });
}

void cell::cut_worker()
{
  const worker& which = m_workers[draw(m_workers.size())];
  note("cut off " + which.settings.id);
  std::vector<std::pair<std::string, std::string>> pairs{{which.settings.address.address, "store"}};
  for (const instance& each : m_instances)
    pairs.emplace_back(each.name, which.settings.address.address);
  cut_for(pairs, draw_time(milliseconds(1000), milliseconds(12000)));
}

void cell::cut_zone()
{
  const std::string zone = "zone-" + std::to_string(draw(k_zones));
  note("cut " + zone);
  std::map<std::string, bool> inside{{"store", false}, {"advice", false}};
  for (const instance& each : m_instances)
    inside[each.name] = each.zone == zone;
  for (const worker& each : m_workers)
    inside[each.settings.address.address] = each.settings.zone == zone;
  std::vector<std::pair<std::string, std::string>> pairs;
  for (const auto& [one, one_inside] : inside)
  {
    for (const auto& [other, other_inside] : inside)
    {
      if (one < other && one_inside != other_inside)
        pairs.emplace_back(one, other);
    }
  }
  cut_for(pairs, draw_time(milliseconds(2000), milliseconds(7000)));
}

void cell::forget_history()
{
  note("the store forgets its history");
  m_store.forget_history();
}

// What a new owner would find if the mechanism were not there.
void cell::forget_mechanism()
{
  if (m_without == omission::none)
    return;
  m_store.forget_rows(m_without == omission::claims_forgotten ? node::k_claims_table
                                                              : node::k_progress_table);
}

exploration cell::play()
{
  m_time.schedule(seconds(1), [this] { m_callers.hand_in_until(m_begin + k_troubled); });
  draw_troubles();
  m_time.run_until(m_begin + k_length);
  m_callers.ask_all();
  m_time.run_until(m_begin + k_length + seconds(3));
  m_judge.check_all_ended(m_callers.states());
  return {m_judge.violations(), m_troubles, m_judge.accepted_jobs(), m_judge.starts()};
}
} // namespace

exploration explore_cell(std::uint64_t seed, omission without)
{
  cell one(seed, without);
  return one.play();
}
} // namespace yardhill::model
