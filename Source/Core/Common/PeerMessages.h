// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// The messages between instances. The Peer folder encodes them into frames.

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "Common/Ids.h"
#include "Common/Task.h"

namespace yardhill::common
{
struct owned_partition
{
  partition_id partition;
  term_number term = 0;
};

// Sent to every linked peer once per heartbeat period. A peer that has sent nothing for some time
// counts as disconnected.
struct heartbeat
{
  std::uint64_t config_version = 0;
  bool leaving = false;
  std::vector<owned_partition> owned;
};

enum class request_purpose
{
  submit,
  status,
  cancel,
  count
};

// A caller's request that is forwarded to the task's home. The sender chooses `number`, and the
// answer repeats it.
struct forward_request
{
  std::uint64_t number = 0;
  std::uint32_t hops = 0;
  request_purpose purpose = request_purpose::submit;
  bool fresh = true; // false: a request with this id may have reached a home before
  task_spec spec;    // status and cancel use only its id
};

struct forward_answer
{
  std::uint64_t number = 0;
  bool not_owner = false; // the sender does not own the partition: ask another instance
  // With not_owner: the sender has owned the partition before and may have started the task.
  bool may_have_run = false;
  instance_id owner; // with not_owner: the owner as far as the sender knows
  answer reply;
};

struct config_push
{
  std::uint64_t version = 0;
  std::string document;
};

struct config_pull
{
};

// The sender has stopped starting tasks on the partition; the receiver takes it over with a higher
// term.
struct handover
{
  partition_id partition;
  term_number term = 0;
};

// Asks the receiver to call the advice service on the sender's behalf: the service processes the
// calls of one instance one after the other, but those of several instances in parallel. The sender
// chooses `number`, and the reply repeats it.
struct advice_request
{
  std::uint64_t number = 0;
  std::string job;
  std::uint32_t cycle = 0;
  std::uint32_t step = 0;
  std::uint32_t expected_ms = 0; // how long the service is expected to take for this call
  std::vector<std::string> workers;
};

struct advice_reply
{
  struct permit
  {
    std::string worker;
    std::string ticket;
  };

  std::uint64_t number = 0;
  bool answered = false;
  std::uint32_t valid_ms = 0;
  std::vector<permit> permitted;
};

// The sender cannot reach the store. The receiver, which may be able to, sends the call on.
struct relay_request
{
  std::uint64_t number = 0;
  std::uint8_t verb = 0; // an http::method
  std::string target;
  std::string body;
  std::uint32_t timeout_ms = 0;
};

struct relay_reply
{
  std::uint64_t number = 0;
  std::uint32_t status = 0; // 0: the store did not answer
  std::string body;
  std::string failure;
  bool refused = false; // the call certainly has not reached the store
};

// The sender has just written, or cancelled, a job that the receiver's partition runs. The receiver
// also learns of it from the store's feed, but a little later or, after a gap in the feed, much
// later.
struct job_notice
{
  std::string id;
  std::string row;           // the job's row as written; empty: the job was cancelled
  std::uint64_t version = 0; // of that row
};

// Asks whether the receiver is alive and reaches the store. Sent by an instance that doubts that it
// still reaches the store itself.
struct store_reachability_query
{
  bool often = false;        // the sender owns a partition and sends this query continually
  std::uint32_t late_ms = 0; // the largest recent delay of the sender's event loop
};

struct store_reachability_report
{
  bool has_way = false; // the store answers the sender's direct calls
  // Version of the operator's newest configuration if it is in force at the sender; 0: the sender
  // does not know whether it is.
  std::uint64_t newest_config = 0;
};

// Sent once a link is up, so that a partition is owned by an instance with enough processor time
// for the owner's work.
struct processor_capacity_report
{
  std::uint32_t processor_millis = 0; // processor time the sender may use, in thousandths of a core
};

// Asks which state of a job the receiver, as the owner of the job's partition, has written.
struct job_state_query
{
  std::uint64_t number = 0;
  std::string id;
};

struct job_state_reply
{
  std::uint64_t number = 0;
  bool known = false;
  std::uint8_t state = 0; // a jobs::job_state
};

// The sender has taken the partition over as the owner `epoch`. An instance replies once it knows
// of this takeover and, as an earlier owner, sends the partition's workers no more requests.
struct previous_requests_query
{
  std::string partition;
  std::uint64_t epoch = 0;
};

struct previous_requests_reply
{
  std::string partition;
  std::uint64_t epoch = 0;    // of the query
  std::uint64_t quiet_ms = 0; // the process has sent no such request for at least this long
};

using peer_message =
    std::variant<heartbeat, forward_request, forward_answer, config_push, config_pull, handover,
                 advice_request, advice_reply, relay_request, relay_reply, job_notice,
                 store_reachability_query, store_reachability_report, job_state_query,
                 job_state_reply, processor_capacity_report, previous_requests_query,
                 previous_requests_reply>;
} // namespace yardhill::common
