#include <stdio.h>
#include <string.h>

#include "world_state.h"

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
  world_add_event (w, &event);
}

/* Records a grant, and a violation if its token is given out for the second
 * time.  */
static void
check_token (struct world *w, const struct event *event, int k)
{
  uint64_t token = event->action.token;
  if (w->highest_token[k] >= token && w->highest_server[k] != event->server
      && w->violation[0] == '\0')
    snprintf (w->violation, sizeof w->violation,
              "at %lld ms key %u got token %llu at %s after %llu at s%d",
              (long long)w->now_ms, world_key (k), (unsigned long long)token,
              w->servers[event->server].id,
              (unsigned long long)w->highest_token[k], w->highest_server[k]);
  if (token < w->highest_token[k])
    return;
  w->highest_token[k] = token;
  w->highest_server[k] = event->server;
}

enum bgap_granter_result
world_take_effect (struct world *w, const struct event *event)
{
  struct server *server = &w->servers[event->server];
  const struct bgap_granter_action *a = &event->action;
  bool fenced = false;
  for (int k = 0; k < WORLD_KEYS; k++)
    if (world_key (k) >= a->first && world_key (k) <= a->last
        && server->keys[k].token > a->token)
      fenced = true;
  if (a->kind == BGAP_GRANTER_GRANT && fenced)
    return BGAP_GRANTER_FENCED;
  for (int k = 0; k < WORLD_KEYS; k++)
    {
      struct key_state *key = &server->keys[k];
      if (world_key (k) < a->first || world_key (k) > a->last)
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
        check_token (w, event, k);
      /* A shorter lease does not end a longer one.  */
      key->lease_token = a->token;
      if (until_ms > key->lease_until_ms)
        key->lease_until_ms = until_ms;
    }
  return BGAP_GRANTER_DONE;
}

void
world_on_call (struct world *w, struct event *event)
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
  if (event->action.kind == BGAP_GRANTER_CHECK)
    {
      event->server_started_ms = server->started_ms;
      reply (w, event, BGAP_GRANTER_RECONNECTED, 2);
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
  if (world_chance (w, 60))
    {
      /* No response, and the call takes effect seconds later.  */
      struct event late = *event;
      late.kind = EVENT_CALL_TAKES_EFFECT;
      late.lost = true;
      late.at_ms = w->now_ms + world_random_between (w, 100, 6000);
      world_add_event (w, &late);
      reply (w, event, BGAP_GRANTER_LOST, event->action.timeout_ms);
      return;
    }
  enum bgap_granter_result result = world_take_effect (w, event);
  bool is_release = event->action.kind == BGAP_GRANTER_RELEASE;
  if (world_chance (w, 30))
    reply (w, event, BGAP_GRANTER_LOST, event->action.timeout_ms);
  else
    reply (w, event, result,
           is_release ? world_random_between (w, 1, 400) : 3);
}

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
world_cut_server (struct world *w, int i, int s, int64_t for_ms)
{
  w->instances[i].server_cut_until_ms[s] = w->now_ms + for_ms;
  w->instances[i].server_cut_refuses[s] = world_chance (w, 400);
}

void
world_run_servers (struct world *w)
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

void
world_check_holders (struct world *w)
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
                      (long long)w->now_ms, world_key (k), holder, s);
          holder = s;
        }
      w->totals.all_ms += STEP_MS;
      if (holder >= 0)
        w->totals.held_ms += STEP_MS;
    }
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
