// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Jobs in the store: accepts a job exactly once, finds it again, cancels it.
//
// The part of the table that holds a job's row follows from the job's id alone, so that a second
// submission of the same id conflicts with the first one, whichever instance receives it. The row
// names the partition that runs the job.

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Common/Timekeeper.h"
#include "Jobs/JobProgress.h"
#include "Jobs/JobSpec.h"
#include "Jobs/ProgressRows.h"
#include "Node/SubmissionRetries.h"
#include "platform/StoreClient.h"

namespace yardhill::node
{
inline constexpr const char* k_jobs_table = "jobs";

// The parts of the jobs' table. A part carries out its transactions one after the other, 300 per
// second, or six when the store is fifty times slower; then it rejects those that would wait for
// more than a second. With 32 parts, some twenty submissions per second hardly ever wait for each
// other; eight parts are worth 0.69 instead of 0.82 on days on which the store is slow twice.
std::vector<std::string> job_parts();
std::string job_part(const std::string& id);
// Whether the partition's owner runs the job, or some of its tasks.
bool runs_in(const jobs::accepted_job& job, const std::string& partition);
// The keys of a job's own row and of its cancellation mark.
adapter::row_key job_key(const std::string& id);
adapter::row_key cancel_key(const std::string& id);

// The content of a row of the jobs' table.
struct refused_mark // written in place of a job whose acceptance remained uncertain
{
};
struct cancel_mark
{
};
struct job_row
{
  std::string id;
  std::variant<jobs::accepted_job, refused_mark, cancel_mark> content;
};
// Returns none and logs an event if the row is damaged.
std::optional<job_row> job_row_from(const adapter::row& row);

// What an instance knew of a job's row when it answered that there is no such job.
enum class row_evidence
{
  none,   // the row was not read, or could not be
  absent, // the store replied that there is no such row
  marked  // the mark of a refusal was written in its place
};
std::string_view to_text(row_evidence evidence);

enum class accept_outcome
{
  accepted, // stored, now or by an earlier submission of the same id
  refused,  // certainly not stored, and no earlier call will store it
  unknown   // may be stored; the caller has to ask again
};

struct accept_result
{
  accept_outcome end = accept_outcome::unknown;
  std::string detail;
  bool first = false; // stored by this very call
  adapter::row_version version = 0;
  row_evidence evidence = row_evidence::none; // for a refusal
};

struct found_job
{
  bool answered = false; // the store answered, and no row is damaged
  std::optional<jobs::accepted_job> job;
  bool cancelled = false;
};

// The state of a job that the partition's owner has committed.
struct written_state
{
  bool answered = false;                // the store answered, and the row is not damaged
  std::optional<jobs::job_state> state; // none: nothing is committed
};

class job_store
{
public:
  // `feed_store`: its replies also show how new the store's rows are.
  // `limits`: of the rows of a job and its progress.
  job_store(common::timekeeper& time, adapter::store_client& store,
            const adapter::store_client& feed_store, common::metrics& counts,
            const jobs::row_limits& limits = {});

  const jobs::row_limits& limits() const { return m_limits; }

  // The newest store version known here; it is not newer than the present moment.
  adapter::row_version newest_known_version() const;
  // Stores the job; `done` is called by `deadline`. `priority`: of the job's queue.
  // `known_version`: a store version from when the submission arrived.
  void accept(const jobs::accepted_job& job, std::uint32_t priority,
              adapter::row_version known_version, common::time_point deadline,
              std::function<void(accept_result)> done);
  // Writes a refusal mark for the job, unless the job is already stored. `why` is the reason given
  // in the result.
  void refuse(const std::string& id, const std::string& why, common::time_point deadline,
              std::function<void(accept_result)> done);
  void find(const std::string& id, common::duration timeout, std::function<void(found_job)> done);
  // `done` receives whether the cancellation mark is stored.
  void cancel(const std::string& id, common::duration timeout, std::function<void(bool)> done);
  // The state that the partition's owner has committed last.
  void state(const std::string& partition, const std::string& id, common::duration timeout,
             std::function<void(written_state)> done);

  // Called when the store stops answering this instance, and when it answers again.
  void store_lost() { m_retries.store_lost(); }
  void store_restored(std::size_t instances) { m_retries.store_restored(instances); }
  // Whether submissions wait for another write.
  bool submissions_waiting() const { return !m_retries.empty(); }

private:
  common::timekeeper& m_time;
  adapter::store_client& m_store;
  const adapter::store_client& m_feed_store;
  submission_retries m_retries;
  jobs::row_limits m_limits;
};
} // namespace yardhill::node
