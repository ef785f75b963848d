// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Load/LoadRunner.h"

#include <utility>

namespace yardhill::load
{
load_runner::load_runner(common::timekeeper& time, adapter::caller_client& caller,
                         const load_profile& of, std::vector<common::endpoint> instances,
                         const caller_options& options)
    : m_time(time),
      m_caller(caller),
      m_yard(of),
      m_instances(std::move(instances)),
      m_options(options)
{
}

void load_runner::play(const std::vector<planned_job>& plan, std::function<void()> done)
{
  m_done = std::move(done);
  m_begin = m_time.now();
  m_jobs.resize(plan.size());
  m_open = plan.size();
  if (plan.empty())
  {
    m_time.post(m_done);
    return;
  }
  m_last = plan.back().at;
  for (std::size_t i = 0; i < plan.size(); ++i)
  {
    m_jobs[i].planned = &plan[i];
    m_time.schedule(plan[i].at, [this, i] { hand_in(m_jobs[i]); });
  }
  m_time.schedule(m_last + m_options.settle, [this] { leave_rest(); });
}

const adapter::queue_address& load_runner::queue_of(const played_job& job) const
{
  return m_yard.kinds[job.planned->kind].queue;
}

const common::endpoint& load_runner::next_instance()
{
  return m_instances[m_turn++ % m_instances.size()];
}

void load_runner::hand_in(played_job& job)
{
  ++job.tries;
  m_caller.submit(
      next_instance(), queue_of(job), job.planned->id, job.planned->spec, m_options.patience,
      [this, &job](const adapter::caller_answer& answer) { on_handed_in(job, answer); });
}

void load_runner::on_handed_in(played_job& job, const adapter::caller_answer& answer)
{
  if (answer.ok())
  {
    job.accepted = since_begin();
    ask(job);
    return;
  }
  job.detail = answer.detail;
  if (answer.unreached && ++job.unreached <= m_options.most_unreached)
  {
    --job.tries;
    m_time.post([this, &job] { hand_in(job); });
    return;
  }
  const bool refused = answer.status == 429 || answer.status == 503;
  job.refusals += refused ? 1 : 0;
  job.unanswered += answer.status == 0 ? 1 : 0;
  const bool again = refused || answer.status == 0 || answer.status == 502 || answer.status == 504;
  if (!again || job.tries > m_options.retries)
  {
    end(job);
    return;
  }
  m_time.schedule(m_options.retry_pause, [this, &job] { hand_in(job); });
}

void load_runner::ask(played_job& job)
{
  m_caller.ask(next_instance(), queue_of(job), job.planned->id, m_options.patience,
               [this, &job](const adapter::caller_answer& answer) { on_state(job, answer); });
}

void load_runner::on_state(played_job& job, const adapter::caller_answer& answer)
{
  if (job.over)
    return;
  if (!answer.state)
  {
    job.detail = answer.detail;
    ask_later(job);
    return;
  }
  job.state = answer.state;
  if (*answer.state != jobs::job_state::queued && !job.begun)
    job.begun = since_begin();
  if (jobs::is_final(*answer.state))
  {
    job.ended = since_begin();
    end(job);
  }
  else if (job.planned->spec.long_running() && job.begun && since_begin() >= m_last)
    cancel(job);
  else
    ask_later(job);
}

void load_runner::ask_later(played_job& job)
{
  m_time.schedule(m_options.ask_period, [this, &job] { ask(job); });
}

void load_runner::cancel(played_job& job)
{
  // Whatever the answer: the state tells whether it is done, and it is asked for again if not.
  m_caller.cancel(next_instance(), queue_of(job), job.planned->id, m_options.patience,
                  [this, &job](const adapter::caller_answer&) { ask_later(job); });
}

void load_runner::end(played_job& job)
{
  job.over = true;
  if (--m_open == 0)
    m_done();
}

void load_runner::leave_rest()
{
  for (played_job& job : m_jobs)
  {
    if (!job.over)
      end(job);
  }
}
} // namespace yardhill::load
