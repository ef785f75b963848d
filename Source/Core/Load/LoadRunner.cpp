// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Load/LoadRunner.h"

#include <utility>

namespace yardhill::load
{
load_runner::load_runner(common::timekeeper& time, adapter::caller_client& caller,
                         const load_profile& profile, std::vector<common::endpoint> instances,
                         const caller_options& options)
    : m_time(time),
      m_caller(caller),
      m_profile(profile),
      m_instances(std::move(instances)),
      m_options(options)
{
}

void load_runner::play(const std::vector<planned_job>& plan, std::function<void()> done)
{
  m_done = std::move(done);
  m_start = m_time.now();
  m_jobs.resize(plan.size());
  m_unfinished_jobs = plan.size();
  if (plan.empty())
  {
    m_time.post(m_done);
    return;
  }
  m_last_submission = plan.back().at;
  for (std::size_t i = 0; i < plan.size(); ++i)
  {
    m_jobs[i].planned = &plan[i];
    m_time.schedule(plan[i].at, [this, i] { submit(m_jobs[i]); });
  }
  m_time.schedule(m_last_submission + m_options.settle_timeout,
                  [this] { abandon_unfinished_jobs(); });
}

const adapter::queue_address& load_runner::queue_of(const played_job& job) const
{
  return m_profile.kinds[job.planned->kind].queue;
}

const common::endpoint& load_runner::next_instance()
{
  return m_instances[m_next_instance++ % m_instances.size()];
}

void load_runner::submit(played_job& job)
{
  ++job.tries;
  m_caller.submit(
      next_instance(), queue_of(job), job.planned->id, job.planned->spec, m_options.call_timeout,
      [this, &job](const adapter::caller_answer& answer) { handle_submit_reply(job, answer); });
}

void load_runner::handle_submit_reply(played_job& job, const adapter::caller_answer& answer)
{
  if (answer.ok())
  {
    job.accepted = since_start();
    query_state(job);
    return;
  }
  job.detail = answer.detail;
  if (answer.unreached && ++job.unreached <= m_options.max_unreached)
  {
    --job.tries;
    m_time.post([this, &job] { submit(job); });
    return;
  }
  const bool refused = answer.status == 429 || answer.status == 503;
  job.refusals += refused ? 1 : 0;
  job.unanswered += answer.status == 0 ? 1 : 0;
  const bool again = refused || answer.status == 0 || answer.status == 502 || answer.status == 504;
  if (!again || job.tries > m_options.retries)
  {
    finish_job(job);
    return;
  }
  m_time.schedule(m_options.retry_pause, [this, &job] { submit(job); });
}

void load_runner::query_state(played_job& job)
{
  m_caller.ask(next_instance(), queue_of(job), job.planned->id, m_options.call_timeout,
               [this, &job](const adapter::caller_answer& answer)
               { handle_state_reply(job, answer); });
}

void load_runner::handle_state_reply(played_job& job, const adapter::caller_answer& answer)
{
  if (job.finished)
    return;
  if (!answer.state)
  {
    job.detail = answer.detail;
    schedule_state_query(job);
    return;
  }
  job.state = answer.state;
  if (*answer.state != jobs::job_state::queued && !job.started)
    job.started = since_start();
  if (jobs::is_final(*answer.state))
  {
    job.ended = since_start();
    finish_job(job);
  }
  else if (job.planned->spec.long_running() && job.started && since_start() >= m_last_submission)
    cancel(job);
  else
    schedule_state_query(job);
}

void load_runner::schedule_state_query(played_job& job)
{
  m_time.schedule(m_options.state_query_period, [this, &job] { query_state(job); });
}

void load_runner::cancel(played_job& job)
{
  // The answer is ignored. The next state query shows whether the job is cancelled; if it is not,
  // the cancellation is sent again.
  m_caller.cancel(next_instance(), queue_of(job), job.planned->id, m_options.call_timeout,
                  [this, &job](const adapter::caller_answer&) { schedule_state_query(job); });
}

void load_runner::finish_job(played_job& job)
{
  job.finished = true;
  if (--m_unfinished_jobs == 0)
    m_done();
}

void load_runner::abandon_unfinished_jobs()
{
  for (played_job& job : m_jobs)
  {
    if (!job.finished)
      finish_job(job);
  }
}
} // namespace yardhill::load
