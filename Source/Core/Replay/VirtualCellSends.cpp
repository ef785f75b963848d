// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// What instances send, and how it fares on the way.

#include <memory>
#include <utility>

#include "Replay/VirtualCell.h"
#include "Replay/VirtualCellParts.h"

namespace yardhill::replay
{
void virtual_cell::send(live_instance& from, const instance::answer_caller& what)
{
  log(from.name, "answers " + std::to_string(what.number) + " " + what.value.task.value + " " +
                     std::string(to_text(what.value.result)) + " " +
                     std::string(to_text(what.value.reason)) + " " + what.value.detail);
  if (m_checker.requests().contains(what.number))
    m_checker.answered(what.number, what.value, now());
}

void virtual_cell::send(live_instance& /*from*/, const instance::answer_apply& /*what*/) {}

void virtual_cell::send(live_instance& from, const instance::send_to_peer& what)
{
  live_instance* to = by_id(what.peer);
  if (to == nullptr || to->id != what.peer || m_network.is_cut(from.name, to->name))
    return;
  // A connection keeps its order, so peers' messages are never late by more than the usual.
  in(m_options.link_latency,
     [this, name = to->name, life = to->life, sender = from.id, sender_name = from.name,
      message = what.message]
     {
       if (!m_network.is_cut(sender_name, name))
         deliver(name, life, instance::peer_received{sender, message});
     });
}

void virtual_cell::send(live_instance& from, const instance::send_claim& what)
{
  worker_host& worker = *m_workers.at(what.worker.value);
  const time_point sent_at = now();
  // The call's own time limit. An answer that comes later is not heard, as with the HTTP client.
  const auto settled = std::make_shared<bool>(false);
  in(m_options.core.ownership.claim_timeout,
     [this, name = from.name, life = from.life, what, sent_at, settled]
     {
       if (!std::exchange(*settled, true))
         deliver(name, life, instance::claim_returned{what.worker, what.request, {}, sent_at});
     });
  if (m_network.is_cut(from.name, worker.name))
    return;
  const held_claim claim{what.request, from.name, from.life, sent_at, time_point{}, settled};
  in(m_network.next_delay(m_options.link_latency),
     [this, &worker, claim] { claim_arrived(worker, claim); });
}

void virtual_cell::send(live_instance& from, const instance::send_start& what)
{
  instance::start_returned returned;
  returned.worker = what.worker;
  for (const start_order& order : what.request.orders)
    returned.attempts.push_back(order.id);
  const auto tell = [this, name = from.name, life = from.life](instance::start_returned result)
  { deliver(name, life, std::move(result)); };
  if (now() > what.not_after)
  {
    returned.result = instance::send_result::unsent;
    in(k_step, [tell, returned] { tell(returned); });
    return;
  }
  worker_host& worker = *m_workers.at(what.worker.value);
  const auto settled = std::make_shared<bool>(false);
  returned.result = instance::send_result::unclear;
  in(m_options.core.ownership.claim_timeout,
     [tell, returned, settled]
     {
       if (!std::exchange(*settled, true))
         tell(returned);
     });
  if (m_network.is_cut(from.name, worker.name))
    return;
  in(m_network.next_delay(m_options.link_latency),
     [this, &worker, tell, returned, settled, name = from.name, request = what.request]() mutable
     {
       if (worker.dead)
         return;
       worker.model.advance(now());
       returned.answer = worker.model.start(request, now());
       returned.result = instance::send_result::answered;
       worker_changed(worker);
       if (m_network.is_cut(worker.name, name))
         return;
       in(m_network.next_delay(m_options.link_latency),
          [tell, returned, settled]
          {
            if (!std::exchange(*settled, true))
              tell(returned);
          });
     });
}

void virtual_cell::send(live_instance& from, const instance::send_stop& what)
{
  worker_host& worker = *m_workers.at(what.worker.value);
  if (m_network.is_cut(from.name, worker.name))
    return;
  in(m_network.next_delay(m_options.link_latency),
     [this, &worker, request = what.request]
     {
       if (worker.dead)
         return;
       worker.model.advance(now());
       worker.model.stop(request, now());
       worker_changed(worker);
     });
}

void virtual_cell::send(live_instance& from, const instance::call_store& what)
{
  const auto settled = std::make_shared<bool>(false);
  const std::uint64_t number = what.call;
  const bool is_read = std::holds_alternative<store_read>(what.request) ||
                       std::holds_alternative<object_get>(what.request);
  const auto tell = [this, name = from.name, life = from.life, number, settled](auto result)
  {
    if (!std::exchange(*settled, true))
      deliver(name, life, instance::store_returned{number, std::move(result)});
  };
  const auto tell_status = [tell, is_read](store_status status)
  {
    if (is_read)
      tell(store_read_result{status, {}, false});
    else
      tell(store_write_result{status, 0});
  };
  in(m_options.core.ownership.store_timeout, [tell_status] { tell_status(store_status::unclear); });
  if (m_network.is_cut(from.name, k_store))
    return;
  const duration way = m_network.next_delay(m_options.store_latency + m_store_slow) / 2;
  in(way,
     [this, tell, tell_status, way, request = what.request, name = from.name]
     {
       if (m_store_down)
       {
         in(way, [tell_status] { tell_status(store_status::unavailable); });
         return;
       }
       if (const auto* put = std::get_if<object_put>(&request))
       {
         const store_write_result result = m_table.put(*put);
         in(way, [tell, result] { tell(result); });
         return;
       }
       const auto* get = std::get_if<object_get>(&request);
       const auto* read = std::get_if<store_read>(&request);
       if (get != nullptr || read != nullptr)
       {
         const store_read_result result =
             get != nullptr ? m_table.get(*get) : m_table.read(*read, now());
         if (!m_network.is_cut(k_store, name))
           in(way, [tell, result] { tell(result); });
         return;
       }
       const store_write_result result = m_table.write(std::get<store_transaction>(request), now());
       const bool lost = result.status == store_status::ok && m_store_lose > 0;
       if (lost)
         --m_store_lose;
       else if (!m_network.is_cut(k_store, name))
         in(way, [tell, result] { tell(result); });
     });
}

void virtual_cell::send(live_instance& from, const instance::log_event& what)
{
  log(from.name, what.step + " " + what.task.value + " " + what.peer + " term " +
                     std::to_string(what.term) + ": " + what.detail);
}

void virtual_cell::send(live_instance& from, const instance::stop_complete& /*what*/)
{
  from.done = true;
}
} // namespace yardhill::replay
