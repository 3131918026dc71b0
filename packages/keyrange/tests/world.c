#include "world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/base/random.h"

/* Step of the virtual time.  */
#define STEP_MS 20

/* Maximum numbers of pending events and of records.  */
#define EVENTS_MAX 1024
#define RECORDS_MAX 2048

/* Maximum delay of a message, and without faults; longer delays are drawn as
   faults.  */
#define DELAY_MAX_MS 60
#define DELAY_CALM_MAX_MS 5

/* Duration on a server whose clock is slow by the permitted 2%.  */
#define SLOW_CLOCK(ms) ((ms)*102 / 100)

enum event_kind
{
  EVENT_CALL_ARRIVES,
  EVENT_CALL_TAKES_EFFECT,
  EVENT_CALL_REPLY,
  EVENT_APPEND_ARRIVES,
  EVENT_APPEND_REPLY
};

/**
 * struct event - something that happens at @at_ms
 * @arrived_ms: when the call arrived at the server
 * @incarnation: of the instance that sent the message; replies to an earlier
 *   incarnation are lost
 * @connected_ms: start time of the process to which the sender had a
 *   connection, 0 for none
 * @append_at: offset of the appended record
 * @append_sent_ms: when the append was sent
 * @timeline: of the store, as the sender of an append knows it
 * @answer_timeline: of the store that answers
 * @lost: the response is lost
 */
struct event
{
  enum event_kind kind;
  int64_t at_ms;
  int64_t arrived_ms;
  int instance;
  uint64_t incarnation;
  int server;
  int64_t server_started_ms;
  int64_t connected_ms;
  struct bgap_granter_action action;
  enum bgap_granter_result result;
  enum bgap_granter_append_result append_result;
  uint64_t append_at;
  int64_t append_sent_ms;
  uint64_t timeline;
  uint64_t answer_timeline;
  struct bgap_assignment assignment;
  bool lost;
};

/**
 * struct key_state - a sampled key at a server
 * @token: highest fencing token that the server has seen
 * @lease_token: token of the lease that expires at @lease_until_ms
 */
struct key_state
{
  uint64_t token;
  uint64_t lease_token;
  int64_t lease_until_ms;
};

/**
 * struct server - a backend server
 * @unresponsive: if not @alive, calls get no response instead of a refused
 *   connection
 * @restart_ms: if not @alive, when it starts again
 */
struct server
{
  char id[16];
  bool alive;
  bool unresponsive;
  bool draining;
  int64_t started_ms;
  int64_t sequence;
  int64_t next_heartbeat_ms;
  int64_t restart_ms;
  struct key_state keys[WORLD_KEYS];
};

/**
 * struct instance - an instance
 * @connected_ms: start time of the process to which it has a connection, 0 for
 *   none
 */
struct instance
{
  struct bgap_granter *granter;
  uint64_t incarnation;
  uint32_t records_read;
  uint64_t timeline;
  int64_t paused_until_ms;
  int64_t store_cut_until_ms;
  int64_t server_cut_until_ms[WORLD_SERVERS];
  bool server_cut_refuses[WORLD_SERVERS];
  int64_t connected_ms[WORLD_SERVERS];
  int64_t next_read_ms;
  int64_t registrations_read_ms;
};

/**
 * struct world - the simulation
 * @highest_token, @highest_server: last grant of each sampled key
 * @violation: first violation of an invariant, "" for none
 */
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
  int64_t record_ms[RECORDS_MAX]; /* when each was appended */
  uint32_t record_count;
  uint64_t timeline;
  uint64_t highest_token[WORLD_KEYS];
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
  return !w->desc.no_faults
         && bgap_random_below (&w->random, 1000) < per_mille;
}

static int64_t
random_between (struct world *w, int64_t low, int64_t high)
{
  return low
         + (int64_t)bgap_random_below (&w->random, (uint64_t)(high - low + 1));
}

static int64_t
delay_max_ms (const struct world *w)
{
  return w->desc.no_faults ? DELAY_CALM_MAX_MS : DELAY_MAX_MS;
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
  instance->incarnation = bgap_random_next (&w->random) | 1;
  bgap_granter_setup (
      &instance->granter,
      &(struct bgap_granter_desc){ .instance = name,
                                   .incarnation = instance->incarnation },
      NULL);
}

struct world *
world_new (const struct world_desc *desc)
{
  struct world *w = calloc (1, sizeof *w);
  w->desc = *desc;
  w->random.state = desc->seed;
  w->now_ms = 1000;
  w->timeline = 1;
  for (int i = 0; i < WORLD_INSTANCES; i++)
    start_instance (w, i);
  for (int i = 0; i < WORLD_SERVERS; i++)
    {
      struct server *server = &w->servers[i];
      snprintf (server->id, sizeof server->id, "s%d", i);
      server->alive = true;
      server->started_ms = w->now_ms;
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
is_partitioned (const struct world *w, int instance, int server)
{
  return w->now_ms < w->instances[instance].server_cut_until_ms[server];
}

static void
reply (struct world *w, const struct event *call,
       enum bgap_granter_result result, int64_t after_ms)
{
  struct event event = *call;
  event.kind = EVENT_CALL_REPLY;
  event.at_ms = w->now_ms + after_ms;
  event.result = result;
  add_event (w, &event);
}

/* Applies a call to the server.  */
static enum bgap_granter_result
take_effect (struct world *w, const struct event *event)
{
  struct server *server = &w->servers[event->server];
  const struct bgap_granter_action *a = &event->action;
  bool fenced = false;
  for (int k = 0; k < WORLD_KEYS; k++)
    if (key_of (k) >= a->first && key_of (k) <= a->last
        && server->keys[k].token > a->token)
      fenced = true;
  if (a->kind == BGAP_GRANTER_GRANT && fenced)
    return BGAP_GRANTER_FENCED;
  for (int k = 0; k < WORLD_KEYS; k++)
    {
      struct key_state *key = &server->keys[k];
      if (key_of (k) < a->first || key_of (k) > a->last)
        continue;
      if (a->token > key->token)
        key->token = a->token;
      if (a->kind == BGAP_GRANTER_RELEASE)
        {
          key->lease_until_ms = 0;
          continue;
        }
      int64_t until_ms = event->arrived_ms + SLOW_CLOCK (a->lease_ms);
      if (until_ms > w->now_ms)
        {
          if (w->highest_token[k] >= a->token
              && w->highest_server[k] != event->server
              && w->violation[0] == '\0')
            snprintf (w->violation, sizeof w->violation,
                      "at %lld ms key %u got token %llu at %s after %llu at "
                      "s%d",
                      (long long)w->now_ms, key_of (k),
                      (unsigned long long)a->token, server->id,
                      (unsigned long long)w->highest_token[k],
                      w->highest_server[k]);
          if (a->token >= w->highest_token[k])
            {
              w->highest_token[k] = a->token;
              w->highest_server[k] = event->server;
            }
        }
      /* A shorter lease does not end a longer one.  */
      key->lease_token = a->token;
      if (until_ms > key->lease_until_ms)
        key->lease_until_ms = until_ms;
    }
  return BGAP_GRANTER_DONE;
}

static void
call_arrives (struct world *w, struct event *event)
{
  struct server *server = &w->servers[event->server];
  if (is_partitioned (w, event->instance, event->server)
      && w->instances[event->instance].server_cut_refuses[event->server])
    {
      reply (w, event, BGAP_GRANTER_CLOSED, 2);
      return;
    }
  if (is_partitioned (w, event->instance, event->server)
      || (!server->alive && server->unresponsive))
    {
      reply (w, event, BGAP_GRANTER_LOST, event->action.timeout_ms);
      return;
    }
  if (!server->alive)
    {
      reply (w, event, BGAP_GRANTER_CLOSED, 2);
      return;
    }
  if (event->action.kind == BGAP_GRANTER_GRANT
      && event->connected_ms != server->started_ms)
    {
      /* A process resets the connections of a former one.  */
      event->server_started_ms = server->started_ms;
      reply (w, event,
             event->connected_ms == 0 ? BGAP_GRANTER_RECONNECTED
                                      : BGAP_GRANTER_LOST,
             2);
      return;
    }
  event->arrived_ms = w->now_ms;
  event->server_started_ms = server->started_ms;
  if (chance (w, 60))
    {
      /* No response, and the call takes effect seconds later.  */
      struct event late = *event;
      late.kind = EVENT_CALL_TAKES_EFFECT;
      late.lost = true;
      late.at_ms = w->now_ms + random_between (w, 100, 6000);
      add_event (w, &late);
      reply (w, event, BGAP_GRANTER_LOST, event->action.timeout_ms);
      return;
    }
  enum bgap_granter_result result = take_effect (w, event);
  bool is_release = event->action.kind == BGAP_GRANTER_RELEASE;
  if (chance (w, 30))
    reply (w, event, BGAP_GRANTER_LOST, event->action.timeout_ms);
  else
    reply (w, event, result, is_release ? random_between (w, 1, 400) : 3);
}

static void
apply_append (struct world *w, struct event *event)
{
  bool ok
      = event->append_at == w->record_count && w->record_count < RECORDS_MAX;
  if (ok)
    {
      w->records[w->record_count] = event->assignment;
      w->record_ms[w->record_count] = w->now_ms;
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
      late.at_ms = w->now_ms + random_between (w, 0, 5000);
      add_event (w, &late);
      answer.append_result = BGAP_GRANTER_APPEND_UNKNOWN;
      answer.at_ms = w->now_ms + 1500;
      add_event (w, &answer);
      return;
    }
  apply_append (w, event);
  bgap_assignment_shutdown (&event->assignment);
  answer.append_result = event->append_result;
  answer.answer_timeline = w->timeline;
  answer.at_ms = w->now_ms + 5;
  add_event (w, &answer);
}

/* The instance learns of a restore. Of the records of the copy it reads the
   newest one.  */
static void
see_timeline (struct instance *instance, const struct world *w,
              uint64_t timeline)
{
  if (timeline <= instance->timeline)
    return;
  instance->timeline = timeline;
  bgap_granter_on_timeline (instance->granter, w->now_ms, timeline);
  instance->records_read = w->record_count > 0 ? w->record_count - 1 : 0;
}

/* An acknowledged record is at the offset of its condition and need not be
   read back.  */
static void
apply_acknowledged (struct world *w, struct instance *instance,
                    const struct event *event)
{
  if (instance->records_read != event->append_at
      || instance->records_read >= w->record_count)
    return;
  bgap_granter_on_assignment (instance->granter, w->now_ms,
                              &w->records[instance->records_read++]);
  bgap_granter_on_view (instance->granter, w->now_ms, event->append_sent_ms);
}

static void
append_answered (struct world *w, const struct event *event)
{
  struct instance *instance = &w->instances[event->instance];
  enum bgap_granter_append_result result = event->append_result;
  see_timeline (instance, w, event->answer_timeline);
  /* The record is in another timeline than the one that it was made for.  */
  if (result == BGAP_GRANTER_APPENDED
      && event->timeline != event->answer_timeline)
    result = BGAP_GRANTER_APPEND_UNKNOWN;
  bgap_granter_on_append (instance->granter, w->now_ms, event->action.call,
                          result);
  if (result == BGAP_GRANTER_APPENDED)
    apply_acknowledged (w, instance, event);
}

/* Handles an event; returns false if the instance is paused and cannot receive
   the reply yet.  */
static bool
handle_event (struct world *w, struct event *event)
{
  struct instance *instance = &w->instances[event->instance];
  switch (event->kind)
    {
    case EVENT_CALL_ARRIVES:
      call_arrives (w, event);
      return true;
    case EVENT_CALL_TAKES_EFFECT:
      /* Calls that a process has received are lost when it ends.  */
      if (w->servers[event->server].alive
          && w->servers[event->server].started_ms == event->server_started_ms)
        take_effect (w, event);
      return true;
    case EVENT_APPEND_ARRIVES:
      append_arrives (w, event);
      return true;
    case EVENT_CALL_REPLY:
      if (w->now_ms < instance->paused_until_ms)
        return false;
      if (event->result == BGAP_GRANTER_LOST)
        instance->connected_ms[event->server] = 0;
      if (event->result == BGAP_GRANTER_RECONNECTED)
        instance->connected_ms[event->server] = event->server_started_ms;
      if (instance->incarnation == event->incarnation)
        bgap_granter_on_reply (instance->granter, w->now_ms,
                               event->action.call, event->result, "h");
      return true;
    case EVENT_APPEND_REPLY:
      if (w->now_ms < instance->paused_until_ms)
        return false;
      if (instance->incarnation == event->incarnation)
        append_answered (w, event);
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
      if (!handle_event (w, &event))
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
  instance->next_read_ms = w->now_ms + random_between (w, 20, 400);
  int64_t sent_ms = w->now_ms - random_between (w, 1, delay_max_ms (w));
  see_timeline (instance, w, w->timeline);
  while (instance->records_read < w->record_count)
    bgap_granter_on_assignment (instance->granter, w->now_ms,
                                &w->records[instance->records_read++]);
  bgap_granter_on_loaded (instance->granter, w->now_ms);
  bgap_granter_on_view (instance->granter, w->now_ms, sent_ms);
}

static void
read_registrations (struct world *w, int i)
{
  struct instance *instance = &w->instances[i];
  if (w->now_ms < instance->store_cut_until_ms
      || w->now_ms - instance->registrations_read_ms < 700)
    return;
  instance->registrations_read_ms = w->now_ms;
  for (int s = 0; s < WORLD_SERVERS; s++)
    {
      const struct server *server = &w->servers[s];
      struct bgap_granter_server entry = {
        .started_ms = server->started_ms,
        .sequence = server->sequence,
        .slots = 4,
        .draining = server->draining,
      };
      memcpy (entry.id, server->id, sizeof server->id);
      bgap_granter_set_server (instance->granter, w->now_ms, &entry);
    }
}

/* The successor is the first instance that can reach the store, as the
   membership in the store would determine.  */
static void
choose_successor (struct world *w, int i)
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
      const struct instance *granter_instance
          = &w->instances[granter[1] - '0'];
      lost = w->now_ms < granter_instance->paused_until_ms
             || w->now_ms < granter_instance->store_cut_until_ms
             || !bgap_granter_is_active (granter_instance->granter);
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
      if (action.kind == BGAP_GRANTER_LAPSED)
        continue;
      if (action.kind == BGAP_GRANTER_READ)
        {
          instance->next_read_ms = w->now_ms;
          continue;
        }
      struct event event = {
        .instance = i,
        .incarnation = instance->incarnation,
        .action = action,
        .at_ms = w->now_ms + random_between (w, 0, delay_max_ms (w)),
      };
      if (action.kind == BGAP_GRANTER_APPEND)
        {
          event.kind = EVENT_APPEND_ARRIVES;
          event.append_at = instance->records_read;
          event.append_sent_ms = w->now_ms;
          event.timeline = instance->timeline;
          bgap_assignment_decode (&event.assignment, action.bytes, action.size,
                                  NULL);
        }
      else
        {
          event.kind = EVENT_CALL_ARRIVES;
          event.server = action.server[1] - '0';
          event.connected_ms = instance->connected_ms[event.server];
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
      choose_successor (w, i);
      bgap_granter_set_next_offset (w->instances[i].granter,
                                    w->instances[i].records_read);
      bgap_granter_tick (w->instances[i].granter, w->now_ms);
      carry_out (w, i);
    }
}

/* Servers and faults.  */

void
world_kill_server (struct world *w, int s, bool unresponsive, int64_t for_ms)
{
  struct server *server = &w->servers[s];
  server->alive = false;
  server->unresponsive = unresponsive;
  server->restart_ms = w->now_ms + for_ms;
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

void
world_restore_store (struct world *w, int64_t age_ms, int64_t down_ms)
{
  while (w->record_count > 0
         && w->record_ms[w->record_count - 1] > w->now_ms - age_ms)
    bgap_assignment_shutdown (&w->records[--w->record_count]);
  w->timeline++;
  w->totals.restores++;
  for (int i = 0; i < WORLD_INSTANCES; i++)
    if (w->instances[i].store_cut_until_ms < w->now_ms + down_ms)
      world_cut_store (w, i, down_ms);
}

static void
run_servers (struct world *w)
{
  for (int s = 0; s < WORLD_SERVERS; s++)
    {
      struct server *server = &w->servers[s];
      if (!server->alive && w->now_ms >= server->restart_ms)
        {
          /* It restarts without state under the same name.  */
          server->alive = true;
          server->unresponsive = false;
          server->draining = false;
          server->started_ms = w->now_ms;
          server->sequence = 0;
          memset (server->keys, 0, sizeof server->keys);
        }
      if (server->alive && w->now_ms >= server->next_heartbeat_ms)
        {
          server->sequence++;
          server->next_heartbeat_ms = w->now_ms + 870;
        }
    }
}

static void
inject_random_faults (struct world *w)
{
  int i = (int)bgap_random_below (&w->random, WORLD_INSTANCES);
  int s = (int)bgap_random_below (&w->random, WORLD_SERVERS);
  if (chance (w, 3) && w->servers[s].alive)
    world_kill_server (w, s, chance (w, 500), random_between (w, 200, 6000));
  if (chance (w, 2))
    w->servers[s].draining = !w->servers[s].draining;
  if (chance (w, 3))
    world_cut_store (w, i, random_between (w, 200, 15000));
  if (chance (w, 3))
    world_cut_server (w, i, s, random_between (w, 200, 15000));
  if (chance (w, 2))
    w->instances[i].paused_until_ms
        = w->now_ms + random_between (w, 200, 12000);
  if (chance (w, 2))
    world_restart_instance (w, i);
  if (w->desc.restores && chance (w, 1))
    world_restore_store (w, random_between (w, 1000, 12000),
                         random_between (w, 200, 3000));
}

/* Invariants.  */

static void
check_holders (struct world *w)
{
  for (int k = 0; k < WORLD_KEYS; k++)
    {
      int holder = -1;
      for (int s = 0; s < WORLD_SERVERS; s++)
        {
          const struct server *server = &w->servers[s];
          if (!server->alive || server->keys[k].lease_until_ms <= w->now_ms)
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
      inject_random_faults (w);
      run_servers (w);
      run_events (w);
      run_instances (w);
      check_holders (w);
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
                   && w->servers[s].keys[k].lease_until_ms > w->now_ms);
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
        count += w->servers[s].keys[k].lease_until_ms > w->now_ms;
      if (count > best_count)
        best = s;
      if (count > best_count)
        best_count = count;
    }
  return best;
}
