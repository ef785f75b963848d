// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Jobs as the store keeps them: accepting one exactly once, finding it again, cancelling it.
//
// A job's row lies in a part that follows from its id alone, so that a second submission of the
// same id meets the first one wherever it comes in. The row names the partition that runs the job.

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
#include "platform/StoreClient.h"

namespace yardhill::node
{
inline constexpr const char* k_jobs_table = "jobs";

// The parts of the jobs' table. A part takes its transactions in turn, 300 a second, and six when
// the store is fifty times slower; then it turns away what would wait over a second. With 32 parts
// some twenty submissions a second hardly meet each other there: days with a slow store twice are
// worth 0.82 instead of 0.69 with eight parts.
std::vector<std::string> job_parts();
std::string job_part(const std::string& id);
// Whether the partition's owner runs the job, or some of its tasks.
bool runs_in(const jobs::accepted_job& job, const std::string& partition);
// A job's own row, and the mark that it is cancelled.
adapter::row_key job_key(const std::string& id);
adapter::row_key cancel_key(const std::string& id);

// What a row of the jobs' table says.
struct refused_mark // written in place of a job whose acceptance stayed unclear
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
// None, with a line in the log, for a damaged row.
std::optional<job_row> job_row_from(const adapter::row& row);

// What an instance knew of a job's row when it answered that there is no such job.
enum class row_evidence
{
  none,   // the row was not looked at, or could not be
  absent, // the store said that there is none
  marked  // the mark of a refusal was written in its place
};
std::string_view to_text(row_evidence evidence);

enum class accept_outcome
{
  accepted, // kept, now or by an earlier submission of the same id
  refused,  // certainly not kept, nor will it be by any call that came before
  unknown   // may be kept; the caller has to ask again
};

struct accept_result
{
  accept_outcome end = accept_outcome::unknown;
  std::string detail;
  bool first = false; // kept by this very call
  adapter::row_version version = 0;
  row_evidence evidence = row_evidence::none; // for a refusal
};

struct found_job
{
  bool answered = false; // by the store, with sound rows if any
  std::optional<jobs::accepted_job> job;
  bool cancelled = false;
};

// What the partition's owner has written of a job.
struct written_state
{
  bool answered = false;                // by the store, with a sound row if any
  std::optional<jobs::job_state> state; // none: nothing is written
};

class job_store
{
public:
  // `feed_store`: its answers tell as well how new the store's rows are.
  job_store(common::timekeeper& time, adapter::store_client& store,
            const adapter::store_client& feed_store);

  // A version of the store that is not newer than this moment.
  adapter::row_version newest_known_version() const;
  // Keeps the job; an answer comes by `deadline`. `known`: a version from when the submission came.
  void accept(const jobs::accepted_job& job, adapter::row_version known,
              common::time_point deadline, std::function<void(accept_result)> done);
  // Has it written that the job is refused, for the reason given, unless it is kept already.
  void refuse(const std::string& id, const std::string& why, common::time_point deadline,
              std::function<void(accept_result)> done);
  void find(const std::string& id, common::duration timeout, std::function<void(found_job)> done);
  // `done` is told whether the mark is kept.
  void cancel(const std::string& id, common::duration timeout, std::function<void(bool)> done);
  // The state that the partition's owner has written last.
  void state(const std::string& partition, const std::string& id, common::duration timeout,
             std::function<void(written_state)> done);

private:
  common::timekeeper& m_time;
  adapter::store_client& m_store;
  const adapter::store_client& m_feed_store;
};
} // namespace yardhill::node
