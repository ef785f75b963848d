// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#pragma once

// Submits a job to the store model, with a given outcome for each call.

#include <deque>
#include <functional>
#include <optional>
#include <utility>

#include <boost/test/unit_test.hpp>

#include "Common/Json.h"
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
  timed_out, // lost, which is known only after the call's timeout
  held,      // not carried out before carry_out_held(), and never answered
  turned_away,
  invalid // rejected with status 400
};

// A store model that applies the next of `fates` to each call. When none is left, calls are
// answered, except that `job_writes` applies to writes of a job's row other than refusal marks.
struct scripted_store : http::request_sender
{
  explicit scripted_store(model::virtual_time& clock) : time(clock), store(clock) {}

  void send(http::request call, common::duration timeout, http::reply_handler done) override
  {
    ++calls;
    fate next = fate::answered;
    if (!fates.empty())
    {
      next = fates.front();
      fates.pop_front();
    }
    else if (call.verb == http::method::post && !is_mark(call))
    {
      next = job_writes;
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
    case fate::timed_out:
      time.schedule(timeout, [done] { done({0, {}, "no answer in time", false}); });
      return;
    case fate::held:
      held.push_back(std::move(call));
      done({0, {}, "no answer in time", false});
      return;
    case fate::turned_away:
      done({503, {}, {}, false});
      return;
    case fate::invalid:
      done({400, {}, {}, false});
    }
  }

  static bool is_mark(const http::request& call)
  {
    return call.body.find('"' + common::to_base64("refused") + '"') != std::string::npos;
  }

  void carry_out_held()
  {
    for (const http::request& each : std::exchange(held, {}))
      store.handle(each, [](const http::reply&) {});
  }

  model::virtual_time& time;
  model::store_model store;
  std::deque<fate> fates;
  fate job_writes = fate::answered;
  std::deque<http::request> held;
  int calls = 0;
};

struct accepting
{
  model::virtual_time time;
  common::metrics metrics;
  scripted_store wire{time};
  adapter::store_client client{wire, metrics};
  job_store jobs{time, client, client, metrics};
  std::optional<accept_result> got;
  std::string home = "cell";

  // The timeout of a caller that leaves time for one write and the refusal mark, but not for a
  // second write.
  static constexpr std::chrono::milliseconds k_one_write{350};

  void accept(std::deque<fate> fates, std::chrono::milliseconds timeout = std::chrono::seconds{3})
  {
    got.reset();
    wire.fates = std::move(fates);
    submit([this](const accept_result& result) { got = result; }, timeout);
    time.run_until(time.now() + std::chrono::seconds{4});
    BOOST_TEST_REQUIRE(got.has_value());
  }

  void submit(std::function<void(const accept_result&)> done,
              std::chrono::milliseconds timeout = std::chrono::seconds{3})
  {
    jobs::accepted_job job;
    job.id = "0123456789abcdef";
    job.queue = "queue";
    job.home = home;
    job.spec.steps.emplace_back();
    jobs.accept(job, 0, jobs.newest_known_version(), time.now() + timeout, std::move(done));
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
