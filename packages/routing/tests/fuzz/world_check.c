#include <stdlib.h>
#include <string.h>

#include "banyangap/base/hash.h"
#include "banyangap/routing/message.h"
#include "banyangap/routing/server.h"
#include "world.h"

void
world_execute (struct world *w, struct attempt *attempt)
{
  struct call *call = attempt->call;
  CHECK (!attempt->executed, "an attempt is executed once");
  attempt->executed = true;
  call->executions++;
  if (!call->idempotent)
    CHECK (call->executions == 1,
           "a request that is not idempotent is executed once");
  if (call->key < 0)
    return;
  w->keys[call->key].executions++;
  CHECK (w->keys[call->key].executions == 1,
         "a key is executed once, across routers and restarts");
}

void
world_broken (struct world *w, const struct attempt *attempt)
{
  if (attempt->call->fingerprint == 0)
    return;
  struct suspicion *s = &w->suspicions[attempt->call->fingerprint - 1];
  uint32_t server = 1u << attempt->server;
  if ((attempt->after & s->broken & ~server) != 0)
    s->ordered = true;
  s->broken |= server;
}

static void
_bgap_check_death (struct world *w, uint64_t fingerprint, int server)
{
  struct suspicion *s = &w->suspicions[fingerprint - 1];
  s->servers |= 1u << server;
  if ((s->servers & (s->servers - 1)) != 0 && s->ordered)
    s->held_until_ms = w->now_ms + 300000;
}

void
world_server_died (struct world *w, int node, int server)
{
  struct server_view *view = &w->nodes[node].views[server];
  for (int i = 0; i < ATTEMPTS; i++)
    {
      const struct attempt *attempt = &w->attempts[i];
      if (attempt->used && attempt->router == node && attempt->server == server
          && attempt->call->fingerprint != 0)
        {
          world_broken (w, attempt);
          _bgap_check_death (w, attempt->call->fingerprint, server);
        }
    }
  for (uint64_t f = 1; f <= FINGERPRINTS; f++)
    if (view->broken & 1u << f)
      _bgap_check_death (w, f, server);
  view->broken = 0;
}

void
world_answered (struct world *w, struct call *call)
{
  call->answered = true;
  if (call->fingerprint != 0 && !w->restarted)
    {
      struct suspicion *s = &w->suspicions[call->fingerprint - 1];
      s->servers = 0;
      s->broken = 0;
      s->ordered = false;
    }
}

static int
_bgap_check_server (const struct node *node, struct bgap_server_id id)
{
  for (int i = 0; i < SERVERS; i++)
    if (node->views[i].id.id == id.id && id.id != 0)
      return i;
  return -1;
}

static void
_bgap_check_dispatch (struct world *w, int index,
                      const struct bgap_router_action *action)
{
  const struct node *node = &w->nodes[index];
  struct call *call = action->context;
  int server = _bgap_check_server (node, action->server);
  CHECK (server >= 0, "requests are sent to configured servers");
  const struct server_view *view = &node->views[server];
  CHECK (call->used && !call->ended && !call->cancelled,
         "an ended request is not dispatched");
  CHECK (server % SERVICES == (int)call->service,
         "requests are sent to servers of their service");
  CHECK (!view->lost, "a lost server gets no requests");
  if (OWN_DRAIN (view->drain) != 0)
    CHECK (call->service == KEYED
               && w->now_ms - view->drain_since_ms < BGAP_DRAIN_GRACE_MS,
           "a draining server gets no new requests");
  if (view->drain != OWN_DRAIN (view->drain))
    CHECK (call->service == KEYED && w->now_ms < view->evacuated_ms,
           "an evacuated server gets no new requests");
  CHECK (action->deadline_ms > 0,
         "a request is not dispatched after its deadline");
  unsigned in_flight = 1;
  struct attempt *free_attempt = NULL;
  for (int i = 0; i < ATTEMPTS; i++)
    {
      struct attempt *a = &w->attempts[i];
      if (!a->used || (a->orphan && free_attempt == NULL))
        free_attempt = a; /* an orphan is then never executed */
      else if (!a->orphan && a->router == index && a->server == server)
        in_flight++;
      if (a->used && !a->orphan && a->call == call)
        CHECK (false, "one attempt of a request at a time");
    }
  CHECK (in_flight <= SLOTS, "slots are not exceeded");
  CHECK (server % 3 != 0 || in_flight <= 1, "the quota is not exceeded");
  CHECK (free_attempt != NULL, "attempts are bounded");
  *free_attempt = (struct attempt){ .used = true,
                                    .router = index,
                                    .server = server,
                                    .id = action->attempt,
                                    .call = call };
  if (call->fingerprint != 0)
    free_attempt->after = w->suspicions[call->fingerprint - 1].broken;
}

static void
_bgap_check_finish (struct world *w, int index,
                    const struct bgap_router_action *action)
{
  struct call *call = action->context;
  CHECK (call != NULL && call->used && call->router == index,
         "an action is for a known request of its router");
  CHECK (!call->ended && !call->cancelled, "a request ends once");
  call->ended = true;
  for (int i = 0; i < ATTEMPTS; i++)
    if (w->attempts[i].used && w->attempts[i].call == call)
      {
        CHECK (w->attempts[i].orphan,
               "a request that ends has no attempt in flight");
        CHECK (action->outcome != BGAP_OUTCOME_NOT_RUN,
               "outcome not run: no attempt can still be executed");
      }
  switch (action->outcome)
    {
    case BGAP_OUTCOME_NOT_RUN:
      CHECK (call->executions == 0,
             "outcome not run: the request was not executed");
      break;
    case BGAP_OUTCOME_ANSWERED:
      if (action->reason == BGAP_REASON_ANSWERED)
        CHECK (call->answered,
               "outcome answered: a server answered the request");
      else
        CHECK (call->key >= 0 && w->keys[call->key].executions == 1,
               "a stored answer comes from an execution");
      break;
    default:
      CHECK (action->outcome == BGAP_OUTCOME_UNKNOWN,
             "a finished request has an outcome");
    }
  if (action->reason == BGAP_REASON_QUARANTINED)
    CHECK (call->fingerprint != 0
               && w->now_ms
                      < w->suspicions[call->fingerprint - 1].held_until_ms,
           "only fingerprints in flight at the death of two servers are "
           "quarantined, if one attempt was sent after the other broke");
}

static void
_bgap_check_cancel (struct world *w, int index,
                    const struct bgap_router_action *action)
{
  for (int i = 0; i < ATTEMPTS; i++)
    {
      struct attempt *a = &w->attempts[i];
      if (!a->used || a->orphan || a->router != index
          || a->id.id != action->attempt.id)
        continue;
      a->orphan = true;
      return;
    }
  CHECK (false, "only attempts in flight are cancelled");
}

static void
_bgap_check_append (struct world *w, int index,
                    const struct bgap_router_action *action)
{
  struct node *node = &w->nodes[index];
  for (int i = 0; i < APPENDS; i++)
    {
      struct append *a = &w->appends[i];
      CHECK (!a->used || a->router != index || a->reported,
             "a router has one append in flight");
    }
  for (int i = 0; i < APPENDS; i++)
    {
      struct append *a = &w->appends[i];
      if (a->used)
        continue;
      *a = (struct append){ .used = true,
                            .router = index,
                            .id = action->append_id,
                            .bytes = malloc (action->size),
                            .size = action->size };
      memcpy (a->bytes, action->bytes, action->size);
      return;
    }
  bgap_router_on_append_done (&node->router, w->now_ms, action->service,
                              action->append_id, false);
}

static void
_bgap_check_deliver (struct world *w, int from,
                     const struct bgap_router_action *action)
{
  static const char *const names[ROUTERS] = { "e0", "e1", "e2" };
  for (int i = 0; i < ROUTERS; i++)
    if (i != from)
      CHECK (bgap_router_on_peer (&w->nodes[i].router, w->now_ms, names[from],
                                  action->peer_kind, action->bytes,
                                  action->size, NULL)
                 == BGAP_OK,
             "messages sent by routers are accepted");
}

static void
_bgap_check_resolve (struct world *w, struct node *node,
                     const struct bgap_router_action *action)
{
  /* The holder changes with the time; at some times there is none.  */
  int server = KEYED + SERVICES * (int)(w->now_ms / 500 % 4);
  struct bgap_server_id holder = { 0 };
  if (server < SERVERS)
    holder = node->views[server].id;
  bgap_router_resolved (&node->router, w->now_ms, action->request, holder,
                        (uint64_t)w->now_ms);
}

void
world_take_actions (struct world *w)
{
  bool again = true;
  while (again)
    {
      again = false;
      for (int i = 0; i < ROUTERS; i++)
        {
          struct node *node = &w->nodes[i];
          struct bgap_router_action action;
          while (bgap_router_next_action (&node->router, &action))
            {
              again = true;
              if (action.kind == BGAP_ROUTER_ACTION_DISPATCH)
                _bgap_check_dispatch (w, i, &action);
              else if (action.kind == BGAP_ROUTER_ACTION_CANCEL_ATTEMPT)
                _bgap_check_cancel (w, i, &action);
              else if (action.kind == BGAP_ROUTER_ACTION_FINISH)
                _bgap_check_finish (w, i, &action);
              else if (action.kind == BGAP_ROUTER_ACTION_RESOLVE)
                _bgap_check_resolve (w, node, &action);
              else if (action.kind == BGAP_ROUTER_ACTION_APPEND)
                _bgap_check_append (w, i, &action);
              else
                _bgap_check_deliver (w, i, &action);
            }
          CHECK (bgap_router_counts (&node->router).queued
                     <= QUEUE_LIMIT * SERVICES,
                 "queues are bounded");
        }
    }
}
