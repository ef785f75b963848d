// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Peer/FrameCodec.h"

#include <utility>

#include "Peer/Generated/PeerMessages_generated.h"

namespace yardhill::peer
{
namespace
{
// Limits for the FlatBuffers verifier. Frames with deeper nesting or more tables than a
// peer message has are rejected.
constexpr flatbuffers::uoffset_t k_max_depth = 16;
constexpr flatbuffers::uoffset_t k_max_tables = 100'000;

// --- Encoding ---

wire::ResourcesT to_wire(const resources& from)
{
  wire::ResourcesT to;
  to.cpu_millis = from.cpu_millis;
  to.memory_mib = from.memory_mib;
  to.accelerators = from.accelerators;
  to.slots = from.slots;
  to.connections = from.connections;
  return to;
}

wire::TaskSpecT to_wire(const task_spec& from)
{
  wire::TaskSpecT to;
  to.id = from.id.value;
  to.workload = from.workload.value;
  to.team = from.team.value;
  to.kind = static_cast<std::uint8_t>(from.kind);
  to.demand = std::make_unique<wire::ResourcesT>(to_wire(from.demand));
  to.members = from.members;
  to.priority = from.priority;
  to.expected_run_us = from.expected_run.count();
  to.deadline_us = from.deadline.count();
  to.keyed = from.keyed;
  to.repeatable = from.repeatable;
  to.waits = from.waits;
  to.max_attempts = from.max_attempts;
  to.payload = from.payload;
  return to;
}

wire::AnswerT to_wire(const answer& from)
{
  wire::AnswerT to;
  to.task = from.task.value;
  to.result = static_cast<std::uint8_t>(from.result);
  to.reason = to_text(from.reason);
  to.detail = from.detail;
  to.step = from.step;
  to.peer = from.peer;
  to.body.assign(from.body.begin(), from.body.end());
  to.durability = from.durability;
  to.retry_after_us = from.retry_after.count();
  to.waited_us = from.waited.count();
  to.ran_us = from.ran.count();
  to.attempts = from.attempts;
  return to;
}

wire::HelloT to_wire(const hello& from)
{
  wire::HelloT to;
  to.protocol = from.protocol;
  to.instance = from.instance.value;
  to.zone = from.zone.value;
  to.address = from.address;
  to.port = from.port;
  return to;
}

wire::HeartbeatT to_wire(const heartbeat& from)
{
  wire::HeartbeatT to;
  to.config_version = from.config_version;
  to.leaving = from.leaving;
  for (const owned_partition& owned : from.owned)
  {
    auto entry = std::make_unique<wire::OwnedPartitionT>();
    entry->zone = owned.partition.zone.value;
    entry->index = owned.partition.index;
    entry->term = owned.term;
    to.owned.push_back(std::move(entry));
  }
  return to;
}

wire::ForwardRequestT to_wire(const forward_request& from)
{
  wire::ForwardRequestT to;
  to.number = from.number;
  to.hops = from.hops;
  to.purpose = static_cast<std::uint8_t>(from.purpose);
  to.fresh = from.fresh;
  to.spec = std::make_unique<wire::TaskSpecT>(to_wire(from.spec));
  return to;
}

wire::ForwardAnswerT to_wire(const forward_answer& from)
{
  wire::ForwardAnswerT to;
  to.number = from.number;
  to.not_owner = from.not_owner;
  to.may_have_run = from.may_have_run;
  to.owner = from.owner.value;
  to.reply = std::make_unique<wire::AnswerT>(to_wire(from.reply));
  return to;
}

wire::ConfigPushT to_wire(const config_push& from)
{
  wire::ConfigPushT to;
  to.version = from.version;
  to.document = from.document;
  return to;
}

wire::ConfigPullT to_wire(const config_pull& /*from*/)
{
  return {};
}

wire::HandoverT to_wire(const handover& from)
{
  wire::HandoverT to;
  to.zone = from.partition.zone.value;
  to.index = from.partition.index;
  to.term = from.term;
  return to;
}

wire::AdviceRequestT to_wire(const advice_request& from)
{
  wire::AdviceRequestT to;
  to.number = from.number;
  to.job = from.job;
  to.cycle = from.cycle;
  to.step = from.step;
  to.expected_ms = from.expected_ms;
  to.workers = from.workers;
  return to;
}

wire::AdviceReplyT to_wire(const advice_reply& from)
{
  wire::AdviceReplyT to;
  to.number = from.number;
  to.answered = from.answered;
  to.valid_ms = from.valid_ms;
  for (const advice_reply::permit& each : from.permitted)
  {
    auto entry = std::make_unique<wire::PermitT>();
    entry->worker = each.worker;
    entry->ticket = each.ticket;
    to.permitted.push_back(std::move(entry));
  }
  return to;
}

wire::RelayRequestT to_wire(const relay_request& from)
{
  wire::RelayRequestT to;
  to.number = from.number;
  to.verb = from.verb;
  to.target = from.target;
  to.body = from.body;
  to.timeout_ms = from.timeout_ms;
  return to;
}

wire::RelayReplyT to_wire(const relay_reply& from)
{
  wire::RelayReplyT to;
  to.number = from.number;
  to.status = from.status;
  to.body = from.body;
  to.failure = from.failure;
  to.refused = from.refused;
  return to;
}

wire::JobNoticeT to_wire(const job_notice& from)
{
  wire::JobNoticeT to;
  to.id = from.id;
  to.row = from.row;
  to.version = from.version;
  return to;
}

wire::WayQuestionT to_wire(const store_reachability_query& from)
{
  wire::WayQuestionT to;
  to.often = from.often;
  to.late_ms = from.late_ms;
  return to;
}

wire::WayReportT to_wire(const store_reachability_report& from)
{
  wire::WayReportT to;
  to.has_way = from.has_way;
  to.newest_config = from.newest_config;
  return to;
}

wire::StrengthReportT to_wire(const processor_capacity_report& from)
{
  wire::StrengthReportT to;
  to.processor_millis = from.processor_millis;
  return to;
}

wire::OrdersQuestionT to_wire(const previous_requests_query& from)
{
  wire::OrdersQuestionT to;
  to.partition = from.partition;
  to.epoch = from.epoch;
  return to;
}

wire::OrdersReplyT to_wire(const previous_requests_reply& from)
{
  wire::OrdersReplyT to;
  to.partition = from.partition;
  to.epoch = from.epoch;
  to.quiet_ms = from.quiet_ms;
  return to;
}

wire::StateQuestionT to_wire(const job_state_query& from)
{
  wire::StateQuestionT to;
  to.number = from.number;
  to.id = from.id;
  return to;
}

wire::StateReplyT to_wire(const job_state_reply& from)
{
  wire::StateReplyT to;
  to.number = from.number;
  to.known = from.known;
  to.state = from.state;
  return to;
}

template<class wire_type>
std::string encode_message(wire_type&& message)
{
  wire::FrameT frame;
  frame.message.Set(std::forward<wire_type>(message));
  flatbuffers::FlatBufferBuilder builder;
  builder.FinishSizePrefixed(wire::Frame::Pack(builder, &frame));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

// --- Decoding ---

template<class enum_type>
std::optional<enum_type> enum_from(std::uint8_t value)
{
  if (value >= static_cast<std::uint8_t>(enum_type::count))
    return std::nullopt;
  return static_cast<enum_type>(value);
}

resources from_wire(const wire::ResourcesT& from)
{
  return {from.cpu_millis, from.memory_mib, from.accelerators, from.slots, from.connections};
}

std::optional<task_spec> from_wire(const wire::TaskSpecT* from)
{
  if (from == nullptr || from->demand == nullptr)
    return std::nullopt;
  const std::optional<task_kind> kind = enum_from<task_kind>(from->kind);
  if (!kind)
    return std::nullopt;
  task_spec to;
  to.id = task_id{from->id};
  to.workload = workload_id{from->workload};
  to.team = team_id{from->team};
  to.kind = *kind;
  to.demand = from_wire(*from->demand);
  to.members = from->members;
  to.priority = from->priority;
  to.expected_run = duration{from->expected_run_us};
  to.deadline = duration{from->deadline_us};
  to.keyed = from->keyed;
  to.repeatable = from->repeatable;
  to.waits = from->waits;
  to.max_attempts = from->max_attempts;
  to.payload = from->payload;
  return to;
}

std::optional<answer> from_wire(const wire::AnswerT* from)
{
  if (from == nullptr)
    return std::nullopt;
  const std::optional<outcome> result = enum_from<outcome>(from->result);
  if (!result)
    return std::nullopt;
  answer to;
  to.task = task_id{from->task};
  to.result = *result;
  to.reason = refusal_reason_from(from->reason);
  to.detail = from->detail;
  to.step = from->step;
  to.peer = from->peer;
  to.body.assign(from->body.begin(), from->body.end());
  to.durability = from->durability;
  to.retry_after = duration{from->retry_after_us};
  to.waited = duration{from->waited_us};
  to.ran = duration{from->ran_us};
  to.attempts = from->attempts;
  return to;
}

hello from_wire(const wire::HelloT& from)
{
  return {from.protocol, instance_id{from.instance}, zone_id{from.zone}, from.address, from.port};
}

heartbeat from_wire(const wire::HeartbeatT& from)
{
  heartbeat to;
  to.config_version = from.config_version;
  to.leaving = from.leaving;
  for (const auto& owned : from.owned)
    to.owned.push_back({{zone_id{owned->zone}, owned->index}, owned->term});
  return to;
}

std::optional<frame> from_wire(const wire::ForwardRequestT& from)
{
  const std::optional<request_purpose> purpose = enum_from<request_purpose>(from.purpose);
  std::optional<task_spec> spec = from_wire(from.spec.get());
  if (!purpose || !spec)
    return std::nullopt;
  return peer_message{
      forward_request{from.number, from.hops, *purpose, from.fresh, std::move(*spec)}};
}

advice_request from_wire(const wire::AdviceRequestT& from)
{
  return {from.number, from.job, from.cycle, from.step, from.expected_ms, from.workers};
}

advice_reply from_wire(const wire::AdviceReplyT& from)
{
  advice_reply to;
  to.number = from.number;
  to.answered = from.answered;
  to.valid_ms = from.valid_ms;
  for (const auto& each : from.permitted)
    to.permitted.push_back({each->worker, each->ticket});
  return to;
}

std::optional<frame> from_wire(const wire::ForwardAnswerT& from)
{
  std::optional<answer> reply = from_wire(from.reply.get());
  if (!reply)
    return std::nullopt;
  return peer_message{forward_answer{from.number, from.not_owner, from.may_have_run,
                                     instance_id{from.owner}, std::move(*reply)}};
}
} // namespace

std::string encode(const hello& message)
{
  return encode_message(to_wire(message));
}

std::string encode(const peer_message& message)
{
  return std::visit([](const auto& each) { return encode_message(to_wire(each)); }, message);
}

std::optional<std::uint32_t> frame_length(std::span<const std::uint8_t, k_length_bytes> bytes)
{
  const auto length = flatbuffers::ReadScalar<std::uint32_t>(bytes.data());
  if (length == 0 || length > k_most_frame_bytes)
    return std::nullopt;
  return length;
}

std::optional<frame> decode(std::span<const std::uint8_t> bytes)
{
  flatbuffers::Verifier verifier(bytes.data(), bytes.size(), k_max_depth, k_max_tables);
  if (!verifier.VerifySizePrefixedBuffer<wire::Frame>(nullptr))
    return std::nullopt;
  wire::FrameT parsed;
  wire::GetSizePrefixedFrame(bytes.data())->UnPackTo(&parsed);
  switch (parsed.message.type)
  {
  case wire::Message::Hello:
    return from_wire(*parsed.message.AsHello());
  case wire::Message::Heartbeat:
    return peer_message{from_wire(*parsed.message.AsHeartbeat())};
  case wire::Message::ForwardRequest:
    return from_wire(*parsed.message.AsForwardRequest());
  case wire::Message::ForwardAnswer:
    return from_wire(*parsed.message.AsForwardAnswer());
  case wire::Message::ConfigPush:
  {
    const wire::ConfigPushT& push = *parsed.message.AsConfigPush();
    return peer_message{config_push{push.version, push.document}};
  }
  case wire::Message::ConfigPull:
    return peer_message{config_pull{}};
  case wire::Message::Handover:
  {
    const wire::HandoverT& given = *parsed.message.AsHandover();
    return peer_message{handover{{zone_id{given.zone}, given.index}, given.term}};
  }
  case wire::Message::AdviceRequest:
    return peer_message{from_wire(*parsed.message.AsAdviceRequest())};
  case wire::Message::AdviceReply:
    return peer_message{from_wire(*parsed.message.AsAdviceReply())};
  case wire::Message::RelayRequest:
  {
    const wire::RelayRequestT& call = *parsed.message.AsRelayRequest();
    return peer_message{
        relay_request{call.number, call.verb, call.target, call.body, call.timeout_ms}};
  }
  case wire::Message::RelayReply:
  {
    const wire::RelayReplyT& back = *parsed.message.AsRelayReply();
    return peer_message{
        relay_reply{back.number, back.status, back.body, back.failure, back.refused}};
  }
  case wire::Message::JobNotice:
  {
    const wire::JobNoticeT& notice = *parsed.message.AsJobNotice();
    return peer_message{job_notice{notice.id, notice.row, notice.version}};
  }
  case wire::Message::WayQuestion:
    return peer_message{store_reachability_query{parsed.message.AsWayQuestion()->often,
                                                 parsed.message.AsWayQuestion()->late_ms}};
  case wire::Message::WayReport:
    return peer_message{store_reachability_report{parsed.message.AsWayReport()->has_way,
                                                  parsed.message.AsWayReport()->newest_config}};
  case wire::Message::StateQuestion:
  {
    const wire::StateQuestionT& question = *parsed.message.AsStateQuestion();
    return peer_message{job_state_query{question.number, question.id}};
  }
  case wire::Message::StateReply:
  {
    const wire::StateReplyT& reply = *parsed.message.AsStateReply();
    return peer_message{job_state_reply{reply.number, reply.known, reply.state}};
  }
  case wire::Message::StrengthReport:
    return peer_message{
        processor_capacity_report{parsed.message.AsStrengthReport()->processor_millis}};
  case wire::Message::OrdersQuestion:
  {
    const wire::OrdersQuestionT& question = *parsed.message.AsOrdersQuestion();
    return peer_message{previous_requests_query{question.partition, question.epoch}};
  }
  case wire::Message::OrdersReply:
  {
    const wire::OrdersReplyT& reply = *parsed.message.AsOrdersReply();
    return peer_message{previous_requests_reply{reply.partition, reply.epoch, reply.quiet_ms}};
  }
  case wire::Message::NONE:
    return std::nullopt;
  }
  return std::nullopt;
}
} // namespace yardhill::peer
