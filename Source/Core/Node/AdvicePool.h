// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Distributes calls to the advice service over the instances: the service answers only one call of
// an instance at a time, but calls of several instances concurrently.
//
// Some instances are reserved for short calls, so that short calls, for which somebody is waiting,
// never queue behind long ones.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Common/CallNumbers.h"
#include "Common/PeerMessages.h"
#include "Node/AdviceQueue.h"

namespace yardhill::node
{
class advice_pool
{
public:
  using sender = std::function<void(const std::string& peer, const common::peer_message&)>;

  advice_pool(common::timekeeper& time, common::call_numbers& numbers, advice_queue& own_queue,
              sender send);

  void ask(scheduling::advice_command command, advice_queue::answer_handler done);
  // How many calls the instances that are available at `now` take at once.
  scheduling::advice_slots slots(common::time_point now) const;

  // From now on the owners of other partitions send advice calls through the same peers. All owners
  // agree on which instances are reserved for short calls, and each owner prefers different ones.
  void share_with_other_owners(const std::string& own_name);

  void peer_linked(const std::string& peer);
  void peer_unlinked(const std::string& peer);
  // A peer asks this instance to call the advice service on the peer's behalf.
  void on_request(const std::string& peer, const common::advice_request& request);
  void on_reply(const std::string& peer, const common::advice_reply& reply);
  // Gives up calls whose replies from peers are overdue and sends each of them again.
  void tick(common::time_point now);

private:
  struct pending_request
  {
    scheduling::advice_command command;
    advice_queue::answer_handler done;
    common::time_point deadline;
  };

  struct instance
  {
    std::string peer;             // empty for this instance
    std::uint64_t rank = 0;       // position in the order on which all owners agree
    std::uint64_t preference = 0; // for this owner; the lower value is preferred
    std::chrono::milliseconds backlog{0};
    common::time_point avoid_until{}; // set after an overdue reply
  };

  void insert_by_rank(instance each);
  // How many instances, from the front of m_instances on, are reserved for short calls.
  std::size_t reserved_for_short() const;
  instance& choose_instance(std::chrono::milliseconds expected);
  void ask_directly(instance& self, scheduling::advice_command command,
                    advice_queue::answer_handler done);
  // Called once a call to the peer, with this expected time, was answered or given up.
  void subtract_backlog(const std::string& peer, std::chrono::milliseconds expected);

  common::timekeeper& m_time;
  common::call_numbers& m_numbers;
  advice_queue& m_own_queue;
  sender m_send;
  std::vector<instance> m_instances; // by rank; without ranks this instance is the first
  std::map<std::string, std::map<std::uint64_t, pending_request>> m_pending; // by peer
  std::optional<std::string> m_own_name; // set once other owners ask as well
};
} // namespace yardhill::node
