// SPDX-FileCopyrightText: 2026 yardhill contributors
// SPDX-License-Identifier: Apache-2.0

// Carries out the commands of instances: delivers, delays or loses what they send.

#include <memory>
#include <utility>

#include "Replay/VirtualCell.h"
#include "Replay/VirtualCellParts.h"

namespace yardhill::replay
{
void virtual_cell::send(live_instance& from, const instance::answer_caller& command)
{
  log(from.name, "answers " + std::to_string(command.number) + " " + command.value.task.value +
                     " " + std::string(to_text(command.value.result)) + " " +
                     std::string(to_text(command.value.reason)) + " " + command.value.detail);
  if (m_checker.requests().contains(command.number))
    m_checker.answered(command.number, command.value, now());
}

void virtual_cell::send(live_instance& /*from*/, const instance::answer_apply& /*command*/) {}

void virtual_cell::send(live_instance& from, const instance::send_to_peer& command)
{
  live_instance* to = find_instance_by_id(command.peer);
  if (to == nullptr || to->id != command.peer || m_network.is_cut(from.name, to->name))
    return;
  // A connection keeps messages in order, so messages to peers always have the same latency.
  in(m_options.link_latency,
     [this, name = to->name, incarnation = to->incarnation, sender = from.id,
      sender_name = from.name, message = command.message]
     {
       if (!m_network.is_cut(sender_name, name))
         deliver(name, incarnation, instance::peer_received{sender, message});
     });
}

void virtual_cell::send(live_instance& from, const instance::send_claim& command)
{
  worker_host& worker = *m_workers.at(command.worker.value);
  const time_point sent_at = now();
  // The timeout of the call. A reply that arrives later is dropped, as the HTTP client does.
  const auto settled = std::make_shared<bool>(false);
  in(m_options.core.ownership.claim_timeout,
     [this, name = from.name, incarnation = from.incarnation, command, sent_at, settled]
     {
       if (!std::exchange(*settled, true))
         deliver(name, incarnation,
                 instance::claim_returned{command.worker, command.request, {}, sent_at});
     });
  if (m_network.is_cut(from.name, worker.name))
    return;
  const held_claim claim{command.request, from.name,    from.incarnation,
                         sent_at,         time_point{}, settled};
  in(m_network.next_delay(m_options.link_latency),
     [this, &worker, claim] { handle_claim(worker, claim); });
}

void virtual_cell::send(live_instance& from, const instance::send_start& command)
{
  instance::start_returned returned;
  returned.worker = command.worker;
  for (const start_order& order : command.request.orders)
    returned.attempts.push_back(order.id);
  const auto deliver_result =
      [this, name = from.name, incarnation = from.incarnation](instance::start_returned result)
  { deliver(name, incarnation, std::move(result)); };
  if (now() > command.not_after)
  {
    returned.result = instance::send_result::unsent;
    in(k_timer_resolution, [deliver_result, returned] { deliver_result(returned); });
    return;
  }
  worker_host& worker = *m_workers.at(command.worker.value);
  const auto settled = std::make_shared<bool>(false);
  returned.result = instance::send_result::unclear;
  in(m_options.core.ownership.claim_timeout,
     [deliver_result, returned, settled]
     {
       if (!std::exchange(*settled, true))
         deliver_result(returned);
     });
  if (m_network.is_cut(from.name, worker.name))
    return;
  in(m_network.next_delay(m_options.link_latency),
     [this, &worker, deliver_result, returned, settled, name = from.name,
      request = command.request]() mutable
     {
       if (worker.dead)
         return;
       worker.model.advance(now());
       returned.answer = worker.model.start(request, now());
       returned.result = instance::send_result::answered;
       handle_worker_change(worker);
       if (m_network.is_cut(worker.name, name))
         return;
       in(m_network.next_delay(m_options.link_latency),
          [deliver_result, returned, settled]
          {
            if (!std::exchange(*settled, true))
              deliver_result(returned);
          });
     });
}

void virtual_cell::send(live_instance& from, const instance::send_stop& command)
{
  worker_host& worker = *m_workers.at(command.worker.value);
  if (m_network.is_cut(from.name, worker.name))
    return;
  in(m_network.next_delay(m_options.link_latency),
     [this, &worker, request = command.request]
     {
       if (worker.dead)
         return;
       worker.model.advance(now());
       worker.model.stop(request, now());
       handle_worker_change(worker);
     });
}

void virtual_cell::send(live_instance& from, const instance::call_store& command)
{
  const auto settled = std::make_shared<bool>(false);
  const std::uint64_t number = command.call;
  const bool is_read = std::holds_alternative<store_read>(command.request) ||
                       std::holds_alternative<object_get>(command.request);
  const auto deliver_result =
      [this, name = from.name, incarnation = from.incarnation, number, settled](auto result)
  {
    if (!std::exchange(*settled, true))
      deliver(name, incarnation, instance::store_returned{number, std::move(result)});
  };
  const auto deliver_status = [deliver_result, is_read](store_status status)
  {
    if (is_read)
      deliver_result(store_read_result{status, {}, false});
    else
      deliver_result(store_write_result{status, 0});
  };
  in(m_options.core.ownership.store_timeout,
     [deliver_status] { deliver_status(store_status::unclear); });
  if (m_network.is_cut(from.name, k_store))
    return;
  const duration one_way_latency =
      m_network.next_delay(m_options.store_latency + m_store_extra_latency) / 2;
  in(one_way_latency,
     [this, deliver_result, deliver_status, one_way_latency, request = command.request,
      name = from.name]
     {
       if (m_store_down)
       {
         in(one_way_latency, [deliver_status] { deliver_status(store_status::unavailable); });
         return;
       }
       if (const auto* put = std::get_if<object_put>(&request))
       {
         const store_write_result result = m_table.put(*put);
         in(one_way_latency, [deliver_result, result] { deliver_result(result); });
         return;
       }
       const auto* get = std::get_if<object_get>(&request);
       const auto* read = std::get_if<store_read>(&request);
       if (get != nullptr || read != nullptr)
       {
         const store_read_result result =
             get != nullptr ? m_table.get(*get) : m_table.read(*read, now());
         if (!m_network.is_cut(k_store, name))
           in(one_way_latency, [deliver_result, result] { deliver_result(result); });
         return;
       }
       const store_write_result result = m_table.write(std::get<store_transaction>(request), now());
       const bool lost = result.status == store_status::ok && m_store_replies_to_lose > 0;
       if (lost)
         --m_store_replies_to_lose;
       else if (!m_network.is_cut(k_store, name))
         in(one_way_latency, [deliver_result, result] { deliver_result(result); });
     });
}

void virtual_cell::send(live_instance& from, const instance::log_event& command)
{
  log(from.name, command.step + " " + command.task.value + " " + command.peer + " term " +
                     std::to_string(command.term) + ": " + command.detail);
}

void virtual_cell::send(live_instance& from, const instance::stop_complete& /*command*/)
{
  from.done = true;
}
} // namespace yardhill::replay
