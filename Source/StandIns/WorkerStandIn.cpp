// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "StandIns/WorkerStandIn.h"

#include <algorithm>
#include <condition_variable>
#include <fstream>
#include <mutex>
#include <set>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

#include "Common/ConfigParser.h"
#include "Common/InstanceSettings.h"
#include "Common/Json.h"
#include "Replay/WorkerModel.h"
#include "StandIns/HttpHelp.h"
#include "Target/WorkerClient.h"

namespace yardhill::stand_ins
{
namespace
{
using web::http::http_request;
using web::http::status_codes;

named_text read_file(const std::string& path)
{
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  if (!in)
    throw std::runtime_error(path + ": cannot be read");
  return {path, text.str()};
}

[[noreturn]] void fail(const problem_list& problems)
{
  throw std::runtime_error(to_text(problems.front()));
}

zone_config read_zone(const std::vector<std::string>& paths, const std::string& name)
{
  std::vector<named_text> files;
  files.reserve(paths.size());
  for (const std::string& path : paths)
    files.push_back(read_file(path));
  problem_list problems;
  const std::optional<cell_config> cell = parse_cell_config(files, problems);
  if (!cell)
    fail(problems);
  const zone_config* zone = cell->find_zone(zone_id{name});
  if (zone == nullptr)
    throw std::runtime_error("no zone " + name + " in the configuration");
  return *zone;
}

ownership_options read_options(const std::string& settings_file)
{
  if (settings_file.empty())
    return {};
  const named_text file = read_file(settings_file);
  problem_list problems;
  const auto settings = parse_instance_settings(file.text, file.file, problems);
  if (!settings)
    fail(problems);
  return settings->core.ownership;
}

std::uint16_t port_of(const std::string& address)
{
  return static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1)));
}

// The name of the instance that speaks, without its incarnation.
std::string name_of(const instance_id& id)
{
  return id.value.substr(0, id.value.find('@'));
}
} // namespace

class worker_stand_in::implementation
{
public:
  implementation(const std::vector<std::string>& config_files, const std::string& settings_file,
                 const std::string& zone_name, std::uint16_t admin_port)
  {
    const zone_config zone = read_zone(config_files, zone_name);
    const ownership_options options = read_options(settings_file);
    for (const worker_config& config : zone.workers)
      m_workers.push_back(std::make_unique<hosted>(config, options, next_boot()));
    for (const auto& worker : m_workers)
    {
      hosted* served = worker.get();
      served->server = std::make_unique<http_server>(port_of(served->model.config().address),
                                                     [this, served](const http_request& request)
                                                     { handle(*served, request); });
    }
    m_admin = std::make_unique<http_server>(admin_port, [this](const http_request& request)
                                            { handle_admin(request); });
    m_timer = std::thread([this] { keep_time(); });
  }

  ~implementation()
  {
    {
      const std::lock_guard hold(m_lock);
      m_ending = true;
    }
    m_changed.notify_all();
    m_timer.join();
    m_admin.reset();
    for (const auto& worker : m_workers)
      worker->server.reset();
  }

private:
  struct held_claim
  {
    http_request request;
    claim_request claim;
    time_point until;
  };

  struct hosted
  {
    hosted(const worker_config& config, const ownership_options& options, std::string boot)
        : model(config, options, std::move(boot))
    {
    }

    replay::worker_model model;
    std::vector<held_claim> held;
    std::set<std::string> cut;
    bool paused = false;
    std::unique_ptr<http_server> server;
  };

  std::string next_boot()
  {
    const auto started = monotonic_now().time_since_epoch().count();
    return std::to_string(started) + "-" + std::to_string(++m_boots);
  }

  void handle(hosted& worker, const http_request& request)
  {
    with_body(request,
              [this, &worker, request](const std::string& body)
              {
                const std::string path = request.relative_uri().path();
                {
                  const std::lock_guard hold(m_lock);
                  if (worker.paused)
                    return;
                  worker.model.advance(monotonic_now());
                  if (path == target::k_claim_path)
                    claim(worker, request, claim_request_from(body));
                  else if (path == target::k_start_path)
                    start(worker, request, start_request_from(body));
                  else if (path == target::k_stop_path)
                    stop(worker, request, stop_request_from(body));
                  else
                    reply(request, status_codes::NotFound, "");
                  answer_held(worker, monotonic_now());
                }
                m_changed.notify_all();
              });
  }

  void claim(hosted& worker, const http_request& request, const claim_request& asked)
  {
    if (worker.cut.contains(name_of(asked.owner)))
      return;
    worker.model.take(asked, monotonic_now());
    worker.held.push_back({request, asked, monotonic_now() + asked.wait});
  }

  void start(hosted& worker, const http_request& request, const start_request& asked)
  {
    if (worker.cut.contains(name_of(asked.owner)))
      return;
    reply(request, status_codes::OK, to_json_text(worker.model.start(asked, monotonic_now())));
  }

  void stop(hosted& worker, const http_request& request, const stop_request& asked)
  {
    if (worker.cut.contains(name_of(asked.owner)))
      return;
    worker.model.stop(asked, monotonic_now());
    reply(request, status_codes::OK, "{}");
  }

  void answer_held(hosted& worker, time_point now)
  {
    std::erase_if(worker.held,
                  [&](const held_claim& held)
                  {
                    if (now < held.until && !worker.model.has_update_for(held.claim))
                      return false;
                    reply(held.request, status_codes::OK,
                          to_json_text(worker.model.answer(held.claim, now)));
                    return true;
                  });
  }

  void keep_time()
  {
    std::unique_lock hold(m_lock);
    while (!m_ending)
    {
      const time_point now = monotonic_now();
      time_point next = now + std::chrono::seconds{1};
      for (const auto& worker : m_workers)
      {
        worker->model.advance(now);
        answer_held(*worker, now);
        next = std::min(next, worker->model.next_event());
        for (const held_claim& held : worker->held)
          next = std::min(next, held.until);
      }
      m_changed.wait_for(hold, std::max(next - monotonic_now(), duration{100}));
    }
  }

  void handle_admin(const http_request& request)
  {
    with_body(request,
              [this, request](const std::string& body)
              {
                const std::string path = request.relative_uri().path();
                const std::lock_guard hold(m_lock);
                if (path == "/faults")
                {
                  for (const auto& worker : m_workers)
                    set_faults(*worker, json::parse(body));
                  reply(request, status_codes::OK, "{}");
                }
                else if (path == "/record")
                  reply(request, status_codes::OK, record().dump());
                else if (path == "/usage")
                  reply(request, status_codes::OK, usage().dump());
                else
                  reply(request, status_codes::NotFound, "");
              });
    m_changed.notify_all();
  }

  void set_faults(hosted& worker, const json& faults)
  {
    const std::string name = worker.model.config().id.value;
    if (faults.contains("workers"))
    {
      const auto named = faults["workers"].get<std::set<std::string>>();
      if (!named.contains(name))
        return;
    }
    replay::worker_faults& set = worker.model.faults();
    set.fails_everything = faults.value("fails_everything", set.fails_everything);
    set.leaving = faults.value("leaving", set.leaving);
    worker.paused = faults.value("paused", worker.paused);
    if (faults.contains("usage_lag_ms"))
      set.usage_lag = std::chrono::milliseconds{faults["usage_lag_ms"].get<std::int64_t>()};
    if (faults.contains("cut"))
      worker.cut = faults["cut"].get<std::set<std::string>>();
    if (faults.value("reboot", false))
      worker.model.reboot(next_boot(), monotonic_now());
  }

  json record() const
  {
    json runs = json::array();
    for (const auto& worker : m_workers)
    {
      for (const replay::run_record& run : worker->model.record())
      {
        json entry{{"worker", worker->model.config().id.value},
                   {"task", run.id.task.value},
                   {"attempt", run.id.attempt},
                   {"member", run.id.member},
                   {"started_us", run.started.time_since_epoch().count()}};
        if (run.ended != k_never)
        {
          entry["ended_us"] = run.ended.time_since_epoch().count();
          entry["result"] = to_text(run.result);
        }
        runs.push_back(std::move(entry));
      }
    }
    return runs;
  }

  json usage() const
  {
    resources granted;
    resources capacity;
    std::uint64_t overcommitted = 0;
    for (const auto& worker : m_workers)
    {
      granted += worker->model.granted();
      capacity += worker->model.config().capacity;
      overcommitted += worker->model.overcommitted();
    }
    return {{"granted", granted}, {"capacity", capacity}, {"overcommitted", overcommitted}};
  }

  std::mutex m_lock;
  std::condition_variable m_changed;
  bool m_ending = false;
  std::uint64_t m_boots = 0;
  std::vector<std::unique_ptr<hosted>> m_workers;
  std::unique_ptr<http_server> m_admin;
  std::thread m_timer;
};

worker_stand_in::worker_stand_in(const std::vector<std::string>& config_files,
                                 const std::string& settings_file, const std::string& zone,
                                 std::uint16_t admin_port)
    : m_implementation(
          std::make_unique<implementation>(config_files, settings_file, zone, admin_port))
{
}

worker_stand_in::~worker_stand_in() = default;
} // namespace yardhill::stand_ins
