// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <boost/test/unit_test.hpp>

#include "Model/StoreModel.h"
#include "Model/VirtualTime.h"
#include "Node/CommitWriter.h"

using namespace yardhill;
using std::chrono::milliseconds;

namespace
{
// A store model whose replies a test may drop.
struct lossy_store : http::request_sender
{
  explicit lossy_store(model::virtual_time& time) : store(time) {}

  void send(http::request call, common::duration, http::reply_handler done) override
  {
    ++calls;
    if (!lose_answers)
      store.handle(call, std::move(done));
    else
      store.handle(call, [done](const http::reply&) { done({0, {}, "lost", false}); });
  }

  model::store_model store;
  bool lose_answers = false;
  int calls = 0;
};

struct writer_under_test
{
  model::virtual_time time;
  common::metrics metrics;
  lossy_store wire{time};
  adapter::store_client client{wire, metrics};
  int written = 0;
  int replaced = 0;
  int refused = 0;
  common::time_point latest_sent{}; // when the latest commit was sent
  node::store_clock clock{time};
  node::commit_writer writer{time,
                             client,
                             clock,
                             metrics,
                             "cell",
                             "life-1",
                             {[this](const node::written_commit& commit)
                              {
                                ++written;
                                latest_sent = commit.sent;
                              },
                              [this](const adapter::row&) { ++replaced; },
                              [this](const scheduling::commit_batch&) { ++refused; }}};

  writer_under_test()
  {
    own("life-1");
    writer.begin({1, 0, 0});
  }

  void own(const std::string& life)
  {
    node::owner_row row;
    row.holder = "instance";
    row.life = life;
    wire.store.put(node::owner_key("cell"), node::to_row_text(row));
  }

  void write()
  {
    scheduling::commit_batch batch;
    batch.rows["job"] = "progress";
    writer.write(std::move(batch), std::nullopt);
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(CommitWriterTest)

BOOST_FIXTURE_TEST_CASE(commits_follow_each_other, writer_under_test)
{
  write();
  write();
  BOOST_TEST(written == 2);
  BOOST_TEST(!writer.busy());
}

BOOST_FIXTURE_TEST_CASE(a_commit_whose_answer_was_lost_counts_once_it_is_found, writer_under_test)
{
  wire.lose_answers = true;
  write();
  BOOST_TEST(writer.has_in_flight("job"));
  wire.lose_answers = false;
  time.run_until(time.now() + milliseconds{300});
  BOOST_TEST(written == 1);
  BOOST_TEST(replaced == 0);
  BOOST_TEST(wire.calls == 2);
}

// Other instances count this ownership from the copy that was carried out; a later copy only finds
// it done.
BOOST_FIXTURE_TEST_CASE(a_commit_found_done_counts_from_its_first_copy, writer_under_test)
{
  const auto first = time.now();
  wire.lose_answers = true;
  write();
  wire.lose_answers = false;
  time.run_until(time.now() + milliseconds{300});
  BOOST_TEST_REQUIRE(written == 1);
  BOOST_TEST((latest_sent == first));
}

// A copy was carried out, and then another instance took over: the reply must not confirm this
// ownership.
BOOST_FIXTURE_TEST_CASE(a_commit_found_done_does_not_confirm_an_owner_replaced_since,
                        writer_under_test)
{
  wire.lose_answers = true;
  write();
  wire.lose_answers = false;
  own("life-2");
  time.run_until(time.now() + milliseconds{300});
  BOOST_TEST(written == 0);
  BOOST_TEST(replaced == 1);
}

BOOST_FIXTURE_TEST_CASE(an_owner_that_was_replaced_writes_nothing, writer_under_test)
{
  own("life-2");
  write();
  BOOST_TEST(written == 0);
  BOOST_TEST(replaced == 1);
}

// Guards against repeating for ever a commit that the store refuses as invalid.
BOOST_FIXTURE_TEST_CASE(a_commit_that_the_store_refuses_is_given_back, writer_under_test)
{
  wire.store.refuse_row({node::k_progress_table, "cell", "job"});
  write();
  BOOST_TEST(refused == 1);
  BOOST_TEST(!writer.busy());
  time.run_until(time.now() + std::chrono::seconds{1});
  BOOST_TEST(wire.calls == 1);
  BOOST_TEST(written == 0);
}

// Guards against taking an earlier commit, which was carried out without a reply and then refused,
// for the next one.
BOOST_FIXTURE_TEST_CASE(the_commit_after_a_refused_one_is_written_itself, writer_under_test)
{
  wire.lose_answers = true;
  write();
  wire.lose_answers = false;
  wire.store.refuse_row({node::k_progress_table, "cell", "job"});
  time.run_until(time.now() + std::chrono::seconds{1});
  BOOST_TEST_REQUIRE(refused == 1);
  scheduling::commit_batch batch;
  batch.rows["other"] = "progress";
  writer.write(std::move(batch), std::nullopt);
  time.run_until(time.now() + std::chrono::seconds{1});
  BOOST_TEST(written == 1);
  BOOST_TEST(wire.store.value({node::k_progress_table, "cell", "other"}).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
