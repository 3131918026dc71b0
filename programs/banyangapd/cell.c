#include "cell.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "banyangap/base/log.h"
#include "control_call.h"
#include "message_kinds.h"
#include "now.h"

/* Largest number of records per read, and how long a read waits for the first
   one.  */
#define READ_LIMIT 500
#define READ_WAIT_MS 1000

/* An append that the log has not answered yet.  */
struct bgap_cell_append
{
  struct bgap_cell *cell;
  uint64_t id;
  struct bgap_cell_append *prev;
  struct bgap_cell_append *next;
};

static enum bgap_status
_bgap_cell_status_of_answer (enum bgap_answer answer)
{
  static const enum bgap_status statuses[BGAP_ANSWER_COUNT] = {
    [BGAP_ANSWER_OK] = BGAP_OK,
    [BGAP_ANSWER_REFUSED] = BGAP_ERR_UNAVAILABLE,
    [BGAP_ANSWER_UNKNOWN] = BGAP_ERR_TIMEOUT,
    [BGAP_ANSWER_TRUNCATED] = BGAP_ERR_STALE,
  };
  return statuses[answer];
}

static void
_bgap_cell_on_append (void *user, const struct bgap_log_append_result *result)
{
  struct bgap_cell_append *append = user;
  struct bgap_cell *cell = append->cell;
  DL_DELETE (cell->appends, append);
  bgap_engine_on_append_done (cell->engine, append->id,
                              _bgap_cell_status_of_answer (result->answer),
                              bgap_now_ms ());
  free (append);
  bgap_cell_run (cell);
}

static void
_bgap_cell_append (struct bgap_cell *cell,
                   const struct bgap_engine_action *action)
{
  const struct bgap_log_ops *log = cell->desc->log;
  struct bgap_cell_append *append = calloc (1, sizeof *append);
  if (append == NULL)
    return;
  append->cell = cell;
  append->id = action->id;
  enum bgap_status status
      = log->append (log->context, cell->stream, action->bytes.data,
                     action->bytes.size, _bgap_cell_on_append, append);
  if (status == BGAP_OK)
    {
      DL_APPEND (cell->appends, append);
      return;
    }
  free (append);
  bgap_engine_on_append_done (cell->engine, action->id, status,
                              bgap_now_ms ());
}

static void
_bgap_cell_on_read (void *user, const struct bgap_log_read_result *result)
{
  struct bgap_cell *cell = user;
  for (size_t i = 0; i < result->count; i++)
    {
      const struct bgap_log_record *record = &result->records[i];
      bgap_engine_on_record (cell->engine, (uint64_t)record->offset,
                             record->data, record->size, bgap_now_ms ());
    }
  bgap_engine_on_read_done (
      cell->engine, _bgap_cell_status_of_answer (result->answer),
      (uint64_t)result->first, (uint64_t)result->end, bgap_now_ms ());
  bgap_cell_run (cell);
}

static void
_bgap_cell_read (struct bgap_cell *cell, uint64_t from)
{
  const struct bgap_log_ops *log = cell->desc->log;
  enum bgap_status status
      = log->read (log->context, cell->stream, (int64_t)from, READ_LIMIT,
                   READ_WAIT_MS, _bgap_cell_on_read, cell);
  if (status != BGAP_OK)
    bgap_engine_on_read_done (cell->engine, status, 0, 0, bgap_now_ms ());
}

static void
_bgap_cell_on_end (void *user, const struct bgap_log_bounds_result *result)
{
  struct bgap_cell *cell = user;
  bgap_engine_on_log_end (cell->engine,
                          _bgap_cell_status_of_answer (result->answer),
                          (uint64_t)result->end, bgap_now_ms ());
  bgap_cell_run (cell);
}

static void
_bgap_cell_read_end (struct bgap_cell *cell)
{
  const struct bgap_log_ops *log = cell->desc->log;
  enum bgap_status status
      = log->bounds (log->context, cell->stream, _bgap_cell_on_end, cell);
  if (status != BGAP_OK)
    bgap_engine_on_log_end (cell->engine, status, 0, bgap_now_ms ());
}

static void
_bgap_cell_send (struct bgap_cell *cell,
                 const struct bgap_engine_action *action)
{
  struct bgap_buffer bytes = { 0 };
  if (bgap_buffer_append (&bytes, cell->name, strlen (cell->name) + 1)
          == BGAP_OK
      && bgap_buffer_append (&bytes, action->bytes.data, action->bytes.size)
             == BGAP_OK)
    bgap_peer_send (cell->desc->peer, action->target, BGAP_MESSAGE_CELL,
                    bytes.data, bytes.size);
  bgap_buffer_shutdown (&bytes);
}

static void
_bgap_cell_on_server_reply (void *context,
                            const struct bgap_control_result *result)
{
  struct bgap_cell *cell = context;
  if (result->end != BGAP_CALL_COMPLETE || result->status != 200
      || result->body == NULL)
    return;
  if (bgap_engine_on_server_reply (cell->engine, result->upstream,
                                   result->body, result->body_size,
                                   bgap_now_ms ())
      != BGAP_OK)
    bgap_log_warn ("ownership",
                   "malformed reply to a hello or a renewal; server=%s",
                   result->upstream);
  bgap_cell_run (cell);
}

static void
_bgap_cell_call_server (struct bgap_cell *cell,
                        const struct bgap_engine_action *action)
{
  const struct bgap_upstream *upstream
      = bgap_upstreams_find (cell->desc->upstreams, action->target);
  if (upstream == NULL)
    return;
  const char *target
      = action->kind == BGAP_ACTION_HELLO ? "/.bgap/hello" : "/.bgap/renew";
  bgap_control_call (cell->desc->upstreams, upstream, target,
                     action->bytes.data, action->bytes.size,
                     _bgap_cell_on_server_reply, cell);
}

static void
_bgap_cell_log (const struct bgap_cell *cell,
                const struct bgap_engine_action *action)
{
  const char *text = action->bytes.data;
  if (action->warning)
    bgap_log_warn ("ownership", "%s; cell=%s", text, cell->name);
  else
    bgap_log_info ("ownership", "%s; cell=%s", text, cell->name);
}

static void
_bgap_cell_execute (struct bgap_cell *cell,
                    const struct bgap_engine_action *action)
{
  switch (action->kind)
    {
    case BGAP_ACTION_APPEND:
      _bgap_cell_append (cell, action);
      return;
    case BGAP_ACTION_READ_LOG:
      _bgap_cell_read (cell, action->from);
      return;
    case BGAP_ACTION_READ_END:
      _bgap_cell_read_end (cell);
      return;
    case BGAP_ACTION_SEND_PEER:
      _bgap_cell_send (cell, action);
      return;
    case BGAP_ACTION_HELLO:
    case BGAP_ACTION_RENEW:
      _bgap_cell_call_server (cell, action);
      return;
    case BGAP_ACTION_LOG:
      _bgap_cell_log (cell, action);
      return;
    }
}

void
bgap_cell_run (struct bgap_cell *cell)
{
  struct bgap_engine_action action;
  if (cell->running)
    return;
  cell->running = true;
  while (bgap_engine_next_action (cell->engine, &action))
    _bgap_cell_execute (cell, &action);
  cell->running = false;
}

struct bgap_cell *
bgap_cell_new (const struct bgap_cells_desc *desc, const char *name,
               uint64_t incarnation, enum bgap_witness_policy policy)
{
  struct bgap_cell *cell = calloc (1, sizeof *cell);
  struct bgap_error err = { 0 };
  if (cell == NULL)
    return NULL;
  cell->desc = desc;
  snprintf (cell->name, sizeof cell->name, "%s", name);
  snprintf (cell->stream, sizeof cell->stream, "ownership.%s", name);
  cell->placer = bgap_placer_new ();
  if (cell->placer == NULL)
    {
      free (cell);
      return NULL;
    }
  const struct bgap_engine_desc engine_desc = {
    .cell = cell->name,
    .self = desc->settings->name,
    .zone = desc->settings->zone,
    .incarnation = incarnation,
    .now_ms = bgap_now_ms (),
    .policy = policy,
    .placement = bgap_placer_ops (cell->placer),
    .deadline_max_ms = BGAP_CELLS_DEADLINE_MAX_MS,
  };
  if (bgap_engine_setup (&cell->engine, &engine_desc, &err) != BGAP_OK)
    {
      bgap_log_error ("ownership", "cannot create cell; cell=%s reason=%s",
                      name, err.message);
      bgap_placer_free (cell->placer);
      free (cell);
      return NULL;
    }
  bgap_log_info ("ownership", "following cell; cell=%s", name);
  return cell;
}

void
bgap_cell_free (struct bgap_cell *cell)
{
  struct bgap_cell_append *append;
  struct bgap_cell_append *next;
  DL_FOREACH_SAFE (cell->appends, append, next) free (append);
  bgap_engine_shutdown (cell->engine);
  bgap_placer_free (cell->placer);
  free (cell);
}
