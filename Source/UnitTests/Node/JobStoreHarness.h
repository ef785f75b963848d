// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Submits a job to the store model, with a given outcome for each call.

#include <deque>
#include <functional>
#include <optional>
#include <utility>

#include <boost/test/unit_test.hpp>

#include "Model/StoreModel.h"
#include "Model/VirtualTime.h"
#include "Node/JobStore.h"

namespace yardhill::node
{
enum class fate
{
  answered,
  answer_lost,
  lost,
  held, // not carried out before carry_out_held(), and never answered
  turned_away
};

// A store model that applies the next of `fates` to each call; when none is left, calls are
// answered.
struct scripted_store : http::request_sender
{
  explicit scripted_store(model::virtual_time& time) : store(time) {}

  void send(http::request call, common::duration, http::reply_handler done) override
  {
    ++calls;
    fate next = fate::answered;
    if (!fates.empty())
    {
      next = fates.front();
      fates.pop_front();
    }
    switch (next)
    {
    case fate::answered:
      store.handle(call, std::move(done));
      return;
    case fate::answer_lost:
      store.handle(call, [done](const http::reply&) { done({0, {}, "lost", false}); });
      return;
    case fate::lost:
      done({0, {}, "lost", false});
      return;
    case fate::held:
      held.push_back(std::move(call));
      done({0, {}, "no answer in time", false});
      return;
    case fate::turned_away:
      done({503, {}, {}, false});
    }
  }

  void carry_out_held()
  {
    for (const http::request& each : std::exchange(held, {}))
      store.handle(each, [](const http::reply&) {});
  }

  model::store_model store;
  std::deque<fate> fates;
  std::deque<http::request> held;
  int calls = 0;
};

struct accepting
{
  model::virtual_time time;
  common::metrics metrics;
  scripted_store wire{time};
  adapter::store_client client{wire, metrics};
  job_store jobs{time, client, client};
  std::optional<accept_result> got;
  std::string home = "cell";

  void accept(std::deque<fate> fates)
  {
    got.reset();
    wire.fates = std::move(fates);
    submit([this](const accept_result& result) { got = result; });
    time.run_until(time.now() + std::chrono::seconds{4});
    BOOST_TEST_REQUIRE(got.has_value());
  }

  void submit(std::function<void(const accept_result&)> done)
  {
    jobs::accepted_job job;
    job.id = "0123456789abcdef";
    job.queue = "queue";
    job.home = home;
    job.spec.steps.emplace_back();
    jobs.accept(job, jobs.newest_known_version(), time.now() + std::chrono::seconds{3},
                std::move(done));
  }

  bool kept()
  {
    bool found = false;
    jobs.find("0123456789abcdef", std::chrono::seconds{1},
              [&found](const found_job& job) { found = job.job.has_value(); });
    time.run_until(time.now() + std::chrono::seconds{1});
    return found;
  }
};
} // namespace yardhill::node
