#include "sim.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define APPEND_MS 15
#define READ_MS 5
#define READ_TIMEOUT_MS 1000
#define DUPLICATE_DELAY_MS 3000
#define DUPLICATE_PERCENT 3

enum kind
{
  EVENT_PEER,
  EVENT_HELLO,
  EVENT_RENEW,
  EVENT_REPLY,
  EVENT_APPEND,
  EVENT_APPEND_DONE,
  EVENT_END
};

struct sim_event
{
  struct sim_event *next;
  int64_t at_ms;
  enum kind kind;
  uint32_t from;
  uint32_t to;
  uint64_t id;
  bool ok;
  struct bgap_buffer bytes;
};

int64_t
sim_server_clock (const struct sim *sim, uint32_t index)
{
  const struct sim_server *server = &sim->servers[index];
  return server->offset_ms + sim->now_ms * server->rate / SIM_RATE_UNIT;
}

static void
_add_event (struct sim *sim, enum kind kind, uint32_t from, uint32_t to,
            int64_t delay_ms, uint64_t id, bool ok, const void *data,
            size_t size)
{
  struct sim_event *event = calloc (1, sizeof *event);
  assert_non_null (event);
  *event = (struct sim_event){ .at_ms = sim->now_ms + delay_ms,
                               .kind = kind,
                               .from = from,
                               .to = to,
                               .id = id,
                               .ok = ok };
  bgap_buffer_append (&event->bytes, data, size);
  struct sim_event **at = &sim->events;
  while (*at && (*at)->at_ms <= event->at_ms)
    at = &(*at)->next;
  event->next = *at;
  *at = event;
}

static int64_t
_draw_delay (struct sim *sim)
{
  return 1 + (int64_t)bgap_random_below (&sim->random, 3);
}

static bool
_draw_drop (struct sim *sim)
{
  return bgap_random_below (&sim->random, 100) < sim->drop_percent;
}

/* Sends a message between processes. While messages are dropped, some are also
   duplicated, and the copy arrives up to DUPLICATE_DELAY_MS later.  */
static void
_send (struct sim *sim, enum kind kind, uint32_t from, uint32_t to,
       const void *data, size_t size)
{
  if (!_draw_drop (sim))
    _add_event (sim, kind, from, to, _draw_delay (sim), 0, true, data, size);
  if (sim->drop_percent > 0
      && bgap_random_below (&sim->random, 100) < DUPLICATE_PERCENT)
    _add_event (sim, kind, from, to,
                (int64_t)bgap_random_below (&sim->random, DUPLICATE_DELAY_MS),
                0, true, data, size);
}

static int
_find_engine (const struct sim *sim, const char *name)
{
  for (uint32_t i = 0; i < sim->engine_count; i++)
    if (strcmp (sim->engines[i].name, name) == 0)
      return (int)i;
  return -1;
}

static int
_find_server (const struct sim *sim, const char *name)
{
  for (uint32_t i = 0; i < sim->server_count; i++)
    if (strcmp (sim->servers[i].name, name) == 0)
      return (int)i;
  return -1;
}

static void
_execute_action (struct sim *sim, uint32_t index,
                 const struct bgap_engine_action *action)
{
  struct sim_engine *engine = &sim->engines[index];
  const void *data = action->bytes.data;
  size_t size = action->bytes.size;
  int to;
  switch (action->kind)
    {
    case BGAP_ACTION_APPEND:
      _add_event (sim, EVENT_APPEND, index, index, APPEND_MS, action->id, true,
                  data, size);
      return;
    case BGAP_ACTION_READ_LOG:
      engine->read_from = action->from;
      engine->read_until_ms = sim->now_ms + READ_TIMEOUT_MS;
      return;
    case BGAP_ACTION_READ_END:
      _add_event (sim, EVENT_END, index, index, READ_MS, 0, true, NULL, 0);
      return;
    case BGAP_ACTION_SEND_PEER:
      to = _find_engine (sim, action->target);
      if (to >= 0 && !sim->cut[index][to])
        _send (sim, EVENT_PEER, index, (uint32_t)to, data, size);
      return;
    case BGAP_ACTION_HELLO:
    case BGAP_ACTION_RENEW:
      to = _find_server (sim, action->target);
      if (to >= 0 && !sim->server_cut[index][to])
        _send (sim,
               action->kind == BGAP_ACTION_HELLO ? EVENT_HELLO : EVENT_RENEW,
               index, (uint32_t)to, data, size);
      return;
    case BGAP_ACTION_LOG:
      if (getenv ("SIM_VERBOSE"))
        fprintf (stderr, "%lld %s %.*s\n", (long long)sim->now_ms,
                 engine->name, (int)size, (const char *)data);
      return;
    }
}

static void
_execute_actions (struct sim *sim, uint32_t index)
{
  struct bgap_engine_action action;
  struct bgap_engine *engine = sim->engines[index].engine;
  while (engine && bgap_engine_next_action (engine, &action))
    _execute_action (sim, index, &action);
}

static void
_handle_server_request (struct sim *sim, const struct sim_event *event)
{
  struct sim_server *server = &sim->servers[event->to];
  struct bgap_buffer reply = { 0 };
  struct bgap_error err = { 0 };
  int64_t clock_ms = sim_server_clock (sim, event->to);
  enum bgap_status status
      = event->kind == EVENT_HELLO
            ? bgap_holder_on_hello (server->holder, clock_ms, &reply)
            : bgap_holder_on_renew (server->holder, event->bytes.data,
                                    event->bytes.size, clock_ms, &reply, &err);
  assert_int_equal (status, BGAP_OK);
  if (!sim->server_cut[event->from][event->to])
    _send (sim, EVENT_REPLY, event->to, event->from, reply.data, reply.size);
  bgap_buffer_shutdown (&reply);
}

static void
_append_to_log (struct sim *sim, const void *data, size_t size)
{
  assert_true (sim->log_count < SIM_LOG_MAX);
  if (getenv ("SIM_VERBOSE"))
    fprintf (stderr, "%lld #%llu %.*s\n", (long long)sim->now_ms,
             (unsigned long long)sim->log_count + 1,
             size > 300 ? 300 : (int)size, (const char *)data);
  bgap_buffer_append (&sim->log[sim->log_count++], data, size);
}

void
sim_append (struct sim *sim, const char *text)
{
  _append_to_log (sim, text, strlen (text));
}

/* Passes an event to an engine.  */
static void
_handle_engine_event (struct sim *sim, const struct sim_event *event)
{
  struct sim_engine *target = &sim->engines[event->to];
  bool log_ok = sim->log_up && !target->log_cut;
  switch (event->kind)
    {
    case EVENT_PEER:
      bgap_engine_on_peer_message (
          target->engine, sim->engines[event->from].name, event->bytes.data,
          event->bytes.size, sim->now_ms);
      break;
    case EVENT_REPLY:
      bgap_engine_on_server_reply (
          target->engine, sim->servers[event->from].name, event->bytes.data,
          event->bytes.size, sim->now_ms);
      break;
    case EVENT_APPEND:
      if (log_ok)
        _append_to_log (sim, event->bytes.data, event->bytes.size);
      /* Some replies are lost although the record was appended.  */
      _add_event (sim, EVENT_APPEND_DONE, event->to, event->to, READ_MS,
                  event->id, log_ok && !_draw_drop (sim), NULL, 0);
      break;
    case EVENT_APPEND_DONE:
      bgap_engine_on_append_done (target->engine, event->id,
                                  event->ok ? BGAP_OK : BGAP_ERR_IO,
                                  sim->now_ms);
      break;
    default:
      bgap_engine_on_log_end (target->engine, log_ok ? BGAP_OK : BGAP_ERR_IO,
                              sim->log_count + 1, sim->now_ms);
      break;
    }
  _execute_actions (sim, event->to);
}

static void
_dispatch (struct sim *sim, struct sim_event *event)
{
  bool to_server = event->kind == EVENT_HELLO || event->kind == EVENT_RENEW;
  bool frozen = to_server ? sim->servers[event->to].frozen
                          : sim->engines[event->to].frozen;
  if (frozen)
    {
      /* Retries the event each millisecond until the process resumes.  */
      _add_event (sim, event->kind, event->from, event->to, 1, event->id,
                  event->ok, event->bytes.data, event->bytes.size);
      return;
    }
  if (to_server && sim->servers[event->to].up)
    _handle_server_request (sim, event);
  else if (!to_server && sim->engines[event->to].engine)
    _handle_engine_event (sim, event);
}

/* Completes the read of an engine if there are records, an error or a
   time-out.  */
static void
_poll_read (struct sim *sim, uint32_t index)
{
  struct sim_engine *engine = &sim->engines[index];
  uint64_t from = engine->read_from;
  if (from == 0 || !engine->engine || engine->frozen)
    return;
  enum bgap_status status = BGAP_OK;
  if (!sim->log_up || engine->log_cut)
    status = BGAP_ERR_IO;
  else if (from < sim->log_first)
    status = BGAP_ERR_STALE;
  else if (from > sim->log_count && sim->now_ms < engine->read_until_ms)
    return;
  engine->read_from = 0;
  for (; status == BGAP_OK && from <= sim->log_count; from++)
    {
      bgap_engine_on_record (engine->engine, from, sim->log[from - 1].data,
                             sim->log[from - 1].size, sim->now_ms);
      _execute_actions (sim, index);
    }
  bgap_engine_on_read_done (engine->engine, status, sim->log_first,
                            sim->log_count + 1, sim->now_ms);
  _execute_actions (sim, index);
}

void
sim_run (struct sim *sim, int64_t ms)
{
  int64_t end_ms = sim->now_ms + ms;
  for (; sim->now_ms < end_ms; sim->now_ms++)
    {
      while (sim->events && sim->events->at_ms <= sim->now_ms)
        {
          struct sim_event *event = sim->events;
          sim->events = event->next;
          _dispatch (sim, event);
          bgap_buffer_shutdown (&event->bytes);
          free (event);
        }
      for (uint32_t i = 0; i < sim->engine_count; i++)
        {
          struct sim_engine *engine = &sim->engines[i];
          if (!engine->engine || engine->frozen)
            continue;
          _poll_read (sim, i);
          if (sim->now_ms % SIM_TICK_MS == engine->tick_offset_ms)
            bgap_engine_tick (engine->engine, sim->now_ms);
          _execute_actions (sim, i);
        }
      sim_check (sim);
    }
  assert_int_equal (sim->violations, 0);
}

void
sim_drop_events (struct sim *sim)
{
  while (sim->events)
    {
      struct sim_event *event = sim->events;
      sim->events = event->next;
      bgap_buffer_shutdown (&event->bytes);
      free (event);
    }
}
