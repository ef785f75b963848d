// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Changes of workspaces: keys that are revoked and limits that change, also while an instance
// cannot see the change.

#include "Model/CellFaults.h"

#include <array>

#include "Common/EventLog.h"

namespace yardhill::model
{
namespace
{
using std::chrono::milliseconds;

constexpr std::uint64_t k_min_changes = 2;
constexpr std::uint64_t k_max_further_changes = 5;
constexpr milliseconds k_first_change{2000};
constexpr milliseconds k_last_change{18000};
} // namespace

void cell_faults::draw_workspace_changes(std::uint64_t seed)
{
  m_workspace_random.seed(seed);
  const std::uint64_t count = k_min_changes + m_workspace_random() % k_max_further_changes;
  for (std::uint64_t i = 0; i < count; ++i)
    m_cell.time().schedule(draw_workspace_time(k_first_change, k_last_change),
                           [this] { inject_random_workspace_change(); });
}

duration cell_faults::draw_workspace_time(milliseconds least, milliseconds most)
{
  const auto range = static_cast<std::uint64_t>((most - least).count());
  return least + milliseconds(static_cast<std::int64_t>(m_workspace_random() % range));
}

std::string cell_faults::draw_workspace()
{
  const std::vector<std::string> names = m_cell.workspaces()->names();
  return names[m_workspace_random() % names.size()];
}

void cell_faults::inject_random_workspace_change()
{
  using kind = void (cell_faults::*)();
  static constexpr std::array<kind, 5> k_kinds{
      &cell_faults::revoke_key, &cell_faults::revoke_workspace, &cell_faults::revoke_while_isolated,
      &cell_faults::lower_limit, &cell_faults::raise_limit};
  (this->*k_kinds[m_workspace_random() % k_kinds.size()])();
}

// Callers and workers are not disturbed by a change of the configuration, so none is recorded.
void cell_faults::apply_workspace_change(const std::string& description)
{
  const auto at = std::chrono::duration_cast<milliseconds>(m_cell.time().now() - m_cell.begin());
  m_descriptions.push_back(std::to_string(at.count()) + " ms: " + description);
  common::log_process("trouble", {{"what", description}});
  m_cell.reconfigure();
}

void cell_faults::revoke_key()
{
  m_cell.workspaces()->revoke_random_key();
  apply_workspace_change("a key is revoked");
  restore_keys_later();
}

void cell_faults::revoke_workspace()
{
  const std::string name = draw_workspace();
  m_cell.workspaces()->revoke_all_keys(name);
  apply_workspace_change("all keys of " + name + " are revoked");
  restore_keys_later();
}

void cell_faults::restore_keys_later()
{
  m_cell.time().schedule(draw_workspace_time(milliseconds(500), milliseconds(9000)),
                         [this]
                         {
                           m_cell.workspaces()->add_missing_keys();
                           apply_workspace_change("new keys replace the revoked ones");
                         });
}

void cell_faults::revoke_while_isolated()
{
  explored_instance& isolated =
      m_cell.instances()[m_workspace_random() % m_cell.instances().size()];
  record_fault(isolated.name + " does not reach the store while keys are revoked");
  cut_links_for({{isolated.name, "store"}},
                draw_workspace_time(milliseconds(1000), milliseconds(9000)));
  m_cell.time().schedule(draw_workspace_time(milliseconds(1), milliseconds(900)),
                         [this] { revoke_workspace(); });
}

void cell_faults::lower_limit()
{
  const std::string name = draw_workspace();
  m_cell.workspaces()->scale_limit(name, 0.1 * static_cast<double>(1 + m_workspace_random() % 6));
  apply_workspace_change("the limit of " + name + " is lowered");
  m_cell.time().schedule(draw_workspace_time(milliseconds(1000), milliseconds(12000)),
                         [this, name]
                         {
                           m_cell.workspaces()->scale_limit(name, 1.0);
                           apply_workspace_change("the limit of " + name + " is as before");
                         });
}

void cell_faults::raise_limit()
{
  const std::string name = draw_workspace();
  m_cell.workspaces()->scale_limit(name, 2.0);
  apply_workspace_change("the limit of " + name + " is raised");
}
} // namespace yardhill::model
