// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Scheduling/DispatchOrder.h"

namespace yardhill::scheduling
{
namespace
{
// Up to this share of the cell in use, expired jobs may start. Above, what is left is needed for
// regular work that arrives while they run: a burst takes a fifth of the cell within a second. The
// platform expects waiting tasks to start while less than half of the cell is in use.
constexpr double k_max_used_for_expired = 0.75;
// The same for jobs beyond their workspace's share, which may still be in time.
constexpr double k_max_used_for_beyond_share = 0.9;
// The share of the cell that these jobs may use in any case, so that accepted jobs end however long
// the cell is full.
constexpr double k_guaranteed_share = 0.03;
// Without a start of a regular task for this long, there is no load that others have to give way
// to.
constexpr std::chrono::seconds k_regular_work_window{3};
} // namespace

dispatch_class dispatch_class_of(const job_record& job, job_prospect prospect)
{
  const jobs::job_spec& spec = job.accepted().spec;
  if (prospect == job_prospect::none && spec.repeats == 0 && !spec.long_running())
    return dispatch_class::expired;
  return job.beyond_share() ? dispatch_class::beyond_share : dispatch_class::regular;
}

job_prospect cautious_prospect(const job_record& job, std::uint32_t step,
                               const runtime_model& runtimes, time_point now)
{
  const std::string& queue = job.accepted().queue;
  const duration path = job.critical_path_from(step);
  const duration cautious = job.accepted().spec.steps[step].gang ? runtimes.expected(queue, path)
                                                                 : runtimes.cautious(queue, path);
  if (now + cautious <= job.objective())
    return job_prospect::in_time;
  return now + runtimes.expected(queue, path) <= job.credit_end() ? job_prospect::late
                                                                  : job_prospect::none;
}

dispatch_key dispatch_key_of(const job_record& job, std::uint32_t cycle, std::uint32_t step,
                             job_prospect prospect)
{
  return {dispatch_class_of(job, prospect),
          job.policy().priority,
          prospect,
          job.objective(),
          job.id(),
          cycle,
          step};
}

void spare_capacity::begin_pass(std::int64_t total, std::int64_t used, std::int64_t used_by_spare,
                                time_point now)
{
  m_now = now;
  m_total = total;
  m_used = used;
  m_used_by_spare = used_by_spare;
}

bool spare_capacity::admits(dispatch_class rank) const
{
  if (rank == dispatch_class::regular || !m_latest_regular_start ||
      m_now - *m_latest_regular_start > k_regular_work_window)
    return true;
  const double most =
      rank == dispatch_class::expired ? k_max_used_for_expired : k_max_used_for_beyond_share;
  return static_cast<double>(m_used) < most * static_cast<double>(m_total) ||
         static_cast<double>(m_used_by_spare) < k_guaranteed_share * static_cast<double>(m_total);
}

void spare_capacity::add(dispatch_class rank, std::int64_t cpu_millis)
{
  m_used += cpu_millis;
  if (rank == dispatch_class::regular)
    m_latest_regular_start = m_now;
  else
    m_used_by_spare += cpu_millis;
}
} // namespace yardhill::scheduling
