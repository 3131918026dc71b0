#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/routing/balancer.h"
#include "fixture.h"
#include "limit_fleet_state.h"

static void
add_event (struct limit_fleet *f, int64_t at_ms, struct event *event)
{
  assert_true (at_ms < DURATION_MAX_MS);
  struct event **link = &f->slots[at_ms];
  while (*link != NULL)
    link = &(*link)->next;
  *link = event;
}

static struct event *
new_event (enum event_kind kind, const struct instance *instance,
           const struct limit_fleet *f, size_t size)
{
  struct event *event = calloc (1, sizeof *event + size);
  assert_non_null (event);
  event->kind = kind;
  event->instance = (uint32_t)(instance - f->instances);
  event->incarnation = instance->incarnation;
  event->size = size;
  return event;
}

static void
server_name (char name[16], uint32_t server)
{
  snprintf (name, 16, "s%u", server);
}

/* Time until what is sent now arrives.  */
static int64_t
arrival_ms (struct limit_fleet *f)
{
  int64_t delay_ms = 0;
  if (f->desc.delay_ms > 0)
    delay_ms = (int64_t)bgap_random_below (&f->random,
                                           (uint64_t)f->desc.delay_ms + 1);
  return f->now_ms + ONE_WAY_MS + delay_ms;
}

/* Routers.  */

void
limit_fleet_set_server (struct limit_fleet *f, struct instance *instance,
                        uint32_t server, bool is_cold)
{
  char name[16];
  char zone[8];
  const struct server *truth = &f->servers[server];
  const struct kept_limit *kept = &instance->kept[server];
  double cold_per_s = is_cold ? truth->cold_per_s : 0;
  int64_t cold_ms = truth->cold_until_ms - f->now_ms;
  server_name (name, server);
  snprintf (zone, sizeof zone, "z%u", server % ZONES);
  const struct bgap_server_desc desc = {
    .name = name,
    .zone = zone,
    .slots = SLOTS,
    .connections = SLOTS,
    .entry_hosts_max = 1,
    .already_running = true,
    .cold_ms = is_cold && cold_ms > 0 ? cold_ms : 0,
    .cold_per_s = cold_per_s > 0 ? cold_per_s : f->desc.cold_per_s,
    .limit_per_s = kept->per_s,
    .limit_age_ms = f->now_ms - kept->heard_ms,
  };
  assert_int_equal (bgap_router_set_server (&instance->router, f->now_ms,
                                            instance->service, &desc,
                                            &instance->servers[server], NULL),
                    BGAP_OK);
  bgap_router_server_alive (&instance->router, f->now_ms,
                            instance->servers[server], truth->starts);
}

void
limit_fleet_tell_cold (struct limit_fleet *f, struct instance *instance,
                       uint32_t server, int64_t after_ms)
{
  struct event *event = new_event (EVENT_COLD, instance, f, 0);
  event->server = server;
  add_event (f, f->now_ms + after_ms, event);
}

void
limit_fleet_remove_server (struct limit_fleet *f, struct instance *instance,
                           uint32_t server)
{
  struct bgap_server_status status;
  struct bgap_server_id *id = &instance->servers[server];
  assert_int_equal (
      bgap_router_server_status (&instance->router, f->now_ms, *id, &status),
      BGAP_OK);
  instance->kept[server]
      = (struct kept_limit){ .per_s = status.rate_limit_per_s,
                             .heard_ms
                             = f->now_ms - status.rate_limit_age_ms };
  bgap_router_remove_server (&instance->router, f->now_ms, *id);
  id->id = BGAP_INVALID_ID;
  limit_fleet_run_actions (f, instance);
}

void
limit_fleet_start_router (struct limit_fleet *f, uint32_t index)
{
  struct instance *instance = &f->instances[index];
  char zone[8];
  snprintf (zone, sizeof zone, "z%u", index % ZONES);
  instance->incarnation++;
  memset (instance->kept, 0, sizeof instance->kept);
  memset (instance->idle, 0, sizeof instance->idle);
  const struct bgap_router_desc desc = {
    .instance = instance->name,
    .zone = zone,
    .seed
    = f->desc.seed * 1000 + index + (uint64_t)instance->incarnation * 500,
    .requests_max = 1024,
    .servers_max = SERVERS_MAX,
    .peers_max = 1,
    .load_interval_ms = -1,
  };
  const struct bgap_service_desc service = {
    .name = "reads",
    .keyed = f->desc.keyed,
    .shared_slots = true,
    .charge_refusals = true,
    .queue_per_server = SLOTS,
    .policy = &bgap_balancer_shared,
  };
  assert_int_equal (bgap_router_setup (&instance->router, &desc, NULL),
                    BGAP_OK);
  assert_int_equal (bgap_router_set_service (&instance->router, f->now_ms,
                                             &service, &instance->service,
                                             NULL),
                    BGAP_OK);
  for (uint32_t i = 0; i < f->desc.servers; i++)
    limit_fleet_set_server (f, instance, i, true);
}

static void
on_dispatch (struct limit_fleet *f, struct instance *instance,
             const struct bgap_router_action *action)
{
  struct event *event = new_event (EVENT_OPENED, instance, f, 0);
  int64_t connect_ms = 0;
  for (uint32_t i = 0; i < f->desc.servers; i++)
    if (instance->servers[i].id == action->server.id)
      event->server = i;
  event->attempt = action->attempt;
  event->dispatched_ms = f->now_ms;
  bool is_open = instance->idle[event->server] > 0;
  instance->idle[event->server] -= is_open;
  if (f->desc.connect_ms > 0 && !is_open)
    connect_ms = (int64_t)bgap_random_below (&f->random,
                                             (uint64_t)f->desc.connect_ms + 1);
  if (connect_ms > 0 || (!is_open && f->servers[event->server].dark))
    {
      add_event (f, f->now_ms + ONE_WAY_MS + connect_ms, event);
      return;
    }
  event->kind = EVENT_ARRIVAL;
  add_event (f, arrival_ms (f), event);
}

static void
on_check_server (struct limit_fleet *f, struct instance *instance,
                 const struct bgap_router_action *action)
{
  struct event *event = new_event (EVENT_CHECK, instance, f, 0);
  for (uint32_t i = 0; i < f->desc.servers; i++)
    if (instance->servers[i].id == action->server.id)
      event->server = i;
  f->counts.checks++;
  add_event (f, arrival_ms (f), event);
}

static void
on_finish (struct limit_fleet *f, const struct bgap_router_action *action)
{
  int64_t began_ms = *(const int64_t *)action->context;
  if (action->outcome == BGAP_OUTCOME_ANSWERED)
    f->counts.answered++;
  else if (action->outcome == BGAP_OUTCOME_UNKNOWN)
    f->counts.unknown++;
  else
    {
      f->counts.refused++;
      f->counts.retry_after_ms += action->retry_after_ms;
      f->counts.held_ms += f->now_ms - began_ms;
    }
}

static void
send_message (struct limit_fleet *f, const struct instance *from,
              struct instance *to, const struct bgap_router_action *action)
{
  if (from == to || from->cut || to->cut
      || (f->desc.lost_percent > 0
          && bgap_random_below (&f->random, 100) < f->desc.lost_percent))
    return;
  struct event *event = new_event (EVENT_MESSAGE, to, f, action->size);
  snprintf (event->from, sizeof event->from, "%s", from->name);
  event->message_kind = action->peer_kind;
  memcpy (event->bytes, action->bytes, action->size);
  add_event (f, arrival_ms (f), event);
}

void
limit_fleet_run_actions (struct limit_fleet *f, struct instance *instance)
{
  struct bgap_router_action action;
  while (bgap_router_next_action (&instance->router, &action))
    switch (action.kind)
      {
      case BGAP_ROUTER_ACTION_DISPATCH:
        on_dispatch (f, instance, &action);
        break;
      case BGAP_ROUTER_ACTION_FINISH:
        on_finish (f, &action);
        break;
      case BGAP_ROUTER_ACTION_SEND_PEER:
        for (uint32_t i = 0; i < f->desc.instances; i++)
          send_message (f, instance, &f->instances[i], &action);
        break;
      case BGAP_ROUTER_ACTION_SEND_INSTANCE:
        for (uint32_t i = 0; i < f->desc.instances; i++)
          if (strcmp (f->instances[i].name, action.instance) == 0)
            send_message (f, instance, &f->instances[i], &action);
        break;
      case BGAP_ROUTER_ACTION_CHECK_SERVER:
        on_check_server (f, instance, &action);
        break;
      case BGAP_ROUTER_ACTION_RESOLVE:
      case BGAP_ROUTER_ACTION_CANCEL_ATTEMPT:
      case BGAP_ROUTER_ACTION_APPEND:
      case BGAP_ROUTER_ACTION_KIND_COUNT:
        break;
      }
}

/* Events.  */

/* The event goes on as another one unless the attempt ends.  */
static bool
on_opened (struct limit_fleet *f, struct instance *instance,
           struct event *event)
{
  bool is_dark = f->servers[event->server].dark;
  bool is_late
      = f->now_ms - event->dispatched_ms >= LIMIT_FLEET_CONNECT_TIMEOUT_MS;
  if (is_dark && !is_late)
    {
      event->next = NULL;
      add_event (f, f->now_ms + 1, event);
      return true;
    }
  enum bgap_result_kind kind
      = is_dark ? BGAP_RESULT_NO_CONNECT : BGAP_RESULT_NOT_SENT;
  if (!is_dark
      && bgap_router_may_send (&instance->router, f->now_ms, event->attempt))
    {
      event->next = NULL;
      event->kind = EVENT_ARRIVAL;
      add_event (f, arrival_ms (f), event);
      return true;
    }
  instance->idle[event->server] += !is_dark;
  bgap_router_on_attempt (&instance->router, f->now_ms, event->attempt,
                          &(struct bgap_attempt_result){ .kind = kind });
  limit_fleet_run_actions (f, instance);
  return false;
}

static void
on_arrival (struct limit_fleet *f, const struct event *event)
{
  struct server *server = &f->servers[event->server];
  bool is_down = f->now_ms < server->down_until_ms;
  server->arrivals[f->now_ms] += !is_down;
  if (server->silent)
    return;
  struct event *answer
      = new_event (EVENT_ANSWER, &f->instances[event->instance], f, 0);
  answer->incarnation = event->incarnation;
  answer->server = event->server;
  answer->attempt = event->attempt;
  answer->start = is_down ? 0 : server->starts + 1;
  int64_t work_ms
      = WORK_MIN_MS + (int64_t)bgap_random_below (&f->random, WORK_SPREAD_MS);
  if (is_down)
    work_ms = 0;
  add_event (f, f->now_ms + work_ms + ONE_WAY_MS, answer);
}

static void
on_answer (struct limit_fleet *f, struct instance *instance,
           const struct event *event)
{
  const struct server *server = &f->servers[event->server];
  struct bgap_attempt_result result
      = { .kind = BGAP_RESULT_COMPLETE, .http_status = 200 };
  if (event->start == 0)
    result = (struct bgap_attempt_result){ .kind = BGAP_RESULT_NO_CONNECT };
  else if (event->start != server->starts + 1)
    result = (struct bgap_attempt_result){ .kind = BGAP_RESULT_BROKEN };
  else
    {
      instance->idle[event->server]++;
      bgap_router_server_rate_limit (&instance->router, f->now_ms,
                                     instance->servers[event->server],
                                     server->limit_per_s);
    }
  bgap_router_on_attempt (&instance->router, f->now_ms, event->attempt,
                          &result);
  limit_fleet_run_actions (f, instance);
}

static void
on_check (struct limit_fleet *f, const struct event *event)
{
  struct server *server = &f->servers[event->server];
  server->checks[f->now_ms]++;
  struct event *answer
      = new_event (EVENT_CHECKED, &f->instances[event->instance], f, 0);
  answer->incarnation = event->incarnation;
  answer->server = event->server;
  answer->has_failed = server->silent;
  answer->start = f->now_ms < server->down_until_ms ? 0 : server->starts + 1;
  int64_t after_ms = server->silent ? CHECK_TIMEOUT_MS : CHECK_MS;
  add_event (f, f->now_ms + after_ms + ONE_WAY_MS, answer);
}

static void
on_checked (struct limit_fleet *f, struct instance *instance,
            const struct event *event)
{
  const struct server *server = &f->servers[event->server];
  struct bgap_server_id id = instance->servers[event->server];
  int64_t left_ms = server->cold_until_ms - f->now_ms;
  enum bgap_warm_check_result result
      = left_ms > 0 ? BGAP_WARM_CHECK_COLD : BGAP_WARM_CHECK_WARM;
  if (event->has_failed || event->start != server->starts + 1)
    result = BGAP_WARM_CHECK_FAILED;
  if (result == BGAP_WARM_CHECK_COLD)
    bgap_router_server_cold (&instance->router, f->now_ms, id,
                             server->cold_per_s, left_ms);
  bgap_router_server_checked (&instance->router, f->now_ms, id, result);
  limit_fleet_run_actions (f, instance);
}

static void
on_message (struct limit_fleet *f, struct instance *instance,
            const struct event *event)
{
  struct bgap_error err = { 0 };
  assert_int_equal (bgap_router_on_peer (&instance->router, f->now_ms,
                                         event->from, event->message_kind,
                                         event->bytes, event->size, &err),
                    BGAP_OK);
  limit_fleet_run_actions (f, instance);
}

/* An instance that cannot read the store tries again.  */
static void
on_cold (struct limit_fleet *f, struct instance *instance,
         const struct event *event)
{
  if (instance->cut_from_store)
    {
      limit_fleet_tell_cold (f, instance, event->server, REGISTRATION_MS);
      return;
    }
  limit_fleet_set_server (f, instance, event->server, true);
  limit_fleet_run_actions (f, instance);
}

void
limit_fleet_handle (struct limit_fleet *f, struct event *event)
{
  struct instance *instance = &f->instances[event->instance];
  if (event->kind == EVENT_ARRIVAL)
    on_arrival (f, event);
  else if (event->kind == EVENT_CHECK)
    on_check (f, event);
  else if (event->incarnation == instance->incarnation)
    {
      if (f->now_ms < instance->frozen_until_ms)
        {
          event->next = NULL;
          add_event (f, instance->frozen_until_ms, event);
          return;
        }
      if (event->kind == EVENT_OPENED)
        {
          if (on_opened (f, instance, event))
            return;
        }
      else if (event->kind == EVENT_ANSWER)
        on_answer (f, instance, event);
      else if (event->kind == EVENT_CHECKED)
        on_checked (f, instance, event);
      else if (event->kind == EVENT_COLD)
        on_cold (f, instance, event);
      else
        on_message (f, instance, event);
    }
  free (event);
}
