// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Spreads calls for advice over the instances, since the service answers one call of an instance at
// a time but those of several at once.
//
// Some instances are kept free of long calls, so that short ones, for which somebody waits, never
// stand behind them.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Common/PeerMessages.h"
#include "Node/AdviceQueue.h"

namespace yardhill::node
{
class advice_pool
{
public:
  using sender = std::function<void(const std::string& peer, const common::peer_message&)>;

  advice_pool(common::timekeeper& time, advice_queue& own, sender send);

  void ask(scheduling::advice_command question, advice_queue::answer_handler done);
  // What the instances that can be asked now take at once.
  scheduling::advice_slots slots(common::time_point now) const;

  // Other instances ask for advice through the same peers. They agree on which ones are kept free
  // of long calls, and each prefers others of them.
  void share_with_other_owners(const std::string& own_name);

  void peer_linked(const std::string& peer);
  void peer_unlinked(const std::string& peer);
  // A peer asks for our help.
  void on_request(const std::string& peer, const common::advice_request& request);
  void on_reply(const std::string& peer, const common::advice_reply& reply);
  // Gives up calls whose answers are overdue.
  void tick(common::time_point now);

private:
  struct outstanding
  {
    scheduling::advice_command question;
    advice_queue::answer_handler done;
    common::time_point overdue;
  };

  struct helper
  {
    std::string peer;             // empty: this instance
    std::uint64_t rank = 0;       // in the order that owners share
    std::uint64_t preference = 0; // of this instance, lower first
    std::chrono::milliseconds backlog{0};
    common::time_point avoid_until{}; // after an overdue answer
  };

  void place(helper each);
  // How many of the helpers, from the first on, are kept free of long calls.
  std::size_t kept_free() const;
  helper& choose(std::chrono::milliseconds expected);
  void ask_own(helper& self, scheduling::advice_command question,
               advice_queue::answer_handler done);
  void settle(const std::string& peer, std::chrono::milliseconds expected);

  common::timekeeper& m_time;
  advice_queue& m_own;
  sender m_send;
  std::vector<helper> m_helpers;                                       // the first is this instance
  std::map<std::string, std::map<std::uint64_t, outstanding>> m_asked; // by peer
  std::optional<std::string> m_own_name;                               // once others ask as well
  std::uint64_t m_number = 0;
};
} // namespace yardhill::node
