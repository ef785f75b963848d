// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// yardhill drain: stops an instance as planned, or takes a worker out of use.

#include <algorithm>
#include <cstdio>

#include <docopt/docopt.h>

#include "Yardhill/ConfigCommands.h"
#include "Yardhill/Subcommands.h"

namespace yardhill::cli
{
namespace
{
using nlohmann::json;

constexpr const char* k_usage = R"(Stop an instance as planned, or take a worker out of use.

Usage:
  yardhill drain instance --url URL
  yardhill drain worker --url URL [--undo] <worker>

A drained instance takes no new requests, hands its partitions over, finishes what its callers
wait for, and exits. A drained worker gets no new work from within seconds; what runs there ends
by itself. It stays drained, through a change of the configuration, until --undo.

Options:
  --url URL  an instance's HTTP address
  --undo     use the worker again
)";

int drain_worker(instance_client& client, const std::string& worker, bool undo)
{
  const json in_force = fetch_config(client);
  json document = json::parse(in_force.at("document").get<std::string>());
  json& drained = document["drained"];
  if (!drained.is_array())
    drained = json::array();
  const auto entry = std::find(drained.begin(), drained.end(), json(worker));
  if (undo && entry != drained.end())
    drained.erase(entry);
  else if (!undo && entry == drained.end())
    drained.push_back(worker);
  return put_config(client, in_force.at("version").get<std::uint64_t>(), new_apply_id(),
                    document.dump(), false);
}
} // namespace

int drain(const arguments& args)
{
  const auto parsed = docopt::docopt(k_usage, args, true);
  instance_client client(parsed.at("--url").asString());
  if (parsed.at("worker").asBool())
    return drain_worker(client, parsed.at("<worker>").asString(), parsed.at("--undo").asBool());
  const instance_answer answer = client.call(web::http::methods::POST, "/v1/drain");
  std::printf("%s", answer.body.c_str());
  return answer.reached ? k_done : k_unreachable;
}
} // namespace yardhill::cli
