// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Common/InstanceSettings.h"

#include <array>
#include <charconv>

#include "Common/FieldReader.h"

namespace yardhill::common
{
namespace
{
constexpr std::int64_t k_max_port = 65535;
constexpr duration k_min_span = std::chrono::milliseconds{1};

template<class options>
struct span_field
{
  const char* name;
  duration options::*member;
};

constexpr auto k_ownership_spans = std::to_array<span_field<ownership_options>>({
    {"heartbeat_period", &ownership_options::heartbeat_period},
    {"peer_silence", &ownership_options::peer_silence},
    {"owner_silence", &ownership_options::owner_silence},
    {"claim_wait", &ownership_options::claim_wait},
    {"claim_timeout", &ownership_options::claim_timeout},
    {"claim_retry", &ownership_options::claim_retry},
    {"confirm_window", &ownership_options::confirm_window},
    {"ticket_life", &ownership_options::ticket_life},
    {"task_lease", &ownership_options::task_lease},
    {"store_timeout", &ownership_options::store_timeout},
    {"store_retry_first", &ownership_options::store_retry_first},
    {"store_retry_most", &ownership_options::store_retry_most},
    {"config_poll", &ownership_options::config_poll},
    {"ended_retention", &ownership_options::ended_retention},
});

constexpr auto k_scheduling_spans = std::to_array<span_field<scheduling_options>>({
    {"retention", &scheduling_options::retention},
    {"retry_first", &scheduling_options::retry_first},
    {"retry_most", &scheduling_options::retry_most},
    {"circuit_open", &scheduling_options::circuit_open},
    {"circuit_open_most", &scheduling_options::circuit_open_most},
    {"gang_patience", &scheduling_options::gang_timeout},
    {"ageing_step", &scheduling_options::ageing_step},
});

constexpr auto k_routing_spans = std::to_array<span_field<routing_options>>({
    {"owner_patience", &routing_options::no_owner_timeout},
    {"wait_limit", &routing_options::wait_limit},
    {"come_back", &routing_options::retry_after_delay},
});

template<class options, std::size_t size>
void read_spans(field_reader& in, const std::array<span_field<options>, size>& fields,
                options& into)
{
  for (const span_field<options>& field : fields)
    into.*field.member = in.time_span(field.name, k_min_span, into.*field.member);
}

endpoint read_endpoint(field_reader& in)
{
  endpoint result;
  result.address = in.text("address");
  result.port = static_cast<std::uint16_t>(in.integer("port", {1, k_max_port}));
  return result;
}

endpoint read_listener(field_reader& in, const char* name)
{
  std::optional<field_reader> section = in.object(name, true);
  if (!section)
    return {};
  endpoint result = read_endpoint(*section);
  section->finish();
  return result;
}

std::size_t read_size(field_reader& in, const char* name, std::int64_t max, std::size_t fallback)
{
  return static_cast<std::size_t>(in.integer(name, {1, max}, static_cast<std::int64_t>(fallback)));
}

void read_limits(field_reader& in, instance_settings& settings)
{
  constexpr std::int64_t max_count = 1'000'000;
  constexpr std::int64_t max_bytes = 64LL << 20U;
  scheduling_options& scheduling = settings.core.scheduling;
  settings.most_body = read_size(in, "request_bytes", max_bytes, settings.most_body);

  settings.threads = read_size(in, "http_threads", 64, settings.threads);
  settings.core.routing.max_pending_requests =
      read_size(in, "pending_requests", max_count, settings.core.routing.max_pending_requests);
  scheduling.max_queued = read_size(in, "queued_tasks", max_count, scheduling.max_queued);
  scheduling.max_queued_interactive =
      read_size(in, "queued_interactive", max_count, scheduling.max_queued_interactive);
  scheduling.max_retained = read_size(in, "retained_tasks", max_count, scheduling.max_retained);
  scheduling.max_retained_bytes =
      read_size(in, "retained_bytes", max_bytes, scheduling.max_retained_bytes);
  in.finish();
}

void read_peers(field_reader& in, instance_settings& settings)
{
  for (field_reader& entry : in.objects("peers"))
  {
    peer_setting peer;
    peer.name = entry.text("name");
    peer.zone = zone_id{entry.text("zone")};
    peer.where = read_endpoint(entry);
    entry.finish();
    settings.peers.push_back(std::move(peer));
  }
}

// Reports time spans that are not longer than the span that they must exceed.
void check_spans(field_reader& in, const ownership_options& spans)
{
  if (spans.claim_timeout <= spans.claim_wait)
    in.problem("claim_timeout", "is not longer than claim_wait", "more than claim_wait");
  if (spans.ticket_life <= spans.claim_wait)
    in.problem("ticket_life", "is not longer than claim_wait", "more than claim_wait");
  if (spans.confirm_window <= spans.claim_wait)
    in.problem("confirm_window", "is not longer than claim_wait", "more than claim_wait");
  if (spans.task_lease <= spans.ticket_life)
    in.problem("task_lease", "is not longer than ticket_life", "more than ticket_life");
  if (spans.peer_silence <= spans.heartbeat_period)
    in.problem("peer_silence", "is not longer than heartbeat_period", "more than heartbeat_period");
}
} // namespace

std::string to_text(const endpoint& value)
{
  return value.address + ":" + std::to_string(value.port);
}

std::optional<endpoint> endpoint_from(const std::string& text)
{
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0)
    return std::nullopt;
  endpoint result;
  result.address = text.substr(0, colon);
  const char* const end = text.data() + text.size();
  const auto [last, error] = std::from_chars(text.data() + colon + 1, end, result.port);
  if (error != std::errc() || last != end)
    return std::nullopt;
  return result;
}

std::optional<instance_settings>
parse_instance_settings(const std::string& text, const std::string& file, problem_list& problems)
{
  const std::size_t problems_before = problems.size();
  const std::optional<nlohmann::json> document = parse_with_comments(text, file, problems);
  if (!document)
    return std::nullopt;
  instance_settings settings;
  field_reader in(*document, file, "", problems);
  settings.name = in.text("name");
  settings.zone = zone_id{in.text("zone")};
  settings.http = read_listener(in, "http");
  settings.peer = read_listener(in, "peer");
  settings.platform = in.text("platform");
  if (settings.platform.rfind("http://", 0) != 0 && !settings.platform.empty())
    in.problem("platform", "is \"" + settings.platform + "\"", "a URL that starts with http://");
  read_peers(in, settings);
  settings.log_level = in.text("log_level", settings.log_level);
  if (settings.log_level != "info" && settings.log_level != "warning" &&
      settings.log_level != "debug")
    in.problem("log_level", "is \"" + settings.log_level + "\"", "debug, info or warning");
  if (std::optional<field_reader> limits = in.object("limits", false))
    read_limits(*limits, settings);
  if (std::optional<field_reader> timing = in.object("timing", false))
  {
    read_spans(*timing, k_ownership_spans, settings.core.ownership);
    read_spans(*timing, k_scheduling_spans, settings.core.scheduling);
    read_spans(*timing, k_routing_spans, settings.core.routing);
    check_spans(*timing, settings.core.ownership);
    timing->finish();
  }
  in.finish();
  if (problems.size() > problems_before)
    return std::nullopt;
  return settings;
}
} // namespace yardhill::common
