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
using http::outgoing_reply;
using http::responder;
using nlohmann::json;
using std::chrono::milliseconds;
namespace wire = adapter::wire;

// Offsets from the first port.
constexpr std::uint16_t k_admin_port = 2;
constexpr std::uint16_t k_first_advice_port = 80;
// The most attempts that the sites' documentation allows a job; the judge counts failures up to it.
constexpr std::uint32_t k_max_attempts = 3;
constexpr std::uint32_t k_racks_per_zone = 2;
// Run time of long-running tasks, which run until they are stopped or killed.
constexpr std::chrono::hours k_long_running_time{24};
constexpr std::uint64_t k_policy_seed = 1;
constexpr const char* k_flaky_payload = "flaky";
constexpr std::uint64_t k_runs_per_failure = 6; // of a flaky job, on average
// The first task of a job with this payload crashes each worker that starts it. The worker crashes
// k_crash_delay after the start and starts anew k_restart_delay after the crash.
constexpr const char* k_crashing_payload = "crashing";
constexpr milliseconds k_crash_delay{10};
constexpr milliseconds k_restart_delay{2500};

http::request to_model_request(const incoming_request& request)
{
  http::request call;
  call.verb = request.verb;
  call.target = request.target;
  call.body = request.body;
  if (!request.captured_headers.empty() && !request.captured_headers.front().empty())
    call.headers.emplace_back(wire::k_expected_instance, request.captured_headers.front());
  return call;
}

http::reply_handler to_reply_handler(responder respond)
{
  return [respond = std::move(respond)](const http::reply& reply) {
    respond({reply.status, reply.body, "application/json", {}});
  };
}

// The segments of the path, split at slashes, without the leading slash.
std::vector<std::string> path_segments(const std::string& target)
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

std::set<std::string> split_names(const std::string& list)
{
  std::set<std::string> names;
  std::istringstream in(list);
  for (std::string name; std::getline(in, name, ',');)
    names.insert(name);
  return names;
}

std::optional<jobs::job_state> find_state(const std::string& name)
{
  using jobs::job_state;
  for (const job_state state : {job_state::queued, job_state::active, job_state::completed,
                                job_state::failed, job_state::cancelled})
  {
    if (jobs::to_text(state) == name)
      return state;
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
            { return plan_run(task, run); },
            m_specs)
  {
    m_fleet.set_incarnation_planner([this] { return std::exchange(m_next_incarnation_plan, {}); });
    m_fleet.set_crash_handler([this](model::fleet_worker& worker) { worker_crashed(worker); });
    listen(io, 0,
           [this](const incoming_request& request, responder respond)
           { call_store(request, std::move(respond)); });
    // All instances call from the same address here, so each has an advice port of its own, by
    // which the advice service distinguishes the calling machines.
    for (std::uint16_t i = 0; i < m_options.advice_ports; ++i)
    {
      listen(io, k_first_advice_port + i,
             [this, machine = std::to_string(i)](const incoming_request& request, responder respond)
             {
               m_advice.handle(machine, to_model_request(request),
                               to_reply_handler(std::move(respond)));
             });
    }
    listen(io, k_admin_port,
           [this](const incoming_request& request, const responder& respond)
           { respond(administer(request)); });
    for (std::uint32_t i = 0; i < m_options.workers; ++i)
      add_worker(io, i);
  }

private:
  using admin_call = outgoing_reply (implementation::*)(const std::vector<std::string>& words,
                                                        const std::string& body);

  common::endpoint address_of(std::uint32_t port) const
  {
    return {"127.0.0.1", static_cast<std::uint16_t>(m_options.first_port + port)};
  }

  void listen(boost::asio::io_context& io, std::uint32_t port, http::request_handler handle)
  {
    m_listeners.push_back(std::make_unique<http::http_listener>(
        io, address_of(port), std::vector<std::string>{wire::k_expected_instance},
        std::move(handle)));
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
    m_time.schedule(k_restart_delay,
                    [this, &worker]
                    {
                      if (!worker.model)
                        start_worker(worker);
                    });
  }

  void start_worker(model::fleet_worker& worker)
  {
    m_fleet.begin_life(worker);
    m_fleet.write_entry(worker);
  }

  void call_worker(model::fleet_worker& worker, const incoming_request& request, responder respond)
  {
    ++m_worker_calls;
    if (m_silent_machines.contains(worker.machine))
    {
      m_unanswered.push_back(std::move(respond));
      return;
    }
    const auto delay = m_request_delays.find(worker.machine);
    const bool is_start_or_stop =
        request.target == wire::k_start_path || request.target == wire::k_stop_path;
    if (delay == m_request_delays.end() || !is_start_or_stop)
    {
      model::worker_fleet::handle(worker, to_model_request(request),
                                  to_reply_handler(std::move(respond)));
      return;
    }
    m_time.schedule(delay->second, [&worker, call = to_model_request(request),
                                    done = to_reply_handler(std::move(respond))]
                    { model::worker_fleet::handle(worker, call, done); });
  }

  static bool fails(const model::task_ref& task, model::run_number run)
  {
    const std::string name =
        task.job + "/" + std::to_string(task.place.step) + "/" + std::to_string(task.place.index);
    return common::stable_hash(name, run) % k_runs_per_failure == 0;
  }

  model::run_course plan_run(const model::task_ref& task, model::run_number run) const
  {
    model::run_course course;
    const auto spec = m_specs.find(task.job);
    if (spec == m_specs.end())
      return course;
    const jobs::step_spec& step = spec->second.steps.at(task.place.step);
    course.takes = step.long_running ? common::duration(k_long_running_time)
                                     : std::chrono::duration_cast<common::duration>(
                                           step.estimate * m_options.run_time_share);
    course.fails = spec->second.payload == k_flaky_payload && fails(task, run);
    if (spec->second.payload == k_crashing_payload && task.place == jobs::task_place{})
      course.crashes_after = k_crash_delay;
    return course;
  }

  void call_store(const incoming_request& request, responder respond)
  {
    ++m_store_calls;
    if (count_and_check_limit())
      respond({429, "{}", "application/json", {}});
    else if (m_store_fault == "unavailable")
      respond({503, "{}", "application/json", {}});
    else if (m_store_fault == "silent")
      m_unanswered.push_back(std::move(respond));
    else if (m_store_fault == "loses_answers")
      m_store.handle(to_model_request(request), [](const http::reply&) {});
    else
      m_store.handle(to_model_request(request), to_reply_handler(std::move(respond)));
  }

  // Counts a call to the store; returns whether it exceeds the limit for the current second.
  bool count_and_check_limit()
  {
    if (m_time.now() - m_second_started_at >= std::chrono::seconds(1))
    {
      m_second_started_at = m_time.now();
      m_calls_this_second = 0;
    }
    ++m_calls_this_second;
    return m_calls_per_second != 0 && m_calls_this_second > m_calls_per_second;
  }

  outgoing_reply administer(const incoming_request& request)
  {
    static const std::map<std::string, admin_call> k_calls{
        {"configuration", &implementation::put_configuration},
        {"jobs", &implementation::update_job},
        {"store", &implementation::set_store_fault},
        {"workers", &implementation::set_worker_fault},
        {"report", &implementation::report},
        {"runs", &implementation::runs}};
    const std::vector<std::string> words = path_segments(request.target);
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

  outgoing_reply put_configuration(const std::vector<std::string>&, const std::string& body)
  {
    m_store.put({wire::k_operator_table, "", wire::k_config_key}, body);
    return {};
  }

  outgoing_reply update_job(const std::vector<std::string>& words, const std::string& body)
  {
    const std::string& id = words.at(1);
    const std::string action = words.size() > 2 ? words[2] : "";
    if (action.empty())
    {
      const auto spec = adapter::submission_from(body);
      if (!spec)
        return {400, common::to_text(spec.error()), "text/plain", {}};
      m_specs[id] = *spec;
      m_judge.submitted(id, *spec, k_max_attempts);
      if (spec->payload == k_crashing_payload)
        m_judge.expect_worker_crashes({id, {}});
    }
    else if (action == "answers")
      m_judge.answered(id, static_cast<unsigned>(std::stoul(words.at(3))));
    else if (action == "states")
      m_judge.shown(id, find_state(words.at(3)).value());
    else if (action == "cancel")
      m_judge.cancel_requested(id);
    else if (action == "cancelled")
      m_judge.cancelled(id, m_time.now());
    else
      return {404, "no such call", "text/plain", {}};
    return {};
  }

  outgoing_reply set_store_fault(const std::vector<std::string>& words, const std::string&)
  {
    const std::string& fault = words.at(1);
    if (fault == "slow")
      m_store.set_transaction_time(milliseconds(std::stol(words.at(2))));
    else if (fault == "limited")
      m_calls_per_second = std::stoull(words.at(2));
    else if (fault == "parts")
      m_store.silence_parts(split_names(words.size() > 2 ? words[2] : ""));
    else if (fault == "forget")
      m_store.discard_history();
    else
      return set_store_answers(fault);
    return {};
  }

  outgoing_reply set_store_answers(const std::string& fault)
  {
    static constexpr std::array<const char*, 4> k_faults{"works", "unavailable", "silent",
                                                         "loses_answers"};
    if (std::find(k_faults.begin(), k_faults.end(), fault) == k_faults.end())
      return {400, "no such fault", "text/plain", {}};
    m_store_fault = fault;
    return {};
  }

  outgoing_reply set_worker_fault(const std::vector<std::string>& words, const std::string&)
  {
    model::fleet_worker& worker = m_fleet.workers().at(std::stoul(words.at(1)));
    const std::string& fault = words.at(2);
    if (fault == "crash")
    {
      m_judge.worker_crashed(worker.settings.life);
      model::worker_fleet::end_life(worker);
    }
    else if (fault == "leave")
    {
      model::worker_fleet::end_life(worker);
      m_fleet.remove_entry(worker);
    }
    else if (fault == "replace")
      start_worker(worker);
    else if (fault == "restart")
      restart(worker, milliseconds(std::stol(words.at(3))));
    else if (fault == "room")
      scale_capacity(worker, std::stod(words.at(3)) / 100.0);
    else if (fault == "drain")
      drain(worker);
    else if (fault == "silence")
      m_silent_machines.insert(worker.machine);
    else if (fault == "speak")
      m_silent_machines.erase(worker.machine);
    else if (fault == "late")
      m_request_delays[worker.machine] = milliseconds(std::stol(words.at(3)));
    else
      return {400, "no such fault", "text/plain", {}};
    return {};
  }

  // Crashes the worker and starts it again under the same id, with its clock at `clock`.
  void restart(model::fleet_worker& worker, milliseconds clock)
  {
    if (worker.model)
      m_judge.worker_crashed(worker.settings.life);
    model::worker_fleet::end_life(worker);
    m_next_incarnation_plan = {true, clock, {}};
    start_worker(worker);
  }

  // Changes the worker's capacity to a share of the configured one and updates its entry.
  void scale_capacity(model::fleet_worker& worker, double share)
  {
    model::worker_fleet::set_capacity(worker, common::scaled(m_options.capacity, share));
    if (worker.model)
      m_fleet.write_entry(worker);
  }

  // Announces in its entry that the worker is draining. A worker that is not running cannot do so.
  void drain(model::fleet_worker& worker)
  {
    if (!worker.model)
      return;
    worker.draining = true;
    m_fleet.write_entry(worker);
    m_judge.worker_leaving(worker.settings.life, m_time.now());
  }

  outgoing_reply report(const std::vector<std::string>&, const std::string&)
  {
    const json out{{"starts", m_judge.starts()},         {"accepted", m_judge.accepted_jobs()},
                   {"violations", m_judge.violations()}, {"runs", m_judge.active_runs()},
                   {"store_calls", m_store_calls},       {"worker_calls", m_worker_calls}};
    return {200, out.dump(), "application/json", {}};
  }

  outgoing_reply runs(const std::vector<std::string>&, const std::string&)
  {
    json tasks = json::array();
    for (const model::task_ref& task : m_judge.active_tasks())
      tasks.push_back({task.job, task.place.step, task.place.index});
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
  model::incarnation_plan m_next_incarnation_plan;
  std::string m_store_fault = "works";
  std::uint64_t m_calls_per_second = 0; // limit on calls to the store; 0: none
  std::uint64_t m_calls_this_second = 0;
  common::time_point m_second_started_at;
  std::set<std::string> m_silent_machines; // machines of workers that answer no call
  // By machine: how late the worker handles start and stop requests.
  std::map<std::string, milliseconds> m_request_delays;
  // Calls that are never answered. Their connections stay open, as connections to a machine that
  // has lost power do.
  std::vector<responder> m_unanswered;
  std::uint64_t m_store_calls = 0;
  std::uint64_t m_worker_calls = 0;
  // The last member, so that the listeners are destroyed first.
  std::vector<std::unique_ptr<http::http_listener>> m_listeners;
};

cell_stand_in::cell_stand_in(boost::asio::io_context& io, const cell_options& options)
    : m_implementation(std::make_unique<implementation>(io, options))
{
}

cell_stand_in::~cell_stand_in() = default;
} // namespace yardhill::stand_ins
