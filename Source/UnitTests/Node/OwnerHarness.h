// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// A partition owner under test, on the store model in virtual time.

#include <map>
#include <memory>
#include <string>
#include <utility>

#include "Model/StoreModel.h"
#include "Model/VirtualTime.h"
#include "Node/PartitionOwner.h"

namespace yardhill::node
{
using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr const char* k_partition = "cell";

// A store model with a latency of a millisecond; a test may drop replies or reject calls.
struct store_wire : http::request_sender
{
  explicit store_wire(model::virtual_time& clock) : time(clock), store(clock) {}

  void send(http::request call, common::duration, http::reply_handler done) override
  {
    ++calls;
    if ((turn_away || refuse) && call.verb == http::method::post)
    {
      const unsigned status = turn_away ? 503 : 400;
      time.schedule(milliseconds{1},
                    [status, done = std::move(done)] {
                      done({status, {}, {}, false});
                    });
      return;
    }
    const bool lost = lose_answers && call.verb == http::method::post;
    time.schedule(milliseconds{1},
                  [this, call = std::move(call), done = std::move(done), lost]
                  {
                    store.handle(call,
                                 [done, lost](const http::reply& reply) {
                                   done(lost ? http::reply{0, {}, "lost", false} : reply);
                                 });
                  });
  }

  model::virtual_time& time;
  model::store_model store;
  bool lose_answers = false;
  bool turn_away = false; // rejects writes without carrying them out
  bool refuse = false;    // the same, as invalid
  unsigned calls = 0;
};

// No call is answered: there are no workers, and direct calls to the store fail.
struct silent_wire : http::peer_sender
{
  void send(const common::endpoint&, http::request, common::duration,
            http::reply_handler done) override
  {
    done({0, {}, "reset", false});
  }
};

struct owner_under_test
{
  model::virtual_time time;
  common::metrics metrics;
  store_wire wire{time};
  silent_wire nobody;
  store_clock clock{time};
  adapter::store_client store{wire, metrics, &clock};
  peer_monitor peers{time,
                     {"self", "zone"},
                     [](const std::string&, const common::peer_message&) {},
                     {[](const std::string&) {}, [](const std::string&) {}}};
  common::call_numbers call_numbers{"life-1"};
  store_path path{time,
                  call_numbers,
                  nobody,
                  {"10.0.0.1", 80},
                  {http::method::get, "/probe", {}, {}},
                  peers,
                  [](const std::string&, const common::peer_message&) {}};
  adapter::worker_client workers{time, nobody, metrics};
  adapter::advice_client advice_client{nobody, {}};
  advice_queue desk{time, advice_client};
  advice_pool advice{time, call_numbers, desk,
                     [](const std::string&, const common::peer_message&) {}};
  std::map<std::string, scheduling::worker_info> entries;
  bool entries_known = true;
  known_capacities capacities;
  loop_monitor loop;
  jobs::queue_table queues;
  cell_layout layout{1};
  std::uint32_t processor_millis = 1000;
  std::uint32_t strongest_peer = 0;
  common::time_point begin = time.now();
  partition_owner owner{parts(), {"instance-1", "life-1"}, k_partition, {}};

  owner_under_test() { queues.version = 1; }

  owner_dependencies parts()
  {
    return {time,
            store,
            store,
            path,
            clock,
            workers,
            advice,
            metrics,
            [](const std::string&, const common::peer_message&) {},
            entries,
            [this] { return entries_known; },
            capacities,
            loop,
            queues,
            layout,
            [this](const std::string&) { return processor_millis; },
            [this] { return strongest_peer; }};
  }

  // Another instance beside the owner above, which is then left unused.
  std::unique_ptr<partition_owner> another(const instance_identity& who)
  {
    return std::make_unique<partition_owner>(parts(), who, k_partition, ownership_options{});
  }

  void pass(milliseconds span) { pass(owner, span); }

  void pass(partition_owner& which, milliseconds span)
  {
    const auto end = time.now() + span;
    while (time.now() < end)
    {
      time.run_until(time.now() + milliseconds{25});
      which.tick(time.now(), begin);
    }
  }

  adapter::row owner_row()
  {
    adapter::row found;
    store.read({k_owners_table, k_partition, {}, {}, 1}, seconds{1},
               [&found](const adapter::rows_result& result) { found = result.rows.at(0); });
    time.run_until(time.now() + milliseconds{5});
    return found;
  }
};
} // namespace yardhill::node
