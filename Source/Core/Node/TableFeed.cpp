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
// within this time and the slack of 0.4 s, which is within the 3 s (the platform's
// contact_ms) after which a machine counts as in touch again. Shorter waits cost (1.9 s and 1 s:
// 0.006 on both sites).
constexpr std::chrono::milliseconds k_feed_wait{2500};
// An answer may begin this much after it is due; a slow store takes 240 ms (sixty times its usual
// 4). The slack doubles with each failure after the first: on a link that is full, answers wait
// behind others for longer than any fixed slack.
constexpr std::chrono::milliseconds k_first_slack{400};
constexpr std::chrono::milliseconds k_most_slack{2400};
// An answer that is on its way for longer may leave out a change that is due soon.
constexpr std::chrono::milliseconds k_long_way{100};
// Bytes that came so lately show that more are under way.
constexpr std::chrono::milliseconds k_still_coming{500};
// The longest that a call may then be without an answer.
constexpr std::chrono::milliseconds k_longest_wait = k_feed_wait + k_first_slack;
// The first call of a feed that begins behind a version, and after a failure, asks what has changed
// since and does not wait for more: until it is answered, nobody can say how old this knowledge is.
constexpr std::chrono::milliseconds k_catch_up_wait{1};
constexpr std::chrono::milliseconds k_read_timeout{1500};
// Retries begin quickly, since most failures are one call's, and slow down: each call is priced.
constexpr std::chrono::milliseconds k_retry_first{60};
constexpr std::chrono::milliseconds k_retry_most{500};
// Changes are taken for longer than the table where they have half as many bytes more; a row may
// have grown, and answers have bytes of their own.
constexpr std::size_t k_answer_bytes = 64U << 10U;
constexpr std::size_t k_row_bytes = 200; // of its names
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
    m_state_bytes = 0;
    read_next();
  }

  void read_parts(std::vector<std::string> parts) { m_parts = std::move(parts); }

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
    // An answer that is coming would only be asked for twice.
    if (m_bytes_at && m_time.now() - *m_bytes_at < k_still_coming)
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
    m_coming_since.reset();
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
    if (!m_healthy_since)
      return m_heard_at;
    // A change would have been told, unless that very answer is lost.
    return m_coming_since.value_or(std::min(m_time.now(), m_heard_at + k_longest_wait));
  }
  std::optional<common::time_point> behind_since() const
  {
    if (!m_healthy_since)
      return m_heard_at;
    // An answer that is overdue may have told of a change.
    const common::time_point latest = std::max(m_heard_at, m_asked_at);
    if (!m_coming_since && m_time.now() - latest > k_longest_wait)
      return latest;
    return m_coming_since;
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
    m_answer_began.reset();
    m_bytes_at.reset();
    ++m_call;
    return [self = shared_from_this(), handle, number = m_call](const adapter::rows_result& result)
    {
      if (!self->m_stopped && number == self->m_call)
        (self.get()->*handle)(result);
    };
  }

  // Bytes of an answer have come; a late one, of a call that was given up, tells nothing.
  std::function<void()> coming()
  {
    return [self = shared_from_this(), number = m_call + 1]
    {
      if (self->m_stopped || number != self->m_call)
        return;
      self->m_bytes_at = self->m_time.now();
      if (!self->m_answer_began)
        self->m_answer_began = self->m_bytes_at;
      if (!self->m_coming_since)
        self->m_coming_since = self->m_bytes_at;
    };
  }

  void read_next()
  {
    const std::function<void()> bytes_come = coming();
    m_store.read({m_table, m_parts[m_part], m_first_key, {}, 500}, m_store.patience(k_read_timeout),
                 call(&implementation::read_next, &implementation::on_page), bytes_come);
  }

  void on_page(const adapter::rows_result& result)
  {
    if (result.end != adapter::store_outcome::done)
    {
      failed(result);
      retry();
      return;
    }
    succeeded();
    if (!m_since)
      m_since = result.version;
    m_rows.insert(m_rows.end(), result.rows.begin(), result.rows.end());
    m_state_bytes += bytes_of(result.rows);
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

  // As the store sends them: in base64.
  static std::size_t bytes_of(const std::vector<adapter::row>& rows)
  {
    std::size_t bytes = 0;
    for (const adapter::row& row : rows)
      bytes += (row.value.size() + 2) / 3 * 4 + k_row_bytes;
    return bytes;
  }

  void wait_for_changes()
  {
    adapter::feed_options expected;
    expected.slack = std::min<common::duration>(m_store.patience(m_slack), k_most_slack);
    expected.coming = coming();
    if (m_handlers.newest_only)
      expected.most_bytes = m_state_bytes + m_state_bytes / 2 + k_answer_bytes;
    m_store.changes(m_table, *m_since, m_behind ? k_catch_up_wait : k_feed_wait, expected,
                    call(&implementation::wait_for_changes, &implementation::on_changes));
  }

  void on_changes(const adapter::rows_result& result)
  {
    if (result.end == adapter::store_outcome::expired)
    {
      common::log_process("feed_history_gone", {{"table", m_table}, {"since", *m_since}});
      if (m_handlers.expired)
        m_handlers.expired();
      else
        start();
      return;
    }
    if (result.end == adapter::store_outcome::too_long)
    {
      common::log_process(
          "feed_reads_anew",
          {{"table", m_table}, {"since", *m_since}, {"known_bytes", m_state_bytes}});
      if (!m_coming_since)
        m_coming_since = m_time.now();
      start();
      return;
    }
    if (result.end != adapter::store_outcome::done)
    {
      failed(result);
      retry();
      return;
    }
    succeeded();
    m_since = std::max(*m_since, result.version);
    m_state_bytes = std::max(m_state_bytes, bytes_of(result.rows));
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
    m_slack = k_first_slack;
    // What the store was told while its answer was on the way is not in it. After a long way that
    // is asked for at once, and until then more counts as coming.
    m_heard_at = m_answer_began.value_or(m_time.now());
    m_behind = m_time.now() - m_heard_at > k_long_way;
    m_coming_since = m_behind ? std::optional(m_heard_at) : std::nullopt;
    if (m_healthy_since)
      return;
    m_healthy_since = m_time.now();
    common::log_process("feed_heard", {{"table", m_table}});
  }

  void failed(const adapter::rows_result& result)
  {
    m_behind = true;
    if (!m_healthy_since)
    {
      m_slack = std::min(m_slack * 2, k_most_slack);
      return;
    }
    m_healthy_since.reset();
    m_coming_since.reset();
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
  std::chrono::milliseconds m_slack = k_first_slack;
  std::size_t m_state_bytes = 0;                    // of the table, as far as is known; at most
  std::optional<common::time_point> m_coming_since; // changes that have not come whole yet
  std::optional<common::time_point> m_answer_began; // to the latest call
  std::optional<common::time_point> m_bytes_at;     // the latest ones of it
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

void table_feed::read_parts(std::vector<std::string> parts)
{
  m_implementation->read_parts(std::move(parts));
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

std::optional<common::time_point> table_feed::behind_since() const
{
  return m_implementation->behind_since();
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
