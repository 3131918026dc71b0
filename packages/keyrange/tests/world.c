#include "world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/base/random.h"

/* Step of virtual time.  */
#define STEP_MS 20

/* Events in flight at most.  */
#define EVENTS_MAX 1024
#define RECORDS_MAX 2048

/* Messages take up to this long; longer faults are drawn apart.  */
#define DELAY_MAX_MS 60

/* A server's clock that is slow by the permitted 2 %.  */
#define SLOW_CLOCK(ms) ((ms)*102 / 100)

enum event_kind
{
  EVENT_ORDER_ARRIVES,
  EVENT_ORDER_TAKES_EFFECT,
  EVENT_ORDER_REPLY,
  EVENT_APPEND_ARRIVES,
  EVENT_APPEND_REPLY
};

/**
 * struct event - something that happens at @at_ms
 * @life: of the instance that sent it; replies to an earlier life are lost
 */
struct event
{
  enum event_kind kind;
  int64_t at_ms;
  int64_t arrived_ms;
  int instance;
  uint64_t life;
  int server;
  int64_t server_born;
  struct bgap_granter_action action;
  enum bgap_granter_result result;
  enum bgap_granter_append_result append_result;
  uint64_t append_at;
  struct bgap_assignment assignment;
  bool lost;
};

struct sample
{
  uint64_t fence;
  uint64_t hold_fence;
  int64_t hold_until_ms;
};

struct server
{
  char id[16];
  bool alive;
  bool dark;
  bool draining;
  int64_t born_ms;
  int64_t sequence;
  int64_t next_beat_ms;
  int64_t back_ms;
  struct sample keys[WORLD_KEYS];
};

struct instance
{
  struct bgap_granter *granter;
  uint64_t life;
  uint32_t read;
  int64_t paused_until_ms;
  int64_t store_cut_until_ms;
  int64_t server_cut_until_ms[WORLD_SERVERS];
  bool server_cut_refuses[WORLD_SERVERS];
  int64_t next_read_ms;
  int64_t registered_ms;
};

struct world
{
  struct world_desc desc;
  struct bgap_random random;
  int64_t now_ms;
  struct instance instances[WORLD_INSTANCES];
  struct server servers[WORLD_SERVERS];
  struct event events[EVENTS_MAX];
  uint32_t event_count;
  struct bgap_assignment records[RECORDS_MAX];
  uint32_t record_count;
  uint64_t highest_fence[WORLD_KEYS];
  int highest_server[WORLD_KEYS];
  char violation[256];
  struct world_totals totals;
};

static uint32_t
key_of (int sample)
{
  return (uint32_t)sample * (BGAP_KEY_COUNT / WORLD_KEYS) + 17;
}

static bool
chance (struct world *w, uint32_t per_mille)
{
  return !w->desc.calm && bgap_random_below (&w->random, 1000) < per_mille;
}

static int64_t
between (struct world *w, int64_t low, int64_t high)
{
  return low
         + (int64_t)bgap_random_below (&w->random, (uint64_t)(high - low + 1));
}

static void
start_instance (struct world *w, int i)
{
  char name[16];
  struct instance *instance = &w->instances[i];
  snprintf (name, sizeof name, "n%d", i);
  if (instance->granter != NULL)
    {
      w->totals.moves += bgap_granter_counts (instance->granter).moves;
      w->totals.takeovers += bgap_granter_counts (instance->granter).takeovers;
    }
  bgap_granter_shutdown (instance->granter);
  *instance = (struct instance){ 0 };
  instance->life = bgap_random_next (&w->random) | 1;
  bgap_granter_setup (&instance->granter,
                      &(struct bgap_granter_desc){
                          .instance = name, .incarnation = instance->life },
                      NULL);
}

struct world *
world_new (const struct world_desc *desc)
{
  struct world *w = calloc (1, sizeof *w);
  w->desc = *desc;
  w->random.state = desc->seed;
  w->now_ms = 1000;
  for (int i = 0; i < WORLD_INSTANCES; i++)
    start_instance (w, i);
  for (int i = 0; i < WORLD_SERVERS; i++)
    {
      struct server *server = &w->servers[i];
      snprintf (server->id, sizeof server->id, "s%d", i);
      server->alive = true;
      server->born_ms = w->now_ms;
    }
  return w;
}

void
world_free (struct world *w)
{
  for (int i = 0; i < WORLD_INSTANCES; i++)
    bgap_granter_shutdown (w->instances[i].granter);
  for (uint32_t i = 0; i < w->record_count; i++)
    bgap_assignment_shutdown (&w->records[i]);
  for (uint32_t i = 0; i < w->event_count; i++)
    bgap_assignment_shutdown (&w->events[i].assignment);
  free (w);
}

const char *
world_violation (const struct world *w)
{
  return w->violation;
}

struct world_totals
world_totals (const struct world *w)
{
  struct world_totals totals = w->totals;
  for (int i = 0; i < WORLD_INSTANCES; i++)
    {
      totals.moves += bgap_granter_counts (w->instances[i].granter).moves;
      totals.takeovers
          += bgap_granter_counts (w->instances[i].granter).takeovers;
    }
  return totals;
}

/* Events.  */

static void
add_event (struct world *w, const struct event *event)
{
  if (w->event_count < EVENTS_MAX)
    w->events[w->event_count++] = *event;
}

static bool
cut_off (const struct world *w, int instance, int server)
{
  return w->now_ms < w->instances[instance].server_cut_until_ms[server];
}

static void
reply (struct world *w, const struct event *order,
       enum bgap_granter_result result, int64_t after_ms)
{
  struct event event = *order;
  event.kind = EVENT_ORDER_REPLY;
  event.at_ms = w->now_ms + after_ms;
  event.result = result;
  add_event (w, &event);
}

/* What an order does at the server when it takes effect.  */
static enum bgap_granter_result
take_effect (struct world *w, const struct event *event)
{
  struct server *server = &w->servers[event->server];
  const struct bgap_granter_action *a = &event->action;
  bool fenced = false;
  for (int k = 0; k < WORLD_KEYS; k++)
    if (key_of (k) >= a->first && key_of (k) <= a->last
        && server->keys[k].fence > a->token)
      fenced = true;
  if (a->kind == BGAP_GRANTER_GRANT && fenced)
    return BGAP_GRANTER_FENCED;
  for (int k = 0; k < WORLD_KEYS; k++)
    {
      struct sample *key = &server->keys[k];
      if (key_of (k) < a->first || key_of (k) > a->last)
        continue;
      if (a->token > key->fence)
        key->fence = a->token;
      if (a->kind == BGAP_GRANTER_RELEASE)
        {
          key->hold_until_ms = 0;
          continue;
        }
      int64_t until_ms = event->arrived_ms + SLOW_CLOCK (a->lease_ms);
      if (until_ms > w->now_ms)
        {
          if (w->highest_fence[k] >= a->token
              && w->highest_server[k] != event->server
              && w->violation[0] == '\0')
            snprintf (w->violation, sizeof w->violation,
                      "at %lld ms key %u got fence %llu at %s after %llu at "
                      "s%d",
                      (long long)w->now_ms, key_of (k),
                      (unsigned long long)a->token, server->id,
                      (unsigned long long)w->highest_fence[k],
                      w->highest_server[k]);
          if (a->token >= w->highest_fence[k])
            {
              w->highest_fence[k] = a->token;
              w->highest_server[k] = event->server;
            }
        }
      key->hold_fence = a->token;
      key->hold_until_ms = until_ms;
    }
  return BGAP_GRANTER_DONE;
}

static void
order_arrives (struct world *w, struct event *event)
{
  struct server *server = &w->servers[event->server];
  if (cut_off (w, event->instance, event->server)
      && w->instances[event->instance].server_cut_refuses[event->server])
    {
      reply (w, event, BGAP_GRANTER_CLOSED, 2);
      return;
    }
  if (cut_off (w, event->instance, event->server)
      || (!server->alive && server->dark))
    {
      reply (w, event, BGAP_GRANTER_LOST, event->action.timeout_ms);
      return;
    }
  if (!server->alive)
    {
      reply (w, event, BGAP_GRANTER_CLOSED, 2);
      return;
    }
  event->arrived_ms = w->now_ms;
  event->server_born = server->born_ms;
  if (chance (w, 60))
    {
      /* No response, and it takes effect seconds later.  */
      struct event late = *event;
      late.kind = EVENT_ORDER_TAKES_EFFECT;
      late.lost = true;
      late.at_ms = w->now_ms + between (w, 100, 6000);
      add_event (w, &late);
      reply (w, event, BGAP_GRANTER_LOST, event->action.timeout_ms);
      return;
    }
  enum bgap_granter_result result = take_effect (w, event);
  bool is_release = event->action.kind == BGAP_GRANTER_RELEASE;
  if (chance (w, 30))
    reply (w, event, BGAP_GRANTER_LOST, event->action.timeout_ms);
  else
    reply (w, event, result, is_release ? between (w, 1, 400) : 3);
}

static void
apply_append (struct world *w, struct event *event)
{
  bool ok
      = event->append_at == w->record_count && w->record_count < RECORDS_MAX;
  if (ok)
    {
      w->records[w->record_count] = event->assignment;
      event->assignment = (struct bgap_assignment){ 0 };
      w->record_count++;
    }
  event->append_result
      = ok ? BGAP_GRANTER_APPENDED : BGAP_GRANTER_NOT_APPENDED;
}

static void
append_arrives (struct world *w, struct event *event)
{
  struct event answer = *event;
  answer.kind = EVENT_APPEND_REPLY;
  answer.assignment = (struct bgap_assignment){ 0 };
  if (event->lost)
    {
      apply_append (w, event);
      bgap_assignment_shutdown (&event->assignment);
      return;
    }
  if (w->now_ms < w->instances[event->instance].store_cut_until_ms)
    {
      bgap_assignment_shutdown (&event->assignment);
      answer.append_result = BGAP_GRANTER_APPEND_UNKNOWN;
      answer.at_ms = w->now_ms + 1500;
      add_event (w, &answer);
      return;
    }
  if (chance (w, 80))
    {
      struct event late = *event;
      late.lost = true;
      late.at_ms = w->now_ms + between (w, 0, 5000);
      add_event (w, &late);
      answer.append_result = BGAP_GRANTER_APPEND_UNKNOWN;
      answer.at_ms = w->now_ms + 1500;
      add_event (w, &answer);
      return;
    }
  apply_append (w, event);
  bgap_assignment_shutdown (&event->assignment);
  answer.append_result = event->append_result;
  answer.at_ms = w->now_ms + 5;
  add_event (w, &answer);
}

/* Whether the instance can take the reply now.  */
static bool
happens (struct world *w, struct event *event)
{
  struct instance *instance = &w->instances[event->instance];
  switch (event->kind)
    {
    case EVENT_ORDER_ARRIVES:
      order_arrives (w, event);
      return true;
    case EVENT_ORDER_TAKES_EFFECT:
      /* What a process has received ends with it.  */
      if (w->servers[event->server].alive
          && w->servers[event->server].born_ms == event->server_born)
        take_effect (w, event);
      return true;
    case EVENT_APPEND_ARRIVES:
      append_arrives (w, event);
      return true;
    case EVENT_ORDER_REPLY:
      if (w->now_ms < instance->paused_until_ms)
        return false;
      if (instance->life == event->life)
        bgap_granter_on_reply (instance->granter, w->now_ms,
                               event->action.call, event->result, "h");
      return true;
    case EVENT_APPEND_REPLY:
      if (w->now_ms < instance->paused_until_ms)
        return false;
      if (instance->life == event->life)
        bgap_granter_on_append (instance->granter, w->now_ms,
                                event->append_result);
      return true;
    }
  return true;
}

static void
run_events (struct world *w)
{
  for (uint32_t i = 0; i < w->event_count;)
    {
      if (w->events[i].at_ms > w->now_ms)
        {
          i++;
          continue;
        }
      struct event event = w->events[i];
      w->events[i] = w->events[--w->event_count];
      if (!happens (w, &event))
        {
          event.at_ms = w->now_ms + STEP_MS;
          add_event (w, &event);
        }
    }
}

/* Instances.  */

static void
read_store (struct world *w, int i)
{
  struct instance *instance = &w->instances[i];
  if (w->now_ms < instance->store_cut_until_ms
      || w->now_ms < instance->next_read_ms)
    return;
  instance->next_read_ms = w->now_ms + between (w, 20, 400);
  int64_t sent_ms = w->now_ms - between (w, 1, DELAY_MAX_MS);
  while (instance->read < w->record_count)
    bgap_granter_on_assignment (instance->granter, w->now_ms,
                                &w->records[instance->read++]);
  bgap_granter_on_loaded (instance->granter, w->now_ms);
  bgap_granter_on_view (instance->granter, w->now_ms, sent_ms);
}

static void
read_registrations (struct world *w, int i)
{
  struct instance *instance = &w->instances[i];
  if (w->now_ms < instance->store_cut_until_ms
      || w->now_ms - instance->registered_ms < 700)
    return;
  instance->registered_ms = w->now_ms;
  for (int s = 0; s < WORLD_SERVERS; s++)
    {
      const struct server *server = &w->servers[s];
      struct bgap_granter_server entry = {
        .started_ms = server->born_ms,
        .sequence = server->sequence,
        .slots = 4,
        .draining = server->draining,
      };
      memcpy (entry.id, server->id, sizeof server->id);
      bgap_granter_set_server (instance->granter, w->now_ms, &entry);
    }
}

/* The candidate is the first instance that has the store, as the group of the
   store would say.  */
static void
choose_candidate (struct world *w, int i)
{
  int first = -1;
  for (int j = WORLD_INSTANCES - 1; j >= 0; j--)
    if (w->now_ms >= w->instances[j].paused_until_ms
        && w->now_ms >= w->instances[j].store_cut_until_ms)
      first = j;
  const char *granter
      = bgap_granter_assignment (w->instances[i].granter)->granter;
  bool lost = false;
  if (granter[0] == 'n')
    {
      const struct instance *holder = &w->instances[granter[1] - '0'];
      lost = w->now_ms < holder->paused_until_ms
             || w->now_ms < holder->store_cut_until_ms
             || !bgap_granter_is_active (holder->granter);
    }
  bgap_granter_set_successor (w->instances[i].granter, w->now_ms, i == first,
                              lost || chance (w, 1));
}

static void
carry_out (struct world *w, int i)
{
  struct bgap_granter_action action;
  struct instance *instance = &w->instances[i];
  while (bgap_granter_next_action (instance->granter, &action))
    {
      struct event event = {
        .instance = i,
        .life = instance->life,
        .action = action,
        .at_ms = w->now_ms + between (w, 0, DELAY_MAX_MS),
      };
      if (action.kind == BGAP_GRANTER_APPEND)
        {
          event.kind = EVENT_APPEND_ARRIVES;
          event.append_at = instance->read;
          bgap_assignment_decode (&event.assignment, action.bytes, action.size,
                                  NULL);
        }
      else
        {
          event.kind = EVENT_ORDER_ARRIVES;
          event.server = action.server[1] - '0';
        }
      add_event (w, &event);
    }
}

static void
run_instances (struct world *w)
{
  for (int i = 0; i < WORLD_INSTANCES; i++)
    {
      if (w->now_ms < w->instances[i].paused_until_ms)
        continue;
      read_store (w, i);
      read_registrations (w, i);
      choose_candidate (w, i);
      bgap_granter_tick (w->instances[i].granter, w->now_ms);
      carry_out (w, i);
    }
}

/* Servers and faults.  */

void
world_kill_server (struct world *w, int s, bool dark, int64_t for_ms)
{
  struct server *server = &w->servers[s];
  server->alive = false;
  server->dark = dark;
  server->back_ms = w->now_ms + for_ms;
  w->totals.deaths++;
}

void
world_drain_server (struct world *w, int s)
{
  w->servers[s].draining = true;
}

void
world_cut_store (struct world *w, int i, int64_t for_ms)
{
  w->instances[i].store_cut_until_ms = w->now_ms + for_ms;
}

void
world_cut_server (struct world *w, int i, int s, int64_t for_ms)
{
  w->instances[i].server_cut_until_ms[s] = w->now_ms + for_ms;
  w->instances[i].server_cut_refuses[s] = chance (w, 400);
}

void
world_restart_instance (struct world *w, int i)
{
  start_instance (w, i);
}

static void
run_servers (struct world *w)
{
  for (int s = 0; s < WORLD_SERVERS; s++)
    {
      struct server *server = &w->servers[s];
      if (!server->alive && w->now_ms >= server->back_ms)
        {
          /* It comes back empty under the same name.  */
          server->alive = true;
          server->dark = false;
          server->draining = false;
          server->born_ms = w->now_ms;
          server->sequence = 0;
          memset (server->keys, 0, sizeof server->keys);
        }
      if (server->alive && w->now_ms >= server->next_beat_ms)
        {
          server->sequence++;
          server->next_beat_ms = w->now_ms + 870;
        }
    }
}

static void
draw_faults (struct world *w)
{
  int i = (int)bgap_random_below (&w->random, WORLD_INSTANCES);
  int s = (int)bgap_random_below (&w->random, WORLD_SERVERS);
  if (chance (w, 3) && w->servers[s].alive)
    world_kill_server (w, s, chance (w, 500), between (w, 200, 6000));
  if (chance (w, 2))
    w->servers[s].draining = !w->servers[s].draining;
  if (chance (w, 3))
    world_cut_store (w, i, between (w, 200, 15000));
  if (chance (w, 3))
    world_cut_server (w, i, s, between (w, 200, 15000));
  if (chance (w, 2))
    w->instances[i].paused_until_ms = w->now_ms + between (w, 200, 12000);
  if (chance (w, 2))
    world_restart_instance (w, i);
}

/* Oracle.  */

static void
check (struct world *w)
{
  for (int k = 0; k < WORLD_KEYS; k++)
    {
      int holder = -1;
      for (int s = 0; s < WORLD_SERVERS; s++)
        {
          const struct server *server = &w->servers[s];
          if (!server->alive || server->keys[k].hold_until_ms <= w->now_ms)
            continue;
          if (holder >= 0 && w->violation[0] == '\0')
            snprintf (w->violation, sizeof w->violation,
                      "at %lld ms key %u is held by s%d and s%d",
                      (long long)w->now_ms, key_of (k), holder, s);
          holder = s;
        }
      w->totals.all_ms += STEP_MS;
      if (holder >= 0)
        w->totals.held_ms += STEP_MS;
    }
}

bool
world_run (struct world *w, int64_t until_ms)
{
  while (w->now_ms < until_ms && w->violation[0] == '\0')
    {
      w->now_ms += STEP_MS;
      draw_faults (w);
      run_servers (w);
      run_events (w);
      run_instances (w);
      check (w);
    }
  return w->violation[0] == '\0';
}

int
world_granter (const struct world *w)
{
  for (int i = 0; i < WORLD_INSTANCES; i++)
    if (bgap_granter_is_active (w->instances[i].granter))
      return i;
  return -1;
}

bool
world_all_held (const struct world *w)
{
  for (int k = 0; k < WORLD_KEYS; k++)
    {
      bool held = false;
      for (int s = 0; s < WORLD_SERVERS; s++)
        held = held
               || (w->servers[s].alive
                   && w->servers[s].keys[k].hold_until_ms > w->now_ms);
      if (!held)
        return false;
    }
  return true;
}

int
world_busiest (const struct world *w)
{
  int best = -1;
  int best_count = 0;
  for (int s = 0; s < WORLD_SERVERS; s++)
    {
      int count = 0;
      for (int k = 0; k < WORLD_KEYS; k++)
        count += w->servers[s].keys[k].hold_until_ms > w->now_ms;
      if (count > best_count)
        best = s;
      if (count > best_count)
        best_count = count;
    }
  return best;
}
