// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "StandIns/CellStandIn.h"

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

#include <nlohmann/json.hpp>

#include "Common/Hash.h"
#include "Http/HttpListener.h"
#include "Model/AdviceModel.h"
#include "Model/RunJudge.h"
#include "Model/StoreModel.h"
#include "Model/WorkerFleet.h"
#include "Node/AsioTimekeeper.h"
#include "platform/Ingress.h"
#include "platform/WireNames.h"

namespace yardhill::stand_ins
{
namespace
{
using http::incoming_request;
using http::outgoing_answer;
using http::responder;
using nlohmann::json;
using std::chrono::milliseconds;
namespace wire = adapter::wire;

// Ports after the first one.
constexpr std::uint16_t k_admin_port = 2;
constexpr std::uint16_t k_first_advice_port = 80;
// What the sites' pages allow a job at most; the judge counts failures up to it.
constexpr std::uint32_t k_max_attempts = 3;
constexpr std::uint32_t k_racks_per_zone = 2;
// Tasks that last run until they are stopped or killed.
constexpr std::chrono::hours k_lasting{24};
constexpr std::uint64_t k_policy_seed = 1;
constexpr const char* k_flaky_payload = "flaky";
constexpr std::uint64_t k_runs_per_failure = 6; // of a flaky job, on average
// The first task of such a job crashes each worker that starts it, which is back after some time.
constexpr const char* k_crashing_payload = "crashing";
constexpr milliseconds k_crash{10};
constexpr milliseconds k_crash_back{2500};

http::request model_call(const incoming_request& request)
{
  http::request call;
  call.verb = request.verb;
  call.target = request.target;
  call.body = request.body;
  if (!request.noted_header.empty())
    call.headers.emplace_back(wire::k_expected_instance, request.noted_header);
  return call;
}

http::reply_handler model_answer(responder respond)
{
  return [respond = std::move(respond)](const http::reply& reply) {
    respond({reply.status, reply.body, "application/json", {}});
  };
}

// Divided at slashes, without the first.
std::vector<std::string> path_words(const std::string& target)
{
  std::vector<std::string> words;
  std::size_t begin = 1;
  while (begin <= target.size())
  {
    const std::size_t end = std::min(target.find('/', begin), target.size());
    words.push_back(target.substr(begin, end - begin));
    begin = end + 1;
  }
  return words;
}

std::set<std::string> names_in(const std::string& list)
{
  std::set<std::string> names;
  std::istringstream in(list);
  for (std::string name; std::getline(in, name, ',');)
    names.insert(name);
  return names;
}

std::optional<jobs::job_state> state_named(const std::string& name)
{
  using jobs::job_state;
  for (const job_state each : {job_state::queued, job_state::active, job_state::completed,
                               job_state::failed, job_state::cancelled})
  {
    if (jobs::to_text(each) == name)
      return each;
  }
  return std::nullopt;
}
} // namespace

class cell_stand_in::implementation
{
public:
  implementation(boost::asio::io_context& io, cell_options options)
      : m_options(std::move(options)),
        m_time(io),
        m_store(m_time),
        m_advice(m_time, k_policy_seed, {}),
        m_fleet(
            m_time, m_store, m_advice, m_judge,
            [this](const model::task_ref& task, model::run_number run, const std::string&)
            { return course_of(task, run); },
            m_specs)
  {
    m_fleet.set_incarnation_planner([this] { return std::exchange(m_next_life, {}); });
    m_fleet.set_crash_handler([this](model::fleet_worker& worker) { worker_crashed(worker); });
    listen(io, 0,
           [this](const incoming_request& request, responder respond)
           { call_store(request, std::move(respond)); });
    // All instances have one address here; the service tells the calling machines by their ports.
    for (std::uint16_t i = 0; i < m_options.advice_ports; ++i)
    {
      listen(io, k_first_advice_port + i,
             [this, machine = std::to_string(i)](const incoming_request& request, responder respond)
             { m_advice.handle(machine, model_call(request), model_answer(std::move(respond))); });
    }
    listen(io, k_admin_port,
           [this](const incoming_request& request, const responder& respond)
           { respond(administer(request)); });
    for (std::uint32_t i = 0; i < m_options.workers; ++i)
      add_worker(io, i);
  }

private:
  using admin_call = outgoing_answer (implementation::*)(const std::vector<std::string>& words,
                                                         const std::string& body);

  common::endpoint address_of(std::uint32_t port) const
  {
    return {"127.0.0.1", static_cast<std::uint16_t>(m_options.first_port + port)};
  }

  void listen(boost::asio::io_context& io, std::uint32_t port, http::request_handler handle)
  {
    m_listeners.push_back(std::make_unique<http::http_listener>(
        io, address_of(port), wire::k_expected_instance, std::move(handle)));
  }

  void add_worker(boost::asio::io_context& io, std::uint32_t number)
  {
    model::worker_settings settings;
    const std::uint32_t port = k_first_advice_port + m_options.advice_ports + number;
    settings.address = address_of(port);
    const std::size_t zones = m_options.zones.size();
    settings.zone = m_options.zones[number % zones];
    settings.rack = settings.zone + "-r" + std::to_string(number / zones % k_racks_per_zone);
    settings.service = m_options.service;
    settings.capacity = m_options.capacity;
    model::fleet_worker& worker = m_fleet.add(std::to_string(number), settings);
    m_fleet.write_entry(worker);
    listen(io, port,
           [this, &worker](const incoming_request& request, responder respond)
           { call_worker(worker, request, std::move(respond)); });
  }

  void worker_crashed(model::fleet_worker& worker)
  {
    m_time.schedule(k_crash_back,
                    [this, &worker]
                    {
                      if (!worker.model)
                        begin_life(worker);
                    });
  }

  void begin_life(model::fleet_worker& worker)
  {
    m_fleet.begin_life(worker);
    m_fleet.write_entry(worker);
  }

  void call_worker(model::fleet_worker& worker, const incoming_request& request, responder respond)
  {
    ++m_worker_calls;
    if (m_silent.contains(worker.machine))
    {
      m_unanswered.push_back(std::move(respond));
      return;
    }
    const auto late = m_late.find(worker.machine);
    const bool order = request.target == wire::k_start_path || request.target == wire::k_stop_path;
    if (late == m_late.end() || !order)
    {
      model::worker_fleet::handle(worker, model_call(request), model_answer(std::move(respond)));
      return;
    }
    m_time.schedule(late->second,
                    [&worker, call = model_call(request), done = model_answer(std::move(respond))]
                    { model::worker_fleet::handle(worker, call, done); });
  }

  static bool fails(const model::task_ref& task, model::run_number run)
  {
    const std::string name =
        task.job + "/" + std::to_string(task.place.step) + "/" + std::to_string(task.place.index);
    return common::stable_hash(name, run) % k_runs_per_failure == 0;
  }

  model::run_course course_of(const model::task_ref& task, model::run_number run) const
  {
    model::run_course course;
    const auto spec = m_specs.find(task.job);
    if (spec == m_specs.end())
      return course;
    const jobs::step_spec& step = spec->second.steps.at(task.place.step);
    course.takes = step.long_running ? common::duration(k_lasting)
                                     : std::chrono::duration_cast<common::duration>(
                                           step.estimate * m_options.run_time_share);
    course.fails = spec->second.payload == k_flaky_payload && fails(task, run);
    if (spec->second.payload == k_crashing_payload && task.place == jobs::task_place{})
      course.crashes_after = k_crash;
    return course;
  }

  void call_store(const incoming_request& request, responder respond)
  {
    ++m_store_calls;
    if (over_limit())
      respond({429, "{}", "application/json", {}});
    else if (m_store_fault == "unavailable")
      respond({503, "{}", "application/json", {}});
    else if (m_store_fault == "silent")
      m_unanswered.push_back(std::move(respond));
    else if (m_store_fault == "loses_answers")
      m_store.handle(model_call(request), [](const http::reply&) {});
    else
      m_store.handle(model_call(request), model_answer(std::move(respond)));
  }

  // Whether this call is one too many of the present second.
  bool over_limit()
  {
    if (m_time.now() - m_second_began >= std::chrono::seconds(1))
    {
      m_second_began = m_time.now();
      m_calls_of_second = 0;
    }
    ++m_calls_of_second;
    return m_calls_per_second != 0 && m_calls_of_second > m_calls_per_second;
  }

  outgoing_answer administer(const incoming_request& request)
  {
    static const std::map<std::string, admin_call> k_calls{
        {"configuration", &implementation::put_configuration},
        {"jobs", &implementation::note_job},
        {"store", &implementation::set_store_fault},
        {"workers", &implementation::befall_worker},
        {"report", &implementation::report},
        {"runs", &implementation::runs}};
    const std::vector<std::string> words = path_words(request.target);
    const auto found = k_calls.find(words.front());
    if (found == k_calls.end())
      return {404, "no such call", "text/plain", {}};
    try
    {
      return (this->*found->second)(words, request.body);
    }
    catch (const std::exception& error)
    {
      return {400, error.what(), "text/plain", {}};
    }
  }

  outgoing_answer put_configuration(const std::vector<std::string>&, const std::string& body)
  {
    m_store.put({wire::k_operator_table, "", wire::k_config_key}, body);
    return {};
  }

  outgoing_answer note_job(const std::vector<std::string>& words, const std::string& body)
  {
    const std::string& id = words.at(1);
    const std::string what = words.size() > 2 ? words[2] : "";
    if (what.empty())
    {
      const auto spec = adapter::submission_from(body);
      if (!spec)
        return {400, common::to_text(spec.error()), "text/plain", {}};
      m_specs[id] = *spec;
      m_judge.submitted(id, *spec, k_max_attempts);
      if (spec->payload == k_crashing_payload)
        m_judge.expect_worker_crashes({id, {}});
    }
    else if (what == "answers")
      m_judge.answered(id, static_cast<unsigned>(std::stoul(words.at(3))));
    else if (what == "states")
      m_judge.shown(id, state_named(words.at(3)).value());
    else if (what == "cancel")
      m_judge.cancel_requested(id);
    else if (what == "cancelled")
      m_judge.cancelled(id, m_time.now());
    else
      return {404, "no such call", "text/plain", {}};
    return {};
  }

  outgoing_answer set_store_fault(const std::vector<std::string>& words, const std::string&)
  {
    const std::string& what = words.at(1);
    if (what == "slow")
      m_store.set_transaction_time(milliseconds(std::stol(words.at(2))));
    else if (what == "limited")
      m_calls_per_second = std::stoull(words.at(2));
    else if (what == "parts")
      m_store.silence_parts(names_in(words.size() > 2 ? words[2] : ""));
    else if (what == "forget")
      m_store.discard_history();
    else
      return set_answers_of_store(what);
    return {};
  }

  outgoing_answer set_answers_of_store(const std::string& fault)
  {
    static constexpr std::array<const char*, 4> k_faults{"works", "unavailable", "silent",
                                                         "loses_answers"};
    if (std::find(k_faults.begin(), k_faults.end(), fault) == k_faults.end())
      return {400, "no such fault", "text/plain", {}};
    m_store_fault = fault;
    return {};
  }

  outgoing_answer befall_worker(const std::vector<std::string>& words, const std::string&)
  {
    model::fleet_worker& worker = m_fleet.workers().at(std::stoul(words.at(1)));
    const std::string& what = words.at(2);
    if (what == "crash")
    {
      m_judge.worker_crashed(worker.settings.life);
      model::worker_fleet::end_life(worker);
    }
    else if (what == "leave")
    {
      model::worker_fleet::end_life(worker);
      m_fleet.remove_entry(worker);
    }
    else if (what == "replace")
      begin_life(worker);
    else if (what == "restart")
      restart(worker, milliseconds(std::stol(words.at(3))));
    else if (what == "room")
      set_room(worker, std::stod(words.at(3)) / 100.0);
    else if (what == "drain")
      drain(worker);
    else if (what == "silence")
      m_silent.insert(worker.machine);
    else if (what == "speak")
      m_silent.erase(worker.machine);
    else if (what == "late")
      m_late[worker.machine] = milliseconds(std::stol(words.at(3)));
    else
      return {400, "no such fault", "text/plain", {}};
    return {};
  }

  // It has crashed and starts again under its id; its clock shows that at first.
  void restart(model::fleet_worker& worker, milliseconds clock)
  {
    if (worker.model)
      m_judge.worker_crashed(worker.settings.life);
    model::worker_fleet::end_life(worker);
    m_next_life = {true, clock, {}};
    begin_life(worker);
  }

  // It has that share of its room from now on, and its entry says so.
  void set_room(model::fleet_worker& worker, double share)
  {
    model::worker_fleet::set_capacity(worker, common::scaled(m_options.capacity, share));
    if (worker.model)
      m_fleet.write_entry(worker);
  }

  // Nothing comes from one that is gone.
  void drain(model::fleet_worker& worker)
  {
    if (!worker.model)
      return;
    worker.draining = true;
    m_fleet.write_entry(worker);
    m_judge.worker_leaving(worker.settings.life, m_time.now());
  }

  outgoing_answer report(const std::vector<std::string>&, const std::string&)
  {
    const json out{{"starts", m_judge.starts()},         {"accepted", m_judge.accepted_jobs()},
                   {"violations", m_judge.violations()}, {"runs", m_judge.active_runs()},
                   {"store_calls", m_store_calls},       {"worker_calls", m_worker_calls}};
    return {200, out.dump(), "application/json", {}};
  }

  outgoing_answer runs(const std::vector<std::string>&, const std::string&)
  {
    json tasks = json::array();
    for (const model::task_ref& each : m_judge.active_tasks())
      tasks.push_back({each.job, each.place.step, each.place.index});
    const json out{{"tasks", std::move(tasks)}, {"started", m_judge.started_jobs()}};
    return {200, out.dump(), "application/json", {}};
  }

  cell_options m_options;
  node::asio_timekeeper m_time;
  model::run_judge m_judge;
  model::store_model m_store;
  model::advice_model m_advice;
  std::map<std::string, jobs::job_spec> m_specs;
  model::worker_fleet m_fleet;
  model::incarnation_plan m_next_life;
  std::string m_store_fault = "works";
  std::uint64_t m_calls_per_second = 0; // to the store, before it turns calls away; 0: no limit
  std::uint64_t m_calls_of_second = 0;
  common::time_point m_second_began;
  std::set<std::string> m_silent;             // machines of workers that answer nobody
  std::map<std::string, milliseconds> m_late; // by machine: how late it carries orders out
  // Their connections stay open, as those to a machine without power do.
  std::vector<responder> m_unanswered;
  std::uint64_t m_store_calls = 0;
  std::uint64_t m_worker_calls = 0;
  std::vector<std::unique_ptr<http::http_listener>> m_listeners; // last: they go first
};

cell_stand_in::cell_stand_in(boost::asio::io_context& io, const cell_options& options)
    : m_implementation(std::make_unique<implementation>(io, options))
{
}

cell_stand_in::~cell_stand_in() = default;
} // namespace yardhill::stand_ins
