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
#include "StandIns/StandInHttp.h"
#include "Target/WorkerClient.h"

namespace yardhill::stand_ins
{
namespace
{
using web::http::http_request;
using web::http::status_codes;

loaded_file read_file(const std::string& path)
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
  std::vector<loaded_file> files;
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
  const loaded_file file = read_file(settings_file);
  problem_list problems;
  const auto settings = parse_instance_settings(file.text, file.file, problems);
  if (!settings)
    fail(problems);
  return settings->core.ownership;
}

std::uint16_t parse_port(const std::string& address)
{
  return static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1)));
}

// The instance's name without its incarnation.
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
      m_workers.push_back(std::make_unique<hosted_worker>(config, options, next_boot()));
    for (const auto& worker : m_workers)
    {
      hosted_worker* hosted = worker.get();
      hosted->server = std::make_unique<http_server>(parse_port(hosted->model.config().address),
                                                     [this, hosted](const http_request& request)
                                                     { handle(*hosted, request); });
    }
    m_admin = std::make_unique<http_server>(admin_port, [this](const http_request& request)
                                            { handle_admin(request); });
    m_timer = std::thread([this] { run_timer(); });
  }

  ~implementation()
  {
    {
      const std::lock_guard guard(m_lock);
      m_stopping = true;
    }
    m_changed.notify_all();
    m_timer.join();
    m_admin.reset();
    for (const auto& worker : m_workers)
      worker->server.reset();
  }

private:
  struct pending_claim
  {
    http_request request;
    claim_request claim;
    time_point until;
  };

  struct hosted_worker
  {
    hosted_worker(const worker_config& config, const ownership_options& options, std::string boot)
        : model(config, options, std::move(boot))
    {
    }

    replay::worker_model model;
    std::vector<pending_claim> pending_claims;
    std::set<std::string> unreachable_owners; // names of instances that get no answer
    bool paused = false;
    std::unique_ptr<http_server> server;
  };

  std::string next_boot()
  {
    const auto started = monotonic_now().time_since_epoch().count();
    return std::to_string(started) + "-" + std::to_string(++m_boots);
  }

  void handle(hosted_worker& worker, const http_request& request)
  {
    with_body(request,
              [this, &worker, request](const std::string& body)
              {
                const std::string path = request.relative_uri().path();
                {
                  const std::lock_guard guard(m_lock);
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
                  answer_pending_claims(worker, monotonic_now());
                }
                m_changed.notify_all();
              });
  }

  void claim(hosted_worker& worker, const http_request& request, const claim_request& received)
  {
    if (worker.unreachable_owners.contains(name_of(received.owner)))
      return;
    worker.model.take(received, monotonic_now());
    worker.pending_claims.push_back({request, received, monotonic_now() + received.wait});
  }

  void start(hosted_worker& worker, const http_request& request, const start_request& received)
  {
    if (worker.unreachable_owners.contains(name_of(received.owner)))
      return;
    reply(request, status_codes::OK, to_json_text(worker.model.start(received, monotonic_now())));
  }

  void stop(hosted_worker& worker, const http_request& request, const stop_request& received)
  {
    if (worker.unreachable_owners.contains(name_of(received.owner)))
      return;
    worker.model.stop(received, monotonic_now());
    reply(request, status_codes::OK, "{}");
  }

  void answer_pending_claims(hosted_worker& worker, time_point now)
  {
    std::erase_if(worker.pending_claims,
                  [&](const pending_claim& pending)
                  {
                    if (now < pending.until && !worker.model.has_update_for(pending.claim))
                      return false;
                    reply(pending.request, status_codes::OK,
                          to_json_text(worker.model.answer(pending.claim, now)));
                    return true;
                  });
  }

  void run_timer()
  {
    std::unique_lock guard(m_lock);
    while (!m_stopping)
    {
      const time_point now = monotonic_now();
      time_point next = now + std::chrono::seconds{1};
      for (const auto& worker : m_workers)
      {
        worker->model.advance(now);
        answer_pending_claims(*worker, now);
        next = std::min(next, worker->model.next_event());
        for (const pending_claim& pending : worker->pending_claims)
          next = std::min(next, pending.until);
      }
      m_changed.wait_for(guard, std::max(next - monotonic_now(), duration{100}));
    }
  }

  void handle_admin(const http_request& request)
  {
    with_body(request,
              [this, request](const std::string& body)
              {
                const std::string path = request.relative_uri().path();
                const std::lock_guard guard(m_lock);
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

  void set_faults(hosted_worker& worker, const json& faults)
  {
    const std::string name = worker.model.config().id.value;
    if (faults.contains("workers"))
    {
      const auto named = faults["workers"].get<std::set<std::string>>();
      if (!named.contains(name))
        return;
    }
    replay::worker_faults& model_faults = worker.model.faults();
    model_faults.fails_everything = faults.value("fails_everything", model_faults.fails_everything);
    model_faults.leaving = faults.value("leaving", model_faults.leaving);
    worker.paused = faults.value("paused", worker.paused);
    if (faults.contains("usage_lag_ms"))
      model_faults.usage_lag =
          std::chrono::milliseconds{faults["usage_lag_ms"].get<std::int64_t>()};
    if (faults.contains("cut"))
      worker.unreachable_owners = faults["cut"].get<std::set<std::string>>();
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
  bool m_stopping = false;
  std::uint64_t m_boots = 0;
  std::vector<std::unique_ptr<hosted_worker>> m_workers;
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
