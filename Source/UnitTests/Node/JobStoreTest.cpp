// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <deque>
#include <optional>

#include <boost/test/unit_test.hpp>

#include "Model/StoreModel.h"
#include "Model/VirtualTime.h"
#include "Node/JobStore.h"

using namespace yardhill;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
enum class fate
{
  answered,
  answer_lost,
  lost,
  turned_away
};

// The store's model; what becomes of each call is told beforehand, after that all are answered.
struct fated_store : http::request_sender
{
  explicit fated_store(model::virtual_time& time) : store(time) {}

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
    case fate::turned_away:
      done({503, {}, {}, false});
    }
  }

  model::store_model store;
  std::deque<fate> fates;
  int calls = 0;
};

struct accepting
{
  model::virtual_time time;
  common::metrics metrics;
  fated_store wire{time};
  adapter::store_client client{wire, metrics};
  node::job_store jobs{time, client};
  std::optional<node::accept_result> got;

  void accept(std::deque<fate> fates)
  {
    wire.fates = std::move(fates);
    jobs::accepted_job job;
    job.id = "0123456789abcdef";
    job.queue = "queue";
    job.home = "cell";
    job.spec.steps.emplace_back();
    jobs.accept(job, time.now() + seconds{3},
                [this](const node::accept_result& result) { got = result; });
    time.run_until(time.now() + seconds{4});
    BOOST_TEST_REQUIRE(got.has_value());
  }

  bool kept()
  {
    bool found = false;
    jobs.find("0123456789abcdef", seconds{1},
              [&found](const node::found_job& job) { found = job.job.has_value(); });
    time.run_until(time.now() + seconds{1});
    return found;
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(JobStoreTest)

BOOST_FIXTURE_TEST_CASE(a_write_that_was_lost_is_refused_once_it_can_happen_no_more, accepting)
{
  accept({fate::lost});
  BOOST_TEST((got->end == node::accept_end::refused));
  BOOST_TEST(wire.calls == 2);
  BOOST_TEST(!kept());
}

BOOST_FIXTURE_TEST_CASE(a_write_whose_answer_was_lost_is_found_again, accepting)
{
  accept({fate::answer_lost});
  BOOST_TEST((got->end == node::accept_end::accepted));
  BOOST_TEST(got->first); // so that the owner is told
}

// Explorer, seeds 75 and 109, on a trial: the first copy had been done, the others were turned
// away, and the caller was told that the job is not kept.
BOOST_FIXTURE_TEST_CASE(a_refusal_is_settled_if_an_earlier_copy_may_be_done, accepting)
{
  accept({fate::answer_lost, fate::turned_away, fate::turned_away, fate::turned_away,
          fate::turned_away, fate::turned_away});
  BOOST_TEST((got->end != node::accept_end::refused || !kept()));
  BOOST_TEST((got->end == node::accept_end::accepted));
}

BOOST_FIXTURE_TEST_CASE(calls_that_were_all_turned_away_are_a_true_refusal, accepting)
{
  accept({fate::turned_away, fate::turned_away, fate::turned_away, fate::turned_away});
  BOOST_TEST((got->end == node::accept_end::refused));
  BOOST_TEST(wire.calls == 4);
  BOOST_TEST(!kept());
}

BOOST_AUTO_TEST_SUITE_END()
