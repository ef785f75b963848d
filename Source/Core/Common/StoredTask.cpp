// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Common/StoredTask.h"

#include "Common/Json.h"

namespace yardhill::common
{
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(stored_intent, attempt, worker, boot)

std::string to_json_text(const stored_task& task)
{
  json out;
  out["spec"] = task.spec;
  if (task.intent)
    out["intent"] = *task.intent;
  if (!task.body_object.empty())
    out["body_object"] = task.body_object;
  if (task.final_answer)
  {
    out["answer"] = *task.final_answer;
    out["answer"]["body"] = to_base64(task.final_answer->body);
  }
  return out.dump();
}

stored_task stored_task_from(const std::string& text)
{
  const json in = json::parse(text);
  stored_task task;
  in.at("spec").get_to(task.spec);
  if (in.contains("intent"))
    task.intent = in["intent"].get<stored_intent>();
  task.body_object = in.value("body_object", "");
  if (in.contains("answer"))
  {
    task.final_answer = in["answer"].get<answer>();
    task.final_answer->body = from_base64(task.final_answer->body);
  }
  return task;
}
} // namespace yardhill::common
