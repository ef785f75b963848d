// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// yardhill apply, diff and config: change, compare and show the cell's declared configuration.

#include <cstdio>
#include <random>

#include <docopt/docopt.h>

#include "Common/ConfigParser.h"
#include "Common/FieldReader.h"
#include "Yardhill/ConfigCommands.h"
#include "Yardhill/Files.h"
#include "Yardhill/Subcommands.h"

namespace yardhill::cli
{
namespace
{
using nlohmann::json;

constexpr const char* k_apply_usage = R"(Put a set of files into force, as a whole or not at all.

Usage:
  yardhill apply --url URL [--base VERSION] [--apply-id ID] [--json] <file>...

Options:
  --url URL       an instance's HTTP address, such as http://127.0.0.1:18080
  --base VERSION  the version that the files were made from; a later one in force is a conflict.
                  Without it, the version in force when the command starts.
  --apply-id ID   names this apply; the same id again settles one whose answer was lost
  --json          print the answer as JSON

Exit codes: 0 in force; 1 conflict, with the fields that differ; 2 mistakes in the files;
3 not reached, or it is unknown whether it was applied.
)";

constexpr const char* k_diff_usage = R"(Show what applying a set of files would change.

Usage:
  yardhill diff --url URL <file>...

Exit codes: 0 nothing would change; 1 the printed fields would; 2 mistakes in the files.
)";

constexpr const char* k_config_usage = R"(Show the configuration in force.

Usage:
  yardhill config --url URL [--version-only]

Options:
  --version-only  print only the version's number
)";

constexpr const char* k_drained = "drained";
constexpr std::size_t k_id_digits = 16;

// Merges the files into one document. The list of drained workers is taken over from the
// configuration in force unless the files have their own, so that workers drained by command stay
// drained.
std::string merged_document(const std::vector<common::loaded_file>& files, const json& in_force)
{
  json document = json::parse(common::merge_documents(files));
  const json current = json::parse(in_force.value("document", ""), nullptr, false);
  if (!document.contains(k_drained) && current.is_object() && current.contains(k_drained))
    document[k_drained] = current[k_drained];
  return document.dump();
}

bool validate_files(const std::vector<common::loaded_file>& files)
{
  common::problem_list problems;
  if (common::parse_cell_config(files, problems))
    return true;
  print_problems(problems);
  return false;
}
} // namespace

std::string new_apply_id()
{
  std::random_device device;
  std::string id;
  while (id.size() < k_id_digits)
    id += "0123456789abcdef"[device() % 16];
  return id;
}

int put_config(instance_client& client, std::uint64_t base, const std::string& apply_id,
               const std::string& document, bool as_json)
{
  const json request{{"base", base}, {"apply_id", apply_id}, {"document", document}};
  const instance_answer answer = client.call(web::http::methods::PUT, "/v1/config", request.dump());
  if (!answer.reached)
    return k_unreachable;
  const json reply = json::parse(answer.body, nullptr, false);
  if (as_json || reply.is_discarded())
  {
    std::printf("%s", answer.body.c_str());
  }
  else
  {
    const std::string detail = reply.value("detail", "");
    std::printf("%s: version %llu is in force%s%s\n", reply.value("code", "").c_str(),
                static_cast<unsigned long long>(reply.value("version", std::uint64_t{0})),
                detail.empty() ? "" : "; ", detail.c_str());
    for (const json& problem : reply.value("problems", json::array()))
      std::printf("  %s\n", problem.get<std::string>().c_str());
  }
  constexpr int conflict = 409;
  constexpr int invalid = 400;
  if (answer.ok())
    return k_done;
  if (answer.status == conflict)
    return k_refused;
  return answer.status == invalid ? k_wrong_usage : k_unreachable;
}

int apply(const arguments& args)
{
  const auto parsed = docopt::docopt(k_apply_usage, args, true);
  const auto files = read_files(parsed.at("<file>").asStringList());
  if (!validate_files(files))
    return k_wrong_usage;
  instance_client client(parsed.at("--url").asString());
  const json in_force = fetch_config(client);
  std::uint64_t base = in_force.at("version").get<std::uint64_t>();
  if (parsed.at("--base"))
    base = std::stoull(parsed.at("--base").asString());
  const std::string apply_id =
      parsed.at("--apply-id") ? parsed.at("--apply-id").asString() : new_apply_id();
  return put_config(client, base, apply_id, merged_document(files, in_force),
                    parsed.at("--json").asBool());
}

int diff(const arguments& args)
{
  const auto parsed = docopt::docopt(k_diff_usage, args, true);
  const auto files = read_files(parsed.at("<file>").asStringList());
  if (!validate_files(files))
    return k_wrong_usage;
  instance_client client(parsed.at("--url").asString());
  const json in_force = fetch_config(client);
  const std::vector<std::string> fields =
      common::differing_fields(in_force.value("document", ""), merged_document(files, in_force));
  for (const std::string& field : fields)
    std::printf("%s\n", field.c_str());
  return fields.empty() ? k_done : k_refused;
}

int config(const arguments& args)
{
  const auto parsed = docopt::docopt(k_config_usage, args, true);
  instance_client client(parsed.at("--url").asString());
  const json in_force = fetch_config(client);
  if (parsed.at("--version-only").asBool())
  {
    std::printf("%s\n", in_force.at("version").dump().c_str());
    return k_done;
  }
  const json document = json::parse(in_force.value("document", ""), nullptr, false);
  std::printf("// version %s\n%s\n", in_force.at("version").dump().c_str(),
              document.is_discarded() ? "{}" : document.dump(2).c_str());
  return k_done;
}
} // namespace yardhill::cli
