// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include <boost/test/unit_test.hpp>

#include "Model/StoreModel.h"
#include "Model/VirtualTime.h"
#include "Node/PartitionOwner.h"

using namespace yardhill;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{
constexpr const char* k_partition = "cell";

// The store's model, after a millisecond; the test may swallow answers or turn calls away.
struct store_wire : http::request_sender
{
  explicit store_wire(model::virtual_time& clock) : time(clock), store(clock) {}

  void send(http::request call, common::duration, http::reply_handler done) override
  {
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
};

// Nobody answers: there are no workers, and the direct way to the store is bad when it is tried.
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
  adapter::store_client store{wire, metrics};
  node::peer_monitor peers{time,
                           "zone",
                           [](const std::string&, const common::peer_message&) {},
                           {[](const std::string&) {}, [](const std::string&) {}}};
  node::store_path path{time,
                        nobody,
                        {"10.0.0.1", 80},
                        {http::method::get, "/probe", {}, {}},
                        peers,
                        [](const std::string&, const common::peer_message&) {}};
  adapter::worker_client workers{nobody, metrics};
  adapter::advice_client advice_client{nobody, {}};
  node::advice_desk desk{time, advice_client};
  node::advice_pool advice{time, desk, [](const std::string&, const common::peer_message&) {}};
  std::map<std::string, scheduling::worker_info> entries;
  jobs::queue_table queues;
  common::time_point begin = time.now();
  node::partition_owner owner{{time, store, store, path, workers, advice, metrics,
                               [](const std::string&, const common::peer_message&) {}, entries,
                               queues},
                              {"instance-1", "life-1"},
                              k_partition,
                              {}};

  owner_under_test() { queues.version = 1; }

  void pass(milliseconds span)
  {
    const auto end = time.now() + span;
    while (time.now() < end)
    {
      time.run_until(time.now() + milliseconds{25});
      owner.tick(time.now(), begin);
    }
  }

  adapter::row owner_row()
  {
    adapter::row found;
    store.read({node::k_owners_table, k_partition, {}, {}, 1}, seconds{1},
               [&found](const adapter::rows_result& result) { found = result.rows.at(0); });
    time.run_until(time.now() + milliseconds{5});
    return found;
  }
};
} // namespace

BOOST_AUTO_TEST_SUITE(PartitionOwnerTest)

BOOST_FIXTURE_TEST_CASE(a_partition_without_an_owner_is_taken_and_kept, owner_under_test)
{
  pass(milliseconds{100});
  BOOST_TEST(owner.owns());
  pass(milliseconds{5000});
  BOOST_TEST(owner.owns());
}

// Explorer, seed 1337: an instance had given its partition back while its feed was behind. The
// feed then showed a renewal of that ownership, which was taken for a takeover that had got no
// answer; without any word of the store the instance went on as the owner, beside the next one.
BOOST_FIXTURE_TEST_CASE(an_old_row_of_an_ended_ownership_does_not_bring_it_back, owner_under_test)
{
  pass(milliseconds{2500});
  BOOST_TEST_REQUIRE(owner.owns());
  const adapter::row renewal = owner_row();
  BOOST_TEST(node::owner_row_from(renewal.value)->renewal > 0U);
  path.send_directly({http::method::get, "/probe", {}, {}}, seconds{1}, [](const http::reply&) {});
  BOOST_TEST_REQUIRE(path.bad_since().has_value());
  pass(milliseconds{2500});
  BOOST_TEST_REQUIRE(!owner.owns());
  owner.owner_row_changed(renewal);
  time.run_until(time.now() + milliseconds{200});
  BOOST_TEST(!owner.owns());
}

BOOST_FIXTURE_TEST_CASE(a_takeover_whose_answer_was_lost_is_known_by_its_row, owner_under_test)
{
  wire.lose_answers = true;
  pass(milliseconds{25});
  time.run_until(time.now() + milliseconds{5});
  wire.lose_answers = false;
  BOOST_TEST(!owner.owns());
  owner.owner_row_changed(owner_row());
  time.run_until(time.now() + milliseconds{100});
  BOOST_TEST(owner.owns());
}

BOOST_AUTO_TEST_SUITE_END()
