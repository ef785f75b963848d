// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Tests the rows of a partition: lost replies, stale owners, keys stored already, malformed rows.

#include <boost/test/unit_test.hpp>

#include "Ownership/PartitionStore.h"
#include "Replay/TableModel.h"

using namespace yardhill::ownership;
using yardhill::replay::table_model;

namespace
{
// Partition stores on a simulated table that answers each call at once.
struct fixture
{
  ownership_options options;
  metrics counts;
  table_model table{{1e9, 1e9}};
  time_point now{std::chrono::seconds{1}};

  partition_store make_store(const std::string& name)
  {
    return {{zone_id{"a"}, 0}, instance_id{name}, options, counts};
  }

  // Runs the store for 200 rounds of 20 ms, which lets it finish all calls that it can make, and
  // returns its collected output. With `lose_write_replies` the replies to successful writes are
  // lost.
  partition_store_output run_store(partition_store& store, bool lose_write_replies = false)
  {
    partition_store_output all;
    for (int round = 0; round < 200; ++round)
    {
      now += std::chrono::milliseconds{20};
      store.advance(now);
      partition_store_output out = store.take_output();
      collect(all, out);
      while (out.call)
      {
        answer_call(store, *out.call, lose_write_replies);
        out = store.take_output();
        collect(all, out);
      }
    }
    return all;
  }

  void answer_call(partition_store& store, const store_call& call, bool lose_write_reply)
  {
    if (const auto* read = std::get_if<store_read>(&call))
      store.read_answered(table.read(*read, now), now);
    else if (const auto* get = std::get_if<object_get>(&call))
      store.read_answered(table.get(*get), now);
    else if (const auto* put = std::get_if<object_put>(&call))
      store.write_answered(table.put(*put), now);
    else
    {
      const auto result = table.write(std::get<store_transaction>(call), now);
      const store_write_result lost{store_status::unclear, 0};
      store.write_answered(lose_write_reply && result.status == store_status::ok ? lost : result,
                           now);
    }
  }

  static void collect(partition_store_output& all, partition_store_output& out)
  {
    if (out.allotted)
      all.allotted = out.allotted;
    if (out.conflict)
      all.conflict = out.conflict;
    if (out.loaded)
      all.loaded = out.loaded;
    for (const auto& result : out.results)
      all.results.push_back(result);
    for (const auto& key : out.malformed_rows)
      all.malformed_rows.push_back(key);
  }

  static record_write accept_of(const std::string& id)
  {
    record_write write;
    write.change = record_change::accept;
    write.task.spec.id = task_id{id};
    write.task.spec.workload = workload_id{"w"};
    return write;
  }

  // Returns a store that owns the partition at an allotted term of at least `at_least`.
  partition_store make_owner(const std::string& name, term_number at_least)
  {
    partition_store store = make_store(name);
    store.request_term(at_least);
    const auto out = run_store(store);
    store.begin_term(out.allotted.value());
    run_store(store);
    return store;
  }
};
} // namespace

BOOST_FIXTURE_TEST_SUITE(partition_store_suite, fixture)

BOOST_AUTO_TEST_CASE(terms_only_grow)
{
  partition_store first = make_store("a-1@1");
  first.request_term(1);
  BOOST_TEST(run_store(first).allotted.value() == 1U);
  partition_store second = make_store("a-2@1");
  second.request_term(1);
  BOOST_TEST(run_store(second).allotted.value() == 2U);
}

BOOST_AUTO_TEST_CASE(a_term_whose_answer_was_lost_is_found_by_its_write_id)
{
  partition_store store = make_store("a-1@1");
  store.request_term(1);
  BOOST_TEST(run_store(store, true).allotted.value() == 1U);
  BOOST_TEST(table.load().writes == 1U);
}

BOOST_AUTO_TEST_CASE(a_write_whose_answer_was_lost_takes_effect_once)
{
  partition_store store = make_owner("a-1@1", 1);
  const auto writes_before = table.load().writes;
  store.append(accept_of("w/k"), now);
  const auto out = run_store(store, true);
  BOOST_REQUIRE(out.results.size() == 1U);
  BOOST_TEST((out.results.front().status == record_write_status::written));
  BOOST_TEST(table.load().writes == writes_before + 1);
}

BOOST_AUTO_TEST_CASE(a_stale_owner_writes_nothing)
{
  partition_store old = make_owner("a-1@1", 1);
  make_owner("a-2@1", 2);
  const auto rows_before = table.load().rows;
  old.append(accept_of("w/k"), now);
  const auto out = run_store(old);
  BOOST_TEST(out.results.empty());
  BOOST_TEST(table.rows().count("task/a/0/open/w/k") == 0U);
  // The old owner detects the conflict when it reads the partition's row; to own the partition
  // again it would need a new term.
  BOOST_TEST(table.load().rows >= rows_before);
}

BOOST_AUTO_TEST_CASE(a_stored_key_is_reported_and_others_are_written)
{
  partition_store store = make_owner("a-1@1", 1);
  store.append(accept_of("w/k"), now);
  run_store(store);
  store.append(accept_of("w/k"), now);
  store.append(accept_of("w/new"), now);
  const auto out = run_store(store);
  BOOST_REQUIRE(out.results.size() == 2U);
  BOOST_TEST((out.results[0].status == record_write_status::exists));
  BOOST_TEST((out.results[1].status == record_write_status::written));
  BOOST_TEST(out.results[1].task.value == "w/new");
}

BOOST_AUTO_TEST_CASE(a_new_owner_reads_open_records_and_skips_malformed_ones)
{
  partition_store store = make_owner("a-1@1", 1);
  store.append(accept_of("w/k"), now);
  run_store(store);
  table.write({{}, {{"task/a/0/open/w/broken", "{"}}}, now);
  partition_store next = make_store("a-2@1");
  next.request_term(2);
  next.begin_term(run_store(next).allotted.value());
  const auto out = run_store(next);
  BOOST_REQUIRE(out.loaded);
  BOOST_TEST(out.loaded->size() == 1U);
  BOOST_TEST(out.malformed_rows.size() == 1U);
}

BOOST_AUTO_TEST_CASE(ended_records_are_deleted_after_their_retention_also_by_a_later_owner)
{
  options.ended_retention = std::chrono::hours{1};
  partition_store store = make_owner("a-1@1", 1);
  for (const char* id : {"w/first", "w/second"})
  {
    store.append(accept_of(id), now);
    record_write end = accept_of(id);
    end.change = record_change::end;
    end.task.final_answer = answer{};
    run_store(store);
    store.append(end, now);
    run_store(store);
  }
  partition_store next = make_owner("a-2@1", 2);
  BOOST_TEST(table.rows().count("task/a/0/ended/w/first") == 1U);
  now += std::chrono::hours{2};
  next.append(accept_of("w/third"), now);
  run_store(next);
  BOOST_TEST(table.rows().count("task/a/0/ended/w/first") == 0U);
  BOOST_TEST(table.rows().count("task/a/0/ended/w/second") == 0U);
  BOOST_TEST(table.rows().count("task/a/0/open/w/third") == 1U);
}

BOOST_AUTO_TEST_CASE(a_large_result_goes_to_the_object_store_and_is_read_back_unchanged)
{
  partition_store store = make_owner("a-1@1", 1);
  record_write end = accept_of("w/k");
  end.change = record_change::end;
  end.task.final_answer = answer{};
  for (int byte = 0; byte < 1 << 20; ++byte)
    end.task.final_answer->body.push_back(static_cast<char>(byte * 13));
  store.append(end, now);
  run_store(store);
  BOOST_TEST(table.rows().at("task/a/0/ended/w/k").value.size() < 4096U);
  record_write query = accept_of("w/k");
  query.change = record_change::find;
  store.append(query, now);
  const auto out = run_store(store);
  BOOST_REQUIRE(out.results.size() == 1U);
  BOOST_TEST((out.results.front().known->final_answer->body == end.task.final_answer->body));
}

BOOST_AUTO_TEST_CASE(an_ended_record_is_found_in_the_table)
{
  partition_store store = make_owner("a-1@1", 1);
  record_write end = accept_of("w/k");
  end.change = record_change::end;
  end.task.final_answer = answer{};
  store.append(end, now);
  run_store(store);
  record_write query = accept_of("w/k");
  query.change = record_change::find;
  store.append(query, now);
  query.task.spec.id = task_id{"w/other"};
  store.append(query, now);
  const auto out = run_store(store);
  BOOST_REQUIRE(out.results.size() == 2U);
  BOOST_TEST((out.results[0].status == record_write_status::exists));
  BOOST_TEST(out.results[0].known->final_answer.has_value());
  BOOST_TEST((out.results[1].status == record_write_status::not_written));
}

BOOST_AUTO_TEST_CASE(a_malformed_partition_row_is_never_overwritten)
{
  table.write({{}, {{"partition/a/0", "not ours"}}}, now);
  partition_store store = make_store("a-1@1");
  store.request_term(1);
  BOOST_TEST(!run_store(store).allotted);
  BOOST_TEST(table.rows().at("partition/a/0").value == "not ours");
}

BOOST_AUTO_TEST_SUITE_END()
