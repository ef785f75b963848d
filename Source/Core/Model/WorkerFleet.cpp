// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Model/WorkerFleet.h"

#include <cmath>
#include <utility>

#include "platform/WireNames.h"

namespace yardhill::model
{
namespace
{
using std::chrono::milliseconds;

adapter::row_key entry_of(const std::string& id)
{
  return {adapter::wire::k_workers_table, "", id};
}
} // namespace

worker_fleet::worker_fleet(common::timekeeper& time, store_model& store, advice_model& advice,
                           run_judge& judge, worker_model::course_function course,
                           const std::map<std::string, jobs::job_spec>& specs)
    : m_time(time),
      m_store(store),
      m_advice(advice),
      m_judge(judge),
      m_course(std::move(course)),
      m_specs(specs)
{
}

fleet_worker& worker_fleet::add(const std::string& machine, const worker_settings& settings)
{
  fleet_worker& added = m_workers.emplace_back();
  added.settings = settings;
  added.machine = machine;
  begin_life(added);
  return added;
}

void worker_fleet::identify_incarnation(fleet_worker& which, const incarnation_plan& plan)
{
  worker_settings& settings = which.settings;
  ++which.incarnations_begun;
  const auto now = std::chrono::duration_cast<milliseconds>(m_time.now().time_since_epoch());
  const auto wall = std::chrono::duration_cast<milliseconds>(m_time.wall().time_since_epoch());
  std::int64_t started_ms = (wall + plan.wall_ahead).count();
  if (plan.keeps_id)
  {
    started_ms += started_ms == settings.started_wall_ms ? 1 : 0;
    settings.life = settings.id + "~" + std::to_string(which.incarnations_begun);
    settings.clock_ahead =
        plan.clock -
        milliseconds(std::llround(static_cast<double>(now.count()) * settings.clock_rate));
  }
  else
  {
    remove_entry(which);
    settings.id = "worker-" + which.machine + "-" + std::to_string(which.incarnations_begun);
    settings.life = settings.id;
  }
  settings.started_wall_ms = started_ms;
  m_advice.set_incarnation(settings.id, settings.life);
}

void worker_fleet::begin_life(fleet_worker& which)
{
  identify_incarnation(which,
                       which.incarnations_begun > 0 && m_plan ? m_plan() : incarnation_plan{});
  which.draining = false;
  which.corrupt_entry.clear();
  which.model = std::make_unique<worker_model>(m_time, which.settings, m_advice, m_judge, m_course);
  which.model->set_specs(m_specs);
  which.model->set_crash_handler(
      [this, &which]
      {
        const auto members = which.model->gang_runs();
        end_life(which);
        for (const fleet_worker& other : m_workers)
        {
          for (const auto& [task, number] : members)
          {
            if (other.model)
              other.model->break_gang(task, number);
          }
        }
        if (m_crashed)
          m_crashed(which);
      });
}

void worker_fleet::end_life(fleet_worker& which)
{
  which.model.reset();
}

void worker_fleet::set_capacity(fleet_worker& which, const common::resources& capacity)
{
  which.settings.capacity = capacity;
  if (which.model)
    which.model->set_capacity(capacity);
}

void worker_fleet::write_entry(fleet_worker& which)
{
  if (which.corrupt_entry.empty())
    m_judge.entry_restored(which.settings.life);
  else
    m_judge.entry_corrupted(which.settings.life, m_time.now());
  m_store.put(entry_of(which.settings.id), which.corrupt_entry.empty()
                                               ? which.model->entry(which.draining)
                                               : which.corrupt_entry);
  which.model->capacity_published();
  which.listed = true;
}

void worker_fleet::remove_entry(fleet_worker& which)
{
  if (which.listed)
    m_store.remove(entry_of(which.settings.id));
  which.listed = false;
}

void worker_fleet::write_entry_of(const std::string& id, const std::string& text)
{
  m_store.put(entry_of(id), text);
}

void worker_fleet::remove_entry_of(const std::string& id)
{
  m_store.remove(entry_of(id));
}

void worker_fleet::handle(fleet_worker& which, const http::request& call, http::reply_handler done)
{
  if (which.model)
    which.model->handle(call, std::move(done));
}
} // namespace yardhill::model
