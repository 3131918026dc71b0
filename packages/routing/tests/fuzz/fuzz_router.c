/* Random operations on three routers that share servers and a stream of
   idempotency records. world_check.c has the checks.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/routing/server.h"
#include "world.h"

/* Shorter than the grace period of an ordinary drain, so that both are
   tested.  */
#define EVACUATION_GRACE_MS (BGAP_DRAIN_GRACE_MS / 2)

static struct attempt *
_bgap_fuzz_attempt (struct world *w, uint8_t choice, bool orphan)
{
  for (int i = 0; i < ATTEMPTS; i++)
    {
      struct attempt *a = &w->attempts[(i + choice) % ATTEMPTS];
      if (a->used && a->orphan == orphan)
        return a;
    }
  return NULL;
}

static void
_bgap_fuzz_call (struct world *w, struct input *input)
{
  uint8_t what = input_byte (input);
  uint8_t detail = input_byte (input);
  int index = what % ROUTERS;
  struct node *node = &w->nodes[index];
  struct call *call = NULL;
  for (int i = 0; i < REQUESTS && call == NULL; i++)
    if (!w->calls[i].used)
      call = &w->calls[i];
  if (call == NULL)
    return;
  *call = (struct call){ .used = true, .router = index, .key = -1 };
  call->service = w->only_at_most_once
                      ? AT_MOST_ONCE
                      : (enum service) (what / ROUTERS % SERVICES);
  call->idempotent = call->service != AT_MOST_ONCE && detail % 2 == 0;
  call->fingerprint = detail / 2 % (FINGERPRINTS + 1);
  struct bgap_request_desc desc = {
    .service = node->services[call->service],
    .class_ = (enum bgap_class) (detail % BGAP_CLASS_COUNT),
    .deadline_ms = (int64_t)(detail % 16) * 200,
    .idempotent = call->idempotent,
    .fingerprint = call->fingerprint,
    .digest = detail % 32 == 0,
    .wall_ms = world_wall_ms (w, node),
    .context = call,
  };
  char text[64];
  if (call->service == AT_MOST_ONCE)
    {
      call->key = detail / 16 % (w->only_at_most_once ? 2 : KEYS);
      struct key *key = &w->keys[call->key];
      if (key->time_ms == 0)
        key->time_ms = desc.wall_ms + ((int64_t)what - 128) * 500;
      snprintf (text, sizeof text, "%08x-%04x-7000-8000-%012x",
                (unsigned)(key->time_ms >> 16),
                (unsigned)(key->time_ms & 0xffff), (unsigned)call->key);
      desc.key = text;
      desc.key_size = strlen (text);
    }
  call->id = bgap_router_request (&node->router, w->now_ms, &desc);
  if (call->id.id == BGAP_INVALID_ID)
    call->ended = true;
}

/* Lets a server execute an attempt, or reports an event of the attempt to its
   router.  */
static void
_bgap_fuzz_attempt_event (struct world *w, struct input *input)
{
  uint8_t what = input_byte (input);
  struct attempt *a = _bgap_fuzz_attempt (w, input_byte (input), false);
  if (a == NULL)
    return;
  if (what % 4 == 0)
    {
      if (!a->executed)
        world_execute (w, a);
      return;
    }
  struct bgap_attempt_result result = {
    .kind = (enum bgap_result_kind) (what / 4 % BGAP_RESULT_COUNT),
    .http_status = 200,
    .body = "0123456789abcdef0123456789",
    .body_size = what % 27,
  };
  /* A correct server does not refuse a request that it executed. One that
     violates the protocol may do so after the status line of an answer.  */
  bool refusal = bgap_result_proves_not_run (result.kind);
  if (refusal && a->executed && !a->started)
    return;
  if (!a->executed && !refusal
      && (result.kind == BGAP_RESULT_COMPLETE
          || result.kind == BGAP_RESULT_STARTED))
    world_execute (w, a);
  if (result.kind == BGAP_RESULT_STARTED)
    a->started = true;
  else if (refusal || result.kind == BGAP_RESULT_COMPLETE)
    a->used = false;
  else
    a->orphan = true; /* the server may still execute it */
  if (result.kind == BGAP_RESULT_COMPLETE)
    world_answered (w, a->call);
  else
    world_broken (w, a);
  struct server_view *view = &w->nodes[a->router].views[a->server];
  view->broken |= 1u << a->call->fingerprint;
  if (result.kind == BGAP_RESULT_DRAINING && !a->started)
    {
      if (OWN_DRAIN (view->drain) == 0)
        view->drain_since_ms = w->now_ms;
      view->drain |= 1u << BGAP_DRAIN_REPORT;
    }
  bgap_router_on_attempt (&w->nodes[a->router].router, w->now_ms, a->id,
                          &result);
}

/* An attempt that its router has abandoned is executed late, or never.  */
static void
_bgap_fuzz_orphan (struct world *w, struct input *input)
{
  uint8_t what = input_byte (input);
  struct attempt *a = _bgap_fuzz_attempt (w, what / 2, true);
  if (a == NULL)
    return;
  if (what % 2 == 0 && !a->executed)
    world_execute (w, a);
  a->used = false;
}

static void
_bgap_fuzz_log (struct world *w, struct input *input)
{
  uint8_t what = input_byte (input);
  struct append *a = &w->appends[what / 4 % APPENDS];
  for (int i = 0; i < APPENDS && !a->used; i++)
    a = &w->appends[(what / 4 + i) % APPENDS];
  if (!a->used)
    return;
  if (what % 4 != 3 && !a->written && w->record_count < RECORDS)
    {
      w->records[w->record_count++] = (struct record){ .bytes = a->bytes,
                                                       .size = a->size,
                                                       .time_ms = w->now_ms };
      a->written = true;
      a->bytes = NULL;
    }
  if (what % 4 < 2 || what % 4 == 3)
    {
      if (!a->reported && a->router >= 0)
        bgap_router_on_append_done (&w->nodes[a->router].router, w->now_ms,
                                    w->nodes[a->router].services[AT_MOST_ONCE],
                                    a->id, a->written && what % 4 == 0);
      a->reported = true;
    }
  if (a->written && (a->reported || a->router < 0))
    a->used = false;
}

static void
_bgap_fuzz_read (struct world *w, struct input *input)
{
  uint8_t what = input_byte (input);
  struct node *node = &w->nodes[what % ROUTERS];
  for (int n = what / ROUTERS % 8; n >= 0; n--)
    {
      if (node->next_offset > w->record_count)
        return;
      const struct record *r = &w->records[node->next_offset - 1];
      CHECK (bgap_router_on_idempotency_record (
                 &node->router, w->now_ms, world_wall_ms (w, node),
                 node->services[AT_MOST_ONCE], node->next_offset, r->bytes,
                 r->size, NULL)
                 == BGAP_OK,
             "records written by routers are accepted");
      node->next_offset++;
    }
}

static void
_bgap_fuzz_server (struct world *w, struct input *input)
{
  uint8_t what = input_byte (input);
  uint8_t detail = input_byte (input);
  int index = what % ROUTERS;
  int server = what / ROUTERS % SERVERS;
  struct node *node = &w->nodes[index];
  struct server_view *view = &node->views[server];
  uint32_t signal = detail / 8 % BGAP_DRAIN_COUNT;
  bool on = detail / 32 % 2;
  const struct bgap_server_load load
      = { .in_flight = detail / 8, .slots = detail / 8 % 4, .draining = on };
  uint32_t before = view->drain;
  switch (detail % 8)
    {
    case 0:
    case 1:
      view->drain &= ~(1u << signal);
      view->drain |= (uint32_t)on << signal;
      if (signal == BGAP_DRAIN_ZONE)
        {
          view->evacuated_ms = w->now_ms + EVACUATION_GRACE_MS;
          bgap_router_server_evacuate (&node->router, w->now_ms, view->id, on,
                                       EVACUATION_GRACE_MS);
        }
      else
        bgap_router_server_drain (&node->router, w->now_ms, view->id,
                                  (enum bgap_drain_signal)signal, on);
      break;
    case 2:
      if (!view->lost)
        world_server_died (w, index, server);
      view->lost = true;
      bgap_router_server_lost (&node->router, w->now_ms, view->id);
      break;
    case 3:
    case 4:
      if (!view->lost && detail / 8 % 2)
        world_server_died (w, index, server);
      view->lost = false;
      view->incarnation += detail / 8 % 2;
      if (detail / 8 % 2)
        view->drain &= ~(1u << BGAP_DRAIN_REPORT);
      bgap_router_server_alive (&node->router, w->now_ms, view->id,
                                view->incarnation);
      break;
    case 5:
      view->drain &= ~(1u << BGAP_DRAIN_REPORT);
      view->drain |= (uint32_t)on << BGAP_DRAIN_REPORT;
      bgap_router_server_load (&node->router, w->now_ms, view->id, &load);
      break;
    case 6:
      if (view->drain == 0)
        world_server_died (w, index, server);
      bgap_router_server_expired (&node->router, w->now_ms, view->id);
      bgap_router_remove_server (&node->router, w->now_ms, view->id);
      world_take_actions (w);
      world_set_server (w, node, server, on);
      return;
    default:
      bgap_router_peer_lost (
          &node->router,
          (const char *[]){ "e0", "e1", "e2" }[detail / 8 % ROUTERS]);
    }
  if (OWN_DRAIN (before) == 0 && OWN_DRAIN (view->drain) != 0)
    view->drain_since_ms = w->now_ms;
}

static void
_bgap_fuzz_cancel (struct world *w, struct input *input)
{
  struct call *call = &w->calls[input_byte (input) % REQUESTS];
  if (!call->used || call->ended || call->cancelled)
    return;
  call->cancelled = true;
  bgap_router_cancel (&w->nodes[call->router].router, w->now_ms, call->id);
}

static void
_bgap_fuzz_time (struct world *w, struct input *input)
{
  uint8_t what = input_byte (input);
  bool leap = w->only_at_most_once ? what > 240 : what % 4 == 3;
  int64_t step_ms = leap ? (int64_t)what * 250 : what;
  w->now_ms += step_ms;
  for (int i = 0; i < ROUTERS; i++)
    bgap_router_tick (&w->nodes[i].router, w->now_ms,
                      world_wall_ms (w, &w->nodes[i]));
}

/* Frees the entries of calls that have ended and have no attempts left.  */
static void
_bgap_fuzz_reuse (struct world *w)
{
  bool busy[REQUESTS] = { false };
  for (int i = 0; i < ATTEMPTS; i++)
    if (w->attempts[i].used)
      busy[w->attempts[i].call - w->calls] = true;
  for (int i = 0; i < REQUESTS; i++)
    if (w->calls[i].ended && !w->calls[i].cancelled && !busy[i])
      w->calls[i].used = false;
}

void
world_step (struct world *w, struct input *input)
{
  uint8_t what = input_byte (input);
  switch (what % 16)
    {
    case 0:
    case 1:
    case 2:
      _bgap_fuzz_call (w, input);
      break;
    case 3:
    case 4:
    case 5:
      _bgap_fuzz_attempt_event (w, input);
      break;
    case 6:
      _bgap_fuzz_orphan (w, input);
      break;
    case 7:
    case 8:
      _bgap_fuzz_log (w, input);
      break;
    case 9:
    case 10:
      _bgap_fuzz_read (w, input);
      break;
    case 11:
      if (w->only_at_most_once && what < 128)
        _bgap_fuzz_log (w, input);
      else
        _bgap_fuzz_server (w, input);
      break;
    case 12:
      _bgap_fuzz_cancel (w, input);
      break;
    case 13:
      if (what / 16 % 4 != 0)
        break;
      world_stop_node (w, what / 64 % ROUTERS);
      world_start_node (w, what / 64 % ROUTERS,
                        ((int64_t)input_byte (input) - 128) * SKEW_MS / 128);
      break;
    default:
      _bgap_fuzz_time (w, input);
    }
  world_take_actions (w);
  _bgap_fuzz_reuse (w);
}

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct input input = { .bytes = data, .size = size };
  struct world *w = world_open (&input);
  while (input.size > 0)
    world_step (w, &input);
  world_close (w);
  return 0;
}
