// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// yardhill submit, status and cancel: run, show and cancel a single task.

#include <cstdio>

#include <docopt/docopt.h>

#include "Yardhill/Files.h"
#include "Yardhill/InstanceClient.h"
#include "Yardhill/Subcommands.h"

namespace yardhill::cli
{
namespace
{
using nlohmann::json;
using web::http::methods;

constexpr const char* k_submit_usage = R"(Run a task of a declared workload.

Usage:
  yardhill submit --url URL --workload NAME [--key KEY] [--payload TEXT | --payload-file FILE]
                  [--deadline SPAN] [--not-repeatable] [--no-wait] [--json]

Options:
  --url URL            an instance's HTTP address
  --workload NAME      the declared workload
  --key KEY            the same key again gives the same task's answer; never a second run
  --payload TEXT       handed to the worker as it is
  --payload-file FILE  the same, from a file
  --deadline SPAN      give up after, such as 5s; else as the workload says
  --not-repeatable     run at most once, whatever happens
  --no-wait            return once the task is accepted
  --json               print outcome and headers as JSON instead of the result's bytes

Exit codes: 0 done or accepted; 1 refused, failed or cancelled; 3 not reached, or unknown.
)";

constexpr const char* k_status_usage = R"(Show a task, or an instance with its partitions and peers.

Usage:
  yardhill status --url URL [<task>]

A task is named WORKLOAD/KEY.
)";

constexpr const char* k_cancel_usage = R"(Cancel a task.

Usage:
  yardhill cancel --url URL <task>

Exit codes: 0 cancelled; 1 it had ended otherwise, or is not known; 3 not reached, or unknown.
)";

constexpr int k_accepted_status = 202;
constexpr int k_gone_status = 410;
constexpr int k_unknown_status = 504;

int exit_code_of(const instance_answer& answer)
{
  if (!answer.reached || answer.status == k_unknown_status)
    return k_unreachable;
  return answer.ok() || answer.status == k_accepted_status ? k_done : k_refused;
}

void print_bytes(const std::string& bytes)
{
  std::fwrite(bytes.data(), 1, bytes.size(), stdout);
}

void print_as_json(const instance_answer& answer)
{
  json out{{"status", answer.status}, {"bytes", answer.body.size()}};
  for (const auto& [name, value] : answer.headers)
  {
    if (name.starts_with("Yardhill-") || name == "Retry-After")
      out[name] = value;
  }
  if (!answer.ok())
    out["error"] = json::parse(answer.body, nullptr, false);
  std::printf("%s\n", out.dump(2, ' ', false, json::error_handler_t::replace).c_str());
}
} // namespace

int submit(const arguments& args)
{
  const auto parsed = docopt::docopt(k_submit_usage, args, true);
  json request{{"workload", parsed.at("--workload").asString()},
               {"wait", !parsed.at("--no-wait").asBool()}};
  if (parsed.at("--key"))
    request["key"] = parsed.at("--key").asString();
  if (parsed.at("--payload"))
    request["payload"] = parsed.at("--payload").asString();
  if (parsed.at("--payload-file"))
    request["payload"] = read_file(parsed.at("--payload-file").asString()).text;
  if (parsed.at("--deadline"))
    request["deadline"] = parsed.at("--deadline").asString();
  if (parsed.at("--not-repeatable").asBool())
    request["repeatable"] = false;
  instance_client client(parsed.at("--url").asString());
  const instance_answer answer = client.call(methods::POST, "/v1/tasks", request.dump());
  if (parsed.at("--json").asBool())
    print_as_json(answer);
  else
    print_bytes(answer.body);
  return exit_code_of(answer);
}

int status(const arguments& args)
{
  const auto parsed = docopt::docopt(k_status_usage, args, true);
  instance_client client(parsed.at("--url").asString());
  const bool names_task = static_cast<bool>(parsed.at("<task>"));
  const std::string path =
      names_task ? "/v1/tasks/" + parsed.at("<task>").asString() : std::string("/v1/status");
  const instance_answer answer = client.call(methods::GET, path);
  if (names_task)
    print_as_json(answer);
  else
    print_bytes(answer.body);
  return exit_code_of(answer);
}

int cancel(const arguments& args)
{
  const auto parsed = docopt::docopt(k_cancel_usage, args, true);
  instance_client client(parsed.at("--url").asString());
  const instance_answer answer =
      client.call(methods::DEL, "/v1/tasks/" + parsed.at("<task>").asString());
  print_as_json(answer);
  if (answer.reached && answer.status == k_gone_status)
    return k_done;
  return answer.ok() ? k_refused : std::max(exit_code_of(answer), k_refused);
}
} // namespace yardhill::cli
