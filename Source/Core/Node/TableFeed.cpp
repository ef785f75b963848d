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
// How long a feed's call waits at the store for a change. A lost reply or an unresponsive path to
// the store is noticed within this time plus the slack of 0.4 s, which is within the 3 s (the
// platform's contact_ms) after which a machine counts as in contact again. Waits of 1.9 s or
// 1 s cost 0.006 of a day's worth on both sites.
constexpr std::chrono::milliseconds k_feed_wait{2500};
// How late a reply may begin before its call is given up; a slow store takes 240 ms (sixty times
// its usual 4 ms). The slack doubles with each failure after the first: on a saturated link,
// replies queue behind others for longer than any fixed slack.
constexpr std::chrono::milliseconds k_initial_slack{400};
constexpr std::chrono::milliseconds k_max_slack{2400};
// A reply that takes longer than this to arrive may leave out a change that is needed soon, so the
// next call does not wait.
constexpr std::chrono::milliseconds k_slow_transit{100};
// If bytes of a reply arrived within this time, the rest of the reply is still arriving.
constexpr std::chrono::milliseconds k_arriving_window{500};
// The longest time without a reply to a call of a healthy feed.
constexpr std::chrono::milliseconds k_max_reply_wait = k_feed_wait + k_initial_slack;
// The first call of a feed that starts after a known version, and the first call after a failure,
// asks for the changes so far and does not wait for more: until it is answered, the age of what
// this instance knows is unknown.
constexpr std::chrono::milliseconds k_catch_up_wait{1};
constexpr std::chrono::milliseconds k_read_timeout{1500};
// Retries begin quickly, since most failures affect a single call, and then slow down, since each
// call has a price.
constexpr std::chrono::milliseconds k_initial_retry_delay{60};
constexpr std::chrono::milliseconds k_max_retry_delay{500};
// A feed that needs only the newest state reads the table instead of the changes once these exceed
// 1.5 times the table's known size plus k_reply_overhead_bytes: a row may have grown, and replies
// have bytes of their own.
constexpr std::size_t k_reply_overhead_bytes = 64U << 10U;
constexpr std::size_t k_row_overhead_bytes = 200; // for the names in a row
// The store sends at most 500 rows in a reply to a read. A reply of a feed with as many rows may
// have been cut off there as well. With a batch window of 400 ms, such a feed would deliver 1,250
// rows a second; 3,000 workers renew 2,000 entries a second.
constexpr std::size_t k_max_reply_rows = 500;
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
    m_part_index = 0;
    m_first_key.clear();
    m_known_version.reset();
    m_table_bytes = 0;
    read_next();
  }

  void set_parts(std::vector<std::string> parts) { m_parts = std::move(parts); }

  void start_after(adapter::row_version version)
  {
    m_known_version = version;
    m_loaded = true;
    m_catching_up = true;
    wait_for_changes();
  }

  void ask_again()
  {
    if (m_stopped || m_repeat_call == nullptr)
      return;
    // A reply that is still arriving would only be requested a second time.
    if (m_latest_bytes_at && m_time.now() - *m_latest_bytes_at < k_arriving_window)
      return;
    m_timer.cancel();
    (this->*m_repeat_call)();
  }

  void pause()
  {
    ++m_latest_call; // the reply to a call in flight is ignored
    m_repeat_call = nullptr;
    m_timer.cancel();
    m_loaded = false;
    m_healthy_since.reset();
    m_incomplete_since.reset();
  }

  void set_batch_window(common::duration window) { m_handlers.batch_window = window; }

  void stop()
  {
    m_stopped = true;
    m_timer.cancel();
  }

  std::optional<common::time_point> healthy_since() const { return m_healthy_since; }
  common::time_point known_until() const
  {
    if (!m_healthy_since)
      return m_current_at;
    // A change would have been reported by now, unless the reply with it was just lost.
    return m_incomplete_since.value_or(std::min(m_time.now(), m_current_at + k_max_reply_wait));
  }
  std::optional<common::time_point> behind_since() const
  {
    if (!m_healthy_since)
      return m_current_at;
    // An overdue reply may contain a change.
    const common::time_point latest = std::max(m_current_at, m_call_sent_at);
    if (!m_incomplete_since && m_time.now() - latest > k_max_reply_wait)
      return latest;
    return m_incomplete_since;
  }
  bool loaded() const { return m_loaded; }

private:
  using reply_handler = void (implementation::*)(const adapter::rows_result&);
  using call_method = void (implementation::*)();

  // Registers a new call and returns its reply handler. From now on, replies to earlier calls are
  // ignored.
  std::function<void(adapter::rows_result)> begin_call(call_method method, reply_handler handle)
  {
    m_repeat_call = method;
    m_call_sent_at = m_time.now();
    m_reply_began_at.reset();
    m_latest_bytes_at.reset();
    ++m_latest_call;
    return [self = shared_from_this(), handle,
            number = m_latest_call](const adapter::rows_result& result)
    {
      if (!self->m_stopped && number == self->m_latest_call)
        (self.get()->*handle)(result);
    };
  }

  // Returns the handler for received bytes of the reply to the next call. Late bytes of a call that
  // was given up are ignored.
  std::function<void()> bytes_handler()
  {
    return [self = shared_from_this(), number = m_latest_call + 1]
    {
      if (self->m_stopped || number != self->m_latest_call)
        return;
      self->m_latest_bytes_at = self->m_time.now();
      if (!self->m_reply_began_at)
        self->m_reply_began_at = self->m_latest_bytes_at;
      if (!self->m_incomplete_since)
        self->m_incomplete_since = self->m_latest_bytes_at;
    };
  }

  void read_next()
  {
    const std::function<void()> on_bytes = bytes_handler();
    m_store.read({m_table, m_parts[m_part_index], m_first_key, {}, 500},
                 m_store.patience(k_read_timeout),
                 begin_call(&implementation::read_next, &implementation::on_page), on_bytes);
  }

  void on_page(const adapter::rows_result& result)
  {
    if (result.end != adapter::store_outcome::done)
    {
      call_failed(result);
      retry();
      return;
    }
    call_succeeded();
    if (!m_known_version)
      m_known_version = result.version;
    m_rows.insert(m_rows.end(), result.rows.begin(), result.rows.end());
    m_table_bytes += bytes_of(result.rows);
    if (result.more && !result.rows.empty())
    {
      // Continues at the next key in byte order.
      m_first_key = result.rows.back().at.key + std::string(1, '\x01');
      read_next();
      return;
    }
    m_first_key.clear();
    if (++m_part_index < m_parts.size())
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

  // The size of the rows as the store sends them: in base64.
  static std::size_t bytes_of(const std::vector<adapter::row>& rows)
  {
    std::size_t bytes = 0;
    for (const adapter::row& row : rows)
      bytes += (row.value.size() + 2) / 3 * 4 + k_row_overhead_bytes;
    return bytes;
  }

  void wait_for_changes()
  {
    adapter::feed_options expected;
    expected.slack = std::min<common::duration>(m_store.patience(m_slack), k_max_slack);
    expected.coming = bytes_handler();
    if (m_handlers.newest_only)
      expected.most_bytes = m_table_bytes + m_table_bytes / 2 + k_reply_overhead_bytes;
    m_store.changes(m_table, *m_known_version, m_catching_up ? k_catch_up_wait : k_feed_wait,
                    expected,
                    begin_call(&implementation::wait_for_changes, &implementation::on_changes));
  }

  void on_changes(const adapter::rows_result& result)
  {
    if (result.end == adapter::store_outcome::expired)
    {
      common::log_process("feed_history_gone", {{"table", m_table}, {"since", *m_known_version}});
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
          {{"table", m_table}, {"since", *m_known_version}, {"known_bytes", m_table_bytes}});
      if (!m_incomplete_since)
        m_incomplete_since = m_time.now();
      start();
      return;
    }
    if (result.end != adapter::store_outcome::done)
    {
      call_failed(result);
      retry();
      return;
    }
    const auto incomplete_since = m_incomplete_since;
    call_succeeded();
    const bool cut_off = result.rows.size() >= k_max_reply_rows;
    if (cut_off)
    {
      m_catching_up = true;
      m_incomplete_since = incomplete_since.value_or(m_call_sent_at);
    }
    m_known_version = std::max(*m_known_version, result.version);
    m_table_bytes = std::max(m_table_bytes, bytes_of(result.rows));
    if (!result.rows.empty())
      m_handlers.changed(result.rows);
    if (m_stopped)
      return;
    if (cut_off || result.rows.empty() || m_handlers.batch_window.count() == 0)
      wait_for_changes();
    else
      m_timer.start(m_handlers.batch_window, [this] { wait_for_changes(); });
  }

  void call_succeeded()
  {
    m_retry_delay = k_initial_retry_delay;
    m_slack = k_initial_slack;
    // Changes that were written while the reply was in transit are not in it. After a long transit
    // they are asked for at once, and until they arrive the feed counts as incomplete.
    m_current_at = m_reply_began_at.value_or(m_time.now());
    m_catching_up = m_time.now() - m_current_at > k_slow_transit;
    m_incomplete_since = m_catching_up ? std::optional(m_current_at) : std::nullopt;
    if (m_healthy_since)
      return;
    m_healthy_since = m_time.now();
    common::log_process("feed_heard", {{"table", m_table}});
  }

  void call_failed(const adapter::rows_result& result)
  {
    m_catching_up = true;
    if (!m_healthy_since)
    {
      m_slack = std::min(m_slack * 2, k_max_slack);
      return;
    }
    m_healthy_since.reset();
    m_incomplete_since.reset();
    common::log_process("feed_lost", {{"table", m_table},
                                      {"end", adapter::to_text(result.end)},
                                      {"detail", result.detail},
                                      {"after_ms", m_time.now() - m_call_sent_at}});
  }

  void retry()
  {
    m_timer.start(m_retry_delay, [this] { (this->*m_repeat_call)(); });
    m_retry_delay = std::min(m_retry_delay * 2, k_max_retry_delay);
  }

  common::timekeeper& m_time;
  common::one_shot_timer m_timer;
  adapter::store_client& m_store;
  std::string m_table;
  std::vector<std::string> m_parts;
  feed_handlers m_handlers;
  std::vector<adapter::row> m_rows; // of the table, read so far
  std::size_t m_part_index = 0;
  std::string m_first_key;
  std::optional<adapter::row_version> m_known_version;
  call_method m_repeat_call = nullptr; // sends the latest call again; null before the first call
  std::uint64_t m_latest_call = 0;
  std::chrono::milliseconds m_retry_delay = k_initial_retry_delay;
  std::chrono::milliseconds m_slack = k_initial_slack;
  // Upper bound of the table's size, as far as it is known.
  std::size_t m_table_bytes = 0;
  // Since when changes may be in transit to this instance; none while the feed is complete.
  std::optional<common::time_point> m_incomplete_since;
  // When the first and the latest bytes of the reply to the latest call arrived.
  std::optional<common::time_point> m_reply_began_at;
  std::optional<common::time_point> m_latest_bytes_at;
  std::optional<common::time_point> m_healthy_since;
  common::time_point m_call_sent_at{}; // when the latest call was sent
  common::time_point m_current_at{};   // up to when the changes of the table are known
  bool m_catching_up = false;          // may have missed a change, so the next call does not wait
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

void table_feed::set_parts(std::vector<std::string> parts)
{
  m_implementation->set_parts(std::move(parts));
}

void table_feed::pause()
{
  m_implementation->pause();
}

void table_feed::set_batch_window(common::duration window)
{
  m_implementation->set_batch_window(window);
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
