// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

#include "Node/TableFeed.h"

#include <algorithm>
#include <utility>

#include "Common/EventLog.h"

namespace yardhill::node
{
namespace
{
// A feed waits this long for a change: a lost answer or a silent path to the store is noticed
// within this time and the client's slack of 0.4 s, which is within the 3 s (the platform's
// contact_ms) after which a machine counts as in touch again. Shorter waits cost (1.9 s and 1 s:
// 0.006 on both sites).
constexpr std::chrono::milliseconds k_feed_wait{2500};
// The longest that a call may then be without an answer, with the client's slack.
constexpr std::chrono::milliseconds k_longest_wait{2900};
// The first call of a feed that begins behind a version, and after a failure, asks what has changed
// since and does not wait for more: until it is answered, nobody can say how old this knowledge is.
constexpr std::chrono::milliseconds k_catch_up_wait{1};
constexpr std::chrono::milliseconds k_read_timeout{1500};
// Retries begin quickly, since most failures are one call's, and slow down: each call is priced.
constexpr std::chrono::milliseconds k_retry_first{60};
constexpr std::chrono::milliseconds k_retry_most{500};
} // namespace

class table_feed::implementation : public std::enable_shared_from_this<implementation>
{
public:
  implementation(common::timekeeper& time, adapter::store_client& store, std::string table,
                 std::vector<std::string> parts, feed_handlers handlers)
      : m_time(time),
        m_timer(time),
        m_store(store),
        m_table(std::move(table)),
        m_parts(std::move(parts)),
        m_handlers(std::move(handlers))
  {
  }

  void start()
  {
    m_rows.clear();
    m_part = 0;
    m_first_key.clear();
    m_since.reset();
    read_next();
  }

  void start_after(adapter::row_version version)
  {
    m_since = version;
    m_loaded = true;
    m_behind = true;
    wait_for_changes();
  }

  void ask_again()
  {
    if (m_stopped || m_step == nullptr)
      return;
    m_timer.cancel();
    (this->*m_step)();
  }

  void pause()
  {
    ++m_call; // an answer that is under way is not taken
    m_step = nullptr;
    m_timer.cancel();
    m_loaded = false;
    m_healthy_since.reset();
  }

  void gather(common::duration time) { m_handlers.gather = time; }

  void stop()
  {
    m_stopped = true;
    m_timer.cancel();
  }

  std::optional<common::time_point> healthy_since() const { return m_healthy_since; }
  common::time_point known_until() const
  {
    // A change would have been told, unless that very answer is lost.
    return m_healthy_since ? std::min(m_time.now(), m_heard_at + k_longest_wait) : m_heard_at;
  }
  bool loaded() const { return m_loaded; }

private:
  using answer_handler = void (implementation::*)(const adapter::rows_result&);
  using step = void (implementation::*)();

  // Begins a call; no answer to an earlier one is taken from now on.
  std::function<void(adapter::rows_result)> call(step which, answer_handler handle)
  {
    m_step = which;
    m_asked_at = m_time.now();
    ++m_call;
    return [self = shared_from_this(), handle, number = m_call](const adapter::rows_result& result)
    {
      if (!self->m_stopped && number == self->m_call)
        (self.get()->*handle)(result);
    };
  }

  void read_next()
  {
    m_store.read({m_table, m_parts[m_part], m_first_key, {}, 500}, k_read_timeout,
                 call(&implementation::read_next, &implementation::on_page));
  }

  void on_page(const adapter::rows_result& result)
  {
    if (result.end != adapter::store_end::done)
    {
      failed(result);
      retry();
      return;
    }
    succeeded();
    if (!m_since)
      m_since = result.version;
    m_rows.insert(m_rows.end(), result.rows.begin(), result.rows.end());
    if (result.more && !result.rows.empty())
    {
      // The next key in byte order.
      m_first_key = result.rows.back().at.key + std::string(1, '\x01');
      read_next();
      return;
    }
    m_first_key.clear();
    if (++m_part < m_parts.size())
    {
      read_next();
      return;
    }
    m_loaded = true;
    const std::vector<adapter::row> rows = std::exchange(m_rows, {});
    m_handlers.snapshot(rows);
    if (!m_stopped)
      wait_for_changes();
  }

  void wait_for_changes()
  {
    m_store.changes(m_table, *m_since, m_behind ? k_catch_up_wait : k_feed_wait,
                    call(&implementation::wait_for_changes, &implementation::on_changes));
  }

  void on_changes(const adapter::rows_result& result)
  {
    if (result.end == adapter::store_end::expired)
    {
      common::log_process("feed_history_gone", {{"table", m_table}, {"since", *m_since}});
      if (m_handlers.expired)
        m_handlers.expired();
      else
        start();
      return;
    }
    if (result.end != adapter::store_end::done)
    {
      failed(result);
      retry();
      return;
    }
    succeeded();
    m_since = std::max(*m_since, result.version);
    if (!result.rows.empty())
      m_handlers.changed(result.rows);
    if (m_stopped)
      return;
    if (result.rows.empty() || m_handlers.gather.count() == 0)
      wait_for_changes();
    else
      m_timer.start(m_handlers.gather, [this] { wait_for_changes(); });
  }

  void succeeded()
  {
    m_retry = k_retry_first;
    m_behind = false;
    m_heard_at = m_time.now();
    if (m_healthy_since)
      return;
    m_healthy_since = m_time.now();
    common::log_process("feed_heard", {{"table", m_table}});
  }

  void failed(const adapter::rows_result& result)
  {
    m_behind = true;
    if (!m_healthy_since)
      return;
    m_healthy_since.reset();
    common::log_process("feed_lost", {{"table", m_table},
                                      {"end", adapter::to_text(result.end)},
                                      {"detail", result.detail},
                                      {"after_ms", m_time.now() - m_asked_at}});
  }

  void retry()
  {
    m_timer.start(m_retry, [this] { (this->*m_step)(); });
    m_retry = std::min(m_retry * 2, k_retry_most);
  }

  common::timekeeper& m_time;
  common::one_shot_timer m_timer;
  adapter::store_client& m_store;
  std::string m_table;
  std::vector<std::string> m_parts;
  feed_handlers m_handlers;
  std::vector<adapter::row> m_rows; // read so far
  std::size_t m_part = 0;
  std::string m_first_key;
  std::optional<adapter::row_version> m_since;
  step m_step = nullptr; // of the latest call; none before the first
  std::uint64_t m_call = 0;
  std::chrono::milliseconds m_retry = k_retry_first;
  std::optional<common::time_point> m_healthy_since;
  common::time_point m_asked_at{}; // the latest call
  common::time_point m_heard_at{};
  bool m_behind = false; // may have missed a change
  bool m_loaded = false;
  bool m_stopped = false;
};

table_feed::table_feed(common::timekeeper& time, adapter::store_client& store, std::string table,
                       std::vector<std::string> parts, feed_handlers handlers)
    : m_implementation(std::make_shared<implementation>(time, store, std::move(table),
                                                        std::move(parts), std::move(handlers)))
{
}

table_feed::~table_feed()
{
  m_implementation->stop();
}

void table_feed::start()
{
  m_implementation->start();
}

void table_feed::pause()
{
  m_implementation->pause();
}

void table_feed::gather(common::duration time)
{
  m_implementation->gather(time);
}

void table_feed::start_after(adapter::row_version version)
{
  m_implementation->start_after(version);
}

void table_feed::ask_again()
{
  m_implementation->ask_again();
}

std::optional<common::time_point> table_feed::healthy_since() const
{
  return m_implementation->healthy_since();
}

common::time_point table_feed::known_until() const
{
  return m_implementation->known_until();
}

bool table_feed::loaded() const
{
  return m_implementation->loaded();
}
} // namespace yardhill::node
