#include "limit_fleet.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/base/random.h"
#include "banyangap/routing/balancer.h"
#include "fixture.h"

#define DURATION_MAX_MS 120000
#define SERVERS_MAX 16u
#define SLOTS 64u
#define ONE_WAY_MS 1
#define WORK_MIN_MS 30
#define WORK_SPREAD_MS 30u
#define TICK_MS 10
#define DEADLINE_MS 2000
#define ZONES 3u

/* Most requests that are open at a time.  */
#define REQUESTS_MAX 8192u

/**
 * enum event_kind - what happens at a time of the simulation
 */
enum event_kind
{
  EVENT_ARRIVAL, /* an attempt reaches its server */
  EVENT_ANSWER,  /* its answer reaches the router */
  EVENT_MESSAGE  /* a message of another router arrives */
};

/**
 * struct event - an event; the fields that it needs
 * @incarnation: of the router that it is for
 */
struct event
{
  enum event_kind kind;
  uint32_t instance;
  uint32_t incarnation;
  uint32_t server;
  struct bgap_attempt_id attempt;
  bool states_limit;
  double limit_per_s;
  char from[BGAP_ROUTING_NAME_SIZE];
  int message_kind;
  size_t size;
  struct event *next;
  unsigned char bytes[];
};

struct instance
{
  struct bgap_router router;
  struct bgap_service_id service;
  struct bgap_server_id servers[SERVERS_MAX];
  char name[24];
  uint32_t incarnation;
  int64_t frozen_until_ms;
  bool cut;
};

struct server
{
  double limit_per_s;
  bool silent;
  uint16_t *arrivals; /* by millisecond */
};

struct limit_fleet
{
  struct limit_fleet_desc desc;
  struct bgap_random random;
  struct instance *instances;
  struct server servers[SERVERS_MAX];
  struct event **slots; /* by millisecond */
  int64_t now_ms;
  double next_request_ms;
  int64_t began_ms[REQUESTS_MAX]; /* by number of the request */
  struct limit_fleet_counts counts;
};

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

/* Routers.  */

static void
start_router (struct limit_fleet *f, uint32_t index)
{
  struct instance *instance = &f->instances[index];
  char zone[8];
  snprintf (zone, sizeof zone, "z%u", index % ZONES);
  instance->incarnation++;
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
    {
      char name[16];
      server_name (name, i);
      snprintf (zone, sizeof zone, "z%u", i % ZONES);
      const struct bgap_server_desc server = {
        .name = name,
        .zone = zone,
        .slots = SLOTS,
        .connections = SLOTS,
        .entry_hosts_max = 1,
        .already_running = true,
      };
      assert_int_equal (bgap_router_set_server (&instance->router, f->now_ms,
                                                instance->service, &server,
                                                &instance->servers[i], NULL),
                        BGAP_OK);
    }
}

static void
on_dispatch (struct limit_fleet *f, struct instance *instance,
             const struct bgap_router_action *action)
{
  struct event *event = new_event (EVENT_ARRIVAL, instance, f, 0);
  for (uint32_t i = 0; i < f->desc.servers; i++)
    if (instance->servers[i].id == action->server.id)
      event->server = i;
  event->attempt = action->attempt;
  add_event (f, f->now_ms + ONE_WAY_MS, event);
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
  if (from == to || from->cut || to->cut)
    return;
  struct event *event = new_event (EVENT_MESSAGE, to, f, action->size);
  snprintf (event->from, sizeof event->from, "%s", from->name);
  event->message_kind = action->peer_kind;
  memcpy (event->bytes, action->bytes, action->size);
  add_event (f, f->now_ms + ONE_WAY_MS, event);
}

static void
run_actions (struct limit_fleet *f, struct instance *instance)
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
      case BGAP_ROUTER_ACTION_RESOLVE:
      case BGAP_ROUTER_ACTION_CANCEL_ATTEMPT:
      case BGAP_ROUTER_ACTION_APPEND:
      case BGAP_ROUTER_ACTION_KIND_COUNT:
        break;
      }
}

/* Events.  */

static void
on_arrival (struct limit_fleet *f, const struct event *event)
{
  struct server *server = &f->servers[event->server];
  server->arrivals[f->now_ms]++;
  if (server->silent)
    return;
  struct event *answer
      = new_event (EVENT_ANSWER, &f->instances[event->instance], f, 0);
  answer->incarnation = event->incarnation;
  answer->server = event->server;
  answer->attempt = event->attempt;
  int64_t work_ms
      = WORK_MIN_MS + (int64_t)bgap_random_below (&f->random, WORK_SPREAD_MS);
  add_event (f, f->now_ms + work_ms + ONE_WAY_MS, answer);
}

static void
on_answer (struct limit_fleet *f, struct instance *instance,
           const struct event *event)
{
  const struct bgap_attempt_result result
      = { .kind = BGAP_RESULT_COMPLETE, .http_status = 200 };
  bgap_router_server_rate_limit (&instance->router, f->now_ms,
                                 instance->servers[event->server],
                                 f->servers[event->server].limit_per_s);
  bgap_router_on_attempt (&instance->router, f->now_ms, event->attempt,
                          &result);
  run_actions (f, instance);
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
  run_actions (f, instance);
}

static void
handle_event (struct limit_fleet *f, struct event *event)
{
  struct instance *instance = &f->instances[event->instance];
  if (event->kind == EVENT_ARRIVAL)
    on_arrival (f, event);
  else if (event->incarnation == instance->incarnation)
    {
      if (f->now_ms < instance->frozen_until_ms)
        {
          event->next = NULL;
          add_event (f, instance->frozen_until_ms, event);
          return;
        }
      if (event->kind == EVENT_ANSWER)
        on_answer (f, instance, event);
      else
        on_message (f, instance, event);
    }
  free (event);
}

static void
send_request (struct limit_fleet *f)
{
  uint32_t index = (uint32_t)bgap_random_below (&f->random, f->desc.entries);
  uint32_t holder = (uint32_t)bgap_random_below (&f->random, f->desc.servers);
  struct instance *instance = &f->instances[index];
  if (f->now_ms < instance->frozen_until_ms)
    return;
  int64_t *began_ms = &f->began_ms[f->counts.requests % REQUESTS_MAX];
  *began_ms = f->now_ms;
  struct bgap_request_desc desc = {
    .service = instance->service,
    .deadline_ms = f->desc.deadline_ms > 0 ? f->desc.deadline_ms : DEADLINE_MS,
    .idempotent = true,
    .context = began_ms,
  };
  if (f->desc.keyed)
    desc.holder = instance->servers[holder];
  f->counts.requests++;
  bgap_router_request (&instance->router, f->now_ms, &desc);
  run_actions (f, instance);
}

static void
send_requests (struct limit_fleet *f)
{
  while (f->desc.demand_per_s > 0 && f->next_request_ms <= (double)f->now_ms)
    {
      double uniform
          = (double)(bgap_random_below (&f->random, 1000000) + 1) / 1000000;
      f->next_request_ms += -log (uniform) * 1000 / f->desc.demand_per_s;
      send_request (f);
    }
}

static void
tick (struct limit_fleet *f)
{
  for (uint32_t i = 0; i < f->desc.instances; i++)
    {
      struct instance *instance = &f->instances[i];
      if ((f->now_ms + i) % TICK_MS != 0
          || f->now_ms < instance->frozen_until_ms)
        continue;
      bgap_router_tick (&instance->router, f->now_ms,
                        FIXTURE_WALL_MS + f->now_ms);
      run_actions (f, instance);
    }
}

/* Interface.  */

struct limit_fleet *
limit_fleet_new (const struct limit_fleet_desc *desc)
{
  struct limit_fleet *f = calloc (1, sizeof *f);
  assert_non_null (f);
  assert_true (desc->servers <= SERVERS_MAX);
  f->desc = *desc;
  f->random.state = desc->seed;
  f->now_ms = 1;
  f->instances = calloc (desc->instances, sizeof *f->instances);
  f->slots = calloc (DURATION_MAX_MS, sizeof (struct event *));
  assert_true (f->instances != NULL && f->slots != NULL);
  for (uint32_t i = 0; i < desc->servers; i++)
    {
      f->servers[i].arrivals = calloc (DURATION_MAX_MS, sizeof (uint16_t));
      assert_non_null (f->servers[i].arrivals);
    }
  for (uint32_t i = 0; i < desc->instances; i++)
    snprintf (f->instances[i].name, sizeof f->instances[i].name, "entry-%u",
              i);
  for (uint32_t i = 0; i < desc->instances; i++)
    {
      start_router (f, i);
      limit_fleet_list (f, i, 0, desc->instances);
    }
  return f;
}

void
limit_fleet_free (struct limit_fleet *f)
{
  for (uint32_t i = 0; i < f->desc.instances; i++)
    bgap_router_shutdown (&f->instances[i].router);
  for (int64_t i = 0; i < DURATION_MAX_MS; i++)
    while (f->slots[i] != NULL)
      {
        struct event *event = f->slots[i];
        f->slots[i] = event->next;
        free (event);
      }
  for (uint32_t i = 0; i < f->desc.servers; i++)
    free (f->servers[i].arrivals);
  free (f->slots);
  free (f->instances);
  free (f);
}

void
limit_fleet_run (struct limit_fleet *f, int64_t duration_ms)
{
  int64_t end_ms = f->now_ms + duration_ms;
  for (; f->now_ms < end_ms; f->now_ms++)
    {
      while (f->slots[f->now_ms] != NULL)
        {
          struct event *event = f->slots[f->now_ms];
          f->slots[f->now_ms] = event->next;
          handle_event (f, event);
        }
      send_requests (f);
      tick (f);
    }
}

void
limit_fleet_set_limit (struct limit_fleet *f, uint32_t server, double per_s)
{
  f->servers[server].limit_per_s = per_s;
}

void
limit_fleet_silence (struct limit_fleet *f, uint32_t server, bool silent)
{
  f->servers[server].silent = silent;
}

void
limit_fleet_set_demand (struct limit_fleet *f, double per_s)
{
  f->desc.demand_per_s = per_s;
  f->next_request_ms = (double)f->now_ms;
}

void
limit_fleet_restart (struct limit_fleet *f, uint32_t index)
{
  bgap_router_shutdown (&f->instances[index].router);
  start_router (f, index);
  limit_fleet_list (f, index, 0, f->desc.instances);
}

void
limit_fleet_freeze (struct limit_fleet *f, uint32_t index, int64_t duration_ms)
{
  f->instances[index].frozen_until_ms = f->now_ms + duration_ms;
}

void
limit_fleet_cut (struct limit_fleet *f, uint32_t index, bool cut)
{
  f->instances[index].cut = cut;
}

void
limit_fleet_list (struct limit_fleet *f, uint32_t index, uint32_t first,
                  uint32_t count)
{
  struct bgap_router_instance *list = calloc (f->desc.instances, sizeof *list);
  assert_non_null (list);
  for (uint32_t i = 0; i < f->desc.instances; i++)
    {
      uint32_t place = (i + f->desc.instances - first) % f->desc.instances;
      list[i] = (struct bgap_router_instance){ .name = f->instances[i].name,
                                               .departed = place >= count };
    }
  assert_int_equal (bgap_router_set_instances (&f->instances[index].router,
                                               f->now_ms, list,
                                               f->desc.instances),
                    BGAP_OK);
  free (list);
}

uint32_t
limit_fleet_arrivals (const struct limit_fleet *f, uint32_t server,
                      int64_t from_ms, int64_t to_ms)
{
  uint32_t sum = 0;
  for (int64_t ms = from_ms; ms < to_ms; ms++)
    sum += f->servers[server].arrivals[ms];
  return sum;
}

uint32_t
limit_fleet_most (const struct limit_fleet *f, uint32_t server,
                  int64_t from_ms, int64_t to_ms)
{
  uint32_t sum = limit_fleet_arrivals (f, server, from_ms,
                                       from_ms + LIMIT_FLEET_WINDOW_MS);
  uint32_t most = sum;
  const uint16_t *arrivals = f->servers[server].arrivals;
  for (int64_t ms = from_ms + LIMIT_FLEET_WINDOW_MS; ms < to_ms; ms++)
    {
      sum += arrivals[ms];
      sum -= arrivals[ms - LIMIT_FLEET_WINDOW_MS];
      if (sum > most)
        most = sum;
    }
  return most;
}

int64_t
limit_fleet_now_ms (const struct limit_fleet *f)
{
  return f->now_ms;
}

struct limit_fleet_counts
limit_fleet_counts (const struct limit_fleet *f)
{
  return f->counts;
}
