// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// What instances say to each other. The Peer folder puts these into frames.

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

// Sent to every linked peer each heartbeat period; a peer not heard from for a while counts as cut.
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

// A caller's request on its way to the task's home. The number is the sender's own.
struct forward_request
{
  std::uint64_t number = 0;
  std::uint32_t hops = 0;
  request_purpose purpose = request_purpose::submit;
  bool fresh = true; // false: this id may have reached a home before
  task_spec spec;    // only the id counts for status and cancel
};

struct forward_answer
{
  std::uint64_t number = 0;
  bool not_owner = false;    // ask elsewhere
  bool may_have_run = false; // with not_owner: the sender owned it before and may have started it
  instance_id owner;         // with not_owner: whom the sender believes to own it
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

// The sender has stopped placing on the partition; the receiver takes it at a higher term.
struct handover
{
  partition_id partition;
  term_number term = 0;
};

// The sender wants the receiver to ask the advice service on its behalf: the service takes the
// calls of one instance in turn, but those of several at once. The number is the sender's own.
struct advice_request
{
  std::uint64_t number = 0;
  std::string job;
  std::uint32_t cycle = 0;
  std::uint32_t step = 0;
  std::uint32_t expected_ms = 0; // how long the service takes for it
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

// The sender cannot reach the store, the receiver may: it sends the call on.
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
  bool refused = false; // the call has not reached the store
};

// The sender has just had a job kept, or cancelled, that the receiver's partition runs. The store's
// feed says the same, a little later or, after a gap, much later.
struct job_notice
{
  std::string id;
  std::string row;           // the job as it is kept; empty: it was cancelled
  std::uint64_t version = 0; // of the kept row
};

// Whether the receiver lives and reaches the store. Sent by an instance that doubts its own way
// there.
struct store_reachability_query
{
  bool often = false;        // the sender owns a partition and asks all the time
  std::uint32_t late_ms = 0; // the longest that its event loop was late by lately
};

struct store_reachability_report
{
  bool has_way = false; // the sender's direct calls to the store are answered
  // The operator's newest, which is in force at the sender; 0: it does not know whether one is.
  std::uint64_t newest_config = 0;
};

// Sent once a link is up: an owner's work wants an instance that can bear it.
struct processor_capacity_report
{
  std::uint32_t processor_millis = 0; // that the sender may use, in thousandths of a core
};

// What the receiver, as the owner of its partition, has written of a job.
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

// The sender has taken the partition over as the owner `epoch`. Answered by an instance that knows
// of that, and gives no orders for the partition as an earlier owner.
struct previous_requests_query
{
  std::string partition;
  std::uint64_t epoch = 0;
};

struct previous_requests_reply
{
  std::string partition;
  std::uint64_t epoch = 0;    // as asked
  std::uint64_t quiet_ms = 0; // for at least so long its process has given none
};

using peer_message =
    std::variant<heartbeat, forward_request, forward_answer, config_push, config_pull, handover,
                 advice_request, advice_reply, relay_request, relay_reply, job_notice,
                 store_reachability_query, store_reachability_report, job_state_query,
                 job_state_reply, processor_capacity_report, previous_requests_query,
                 previous_requests_reply>;
} // namespace yardhill::common
