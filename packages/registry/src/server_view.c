#include "banyangap/registry/server_view.h"

#include <stdlib.h>
#include <string.h>

/* How long the last registration of a server that is gone is remembered:
   longer than a copy is old from which the store is restored.  */
#define FORMER_RETENTION_MS 60000

/* Difference between two stated ends of a warm-up that counts as a change.
   Each registration is read up to a second after it was written.  */
#define WARMUP_CHANGE_MS 1100

/**
 * struct bgap_server_view - the view
 * @former: servers that are gone, the one that has been so for longest first
 * @in_outage: a call to the store failed, and no registrations were read since
 * @had_outage: a call to the store has failed before
 * @reachable_ms: when the first call succeeded after the last one that failed,
 *   0 if none has
 * @returned_ms: latest time of the return of the store from the last outage
 * @recovered_ms: first read of the registrations after the last outage
 * @answered_ms: time of the last read of the registrations
 * @synced_ms: all registrations that were written before this time are known
 */
struct bgap_server_view
{
  struct bgap_server_view_ops ops;
  struct bgap_known_server *servers;
  struct bgap_known_server *former;
  bool in_outage;
  bool had_outage;
  int64_t reachable_ms;
  int64_t returned_ms;
  int64_t recovered_ms;
  int64_t answered_ms;
  int64_t synced_ms;
};

const char *
bgap_server_change_name (enum bgap_server_change change)
{
  static const char *const names[] = {
    [BGAP_SERVER_ADDED] = "added",         [BGAP_SERVER_CHANGED] = "changed",
    [BGAP_SERVER_RESTARTED] = "restarted", [BGAP_SERVER_DRAINING] = "draining",
    [BGAP_SERVER_RETURNED] = "returned",   [BGAP_SERVER_GONE] = "gone",
  };
  return names[change];
}

struct bgap_server_view *
bgap_server_view_new (const struct bgap_server_view_ops *ops)
{
  struct bgap_server_view *view = calloc (1, sizeof *view);
  if (view != NULL)
    view->ops = *ops;
  return view;
}

static void
_bgap_view_free_servers (struct bgap_known_server **servers)
{
  struct bgap_known_server *server;
  struct bgap_known_server *next;
  HASH_ITER (hh, *servers, server, next)
  {
    HASH_DEL (*servers, server);
    free (server);
  }
}

void
bgap_server_view_free (struct bgap_server_view *view)
{
  if (view == NULL)
    return;
  _bgap_view_free_servers (&view->servers);
  _bgap_view_free_servers (&view->former);
  free (view);
}

static void
_bgap_view_report (struct bgap_server_view *view,
                   struct bgap_known_server *server,
                   enum bgap_server_change change)
{
  view->ops.changed (view->ops.context, server, change);
}

static struct bgap_known_server *
_bgap_view_find_former (const struct bgap_server_view *view, const char *id)
{
  struct bgap_known_server *server;
  HASH_FIND_STR (view->former, id, server);
  return server;
}

/* Forgets servers that have been gone for a long time.  */
static void
_bgap_view_prune_former (struct bgap_server_view *view, int64_t now_ms)
{
  struct bgap_known_server *former;
  struct bgap_known_server *next;
  HASH_ITER (hh, view->former, former, next)
  {
    if (now_ms - former->gone_ms < FORMER_RETENTION_MS)
      return;
    HASH_DEL (view->former, former);
    free (former);
  }
}

static void
_bgap_view_drop (struct bgap_server_view *view, int64_t now_ms,
                 struct bgap_known_server *server)
{
  struct bgap_known_server *replaced;
  HASH_DEL (view->servers, server);
  _bgap_view_prune_former (view, now_ms);
  server->gone_ms = now_ms;
  HASH_REPLACE_STR (view->former, entry.id, server, replaced);
  free (replaced);
  /* What the server has stated may be stored while its removal is reported. */
  _bgap_view_report (view, server, BGAP_SERVER_GONE);
  server->user_data = NULL;
}

/* Warm-up.  */

static void
_bgap_view_assume_cold (const struct bgap_server_view *view, int64_t now_ms,
                        struct bgap_known_server *server,
                        enum bgap_warmup_source source, bool is_registered)
{
  int64_t duration_ms = 0;
  if (view->ops.warmup_ms != NULL)
    duration_ms
        = view->ops.warmup_ms (view->ops.context, server->entry.service);
  bgap_warmup_assume (&server->warmup, now_ms, source, duration_ms,
                      is_registered);
}

void
bgap_server_view_assume_cold (struct bgap_server_view *view, int64_t now_ms,
                              struct bgap_known_server *server,
                              enum bgap_warmup_source source)
{
  _bgap_view_assume_cold (view, now_ms, server, source, false);
}

void
bgap_server_view_zone_returned (struct bgap_server_view *view, int64_t now_ms,
                                const char *zone)
{
  for (struct bgap_known_server *server = view->servers; server != NULL;
       server = server->hh.next)
    if (strcmp (server->entry.zone, zone) == 0)
      bgap_server_view_assume_cold (view, now_ms, server,
                                    BGAP_WARMUP_EVACUATED);
}

/* Applies a new registration of @server to its warm-up. @previous is the last
   known one, NULL if there is none: then the server has joined, or the whole
   system starts.  */
static void
_bgap_view_update_warmup (struct bgap_server_view *view, int64_t now_ms,
                          struct bgap_known_server *server,
                          const struct bgap_known_server *previous,
                          bool has_returned)
{
  const struct bgap_server_entry *entry = &server->entry;
  bool is_start
      = previous != NULL && previous->entry.started_ms != entry->started_ms;
  if (is_start || has_returned)
    _bgap_view_assume_cold (
        view, now_ms, server,
        is_start ? BGAP_WARMUP_STARTED : BGAP_WARMUP_RETURNED, true);
  /* The registration that reveals a start may not state the warm-up yet.  */
  if (entry->warmup_ms > 0 || (!is_start && !has_returned))
    bgap_warmup_registered (&server->warmup, now_ms, entry->warmup_ms,
                            view->synced_ms);
}

/* End of the warm-up that the registration of a server states, 0 for none.  */
static int64_t
_bgap_view_stated_end_ms (const struct bgap_known_server *server,
                          int64_t now_ms)
{
  return server->entry.warmup_ms > 0 ? now_ms + server->entry.warmup_ms : 0;
}

/* Whether the warm-up that a new registration states differs from the one that
   was last reported, apart from the time that has passed.  */
static bool
_bgap_view_states_other_warmup (const struct bgap_known_server *server,
                                int64_t now_ms)
{
  int64_t reported_ms = server->reported_cold_until_ms;
  int64_t until_ms = _bgap_view_stated_end_ms (server, now_ms);
  if (reported_ms <= now_ms || until_ms == 0)
    return (reported_ms > now_ms) != (until_ms != 0);
  return llabs (until_ms - reported_ms) >= WARMUP_CHANGE_MS;
}

/* Keeps what the process of @server has stated itself. @previous may be NULL
   or an earlier process.  */
static void
_bgap_view_keep_statements (struct bgap_known_server *server,
                            const struct bgap_known_server *previous)
{
  if (previous == NULL
      || previous->entry.started_ms != server->entry.started_ms)
    return;
  server->leaving_since_ms = previous->leaving_since_ms;
  server->leaving_notice = previous->leaving_notice;
  server->paused_until_ms = previous->paused_until_ms;
  server->limit_per_s = previous->limit_per_s;
  server->limit_heard_ms = previous->limit_heard_ms;
  if (server->leaving_since_ms != 0)
    server->entry.draining = true;
}

/* Sets since when the process of @server drains. @previous may be NULL or an
   earlier process.  */
static void
_bgap_view_date_drain (struct bgap_known_server *server, int64_t now_ms,
                       const struct bgap_known_server *previous)
{
  bool is_same = previous != NULL
                 && previous->entry.started_ms == server->entry.started_ms;
  server->draining_since_ms = 0;
  if (server->entry.draining)
    server->draining_since_ms = is_same && previous->draining_since_ms != 0
                                    ? previous->draining_since_ms
                                    : now_ms;
}

static void
_bgap_view_add (struct bgap_server_view *view, int64_t now_ms,
                const struct bgap_server_entry *entry)
{
  const struct bgap_known_server *former
      = _bgap_view_find_former (view, entry->id);
  struct bgap_known_server *server = calloc (1, sizeof *server);
  if (server == NULL)
    return;
  server->entry = *entry;
  server->seen = true;
  _bgap_view_keep_statements (server, former);
  _bgap_view_date_drain (server, now_ms, former);
  _bgap_view_update_warmup (view, now_ms, server, former, former != NULL);
  server->reported_cold_until_ms = _bgap_view_stated_end_ms (server, now_ms);
  HASH_ADD_STR (view->servers, entry.id, server);
  _bgap_view_report (view, server, BGAP_SERVER_ADDED);
  if (server->entry.draining)
    _bgap_view_report (view, server, BGAP_SERVER_DRAINING);
}

static bool
_bgap_view_is_stale (const struct bgap_server_entry *known,
                     const struct bgap_server_entry *entry)
{
  if (entry->started_ms != known->started_ms)
    return entry->started_ms < known->started_ms;
  return entry->sequence < known->sequence;
}

/* Whether a registration is the one with which the server was last known, or
   an older one: a store that was restored from a copy has it again.  */
static bool
_bgap_view_is_former (const struct bgap_server_view *view,
                      const struct bgap_server_entry *entry)
{
  const struct bgap_known_server *former
      = _bgap_view_find_former (view, entry->id);
  if (former == NULL)
    return false;
  return _bgap_view_is_stale (&former->entry, entry)
         || (entry->started_ms == former->entry.started_ms
             && entry->sequence == former->entry.sequence);
}

void
bgap_server_view_put (struct bgap_server_view *view, int64_t now_ms,
                      const struct bgap_server_entry *entry)
{
  struct bgap_known_server *server = bgap_server_view_find (view, entry->id);
  if (server == NULL)
    {
      if (!_bgap_view_is_former (view, entry))
        _bgap_view_add (view, now_ms, entry);
      return;
    }
  server->seen = true;
  if (_bgap_view_is_stale (&server->entry, entry))
    return;
  const struct bgap_known_server previous = *server;
  const struct bgap_server_entry old = previous.entry;
  /* The same id with another address or service is another server.  */
  if (strcmp (old.address, entry->address) != 0
      || strcmp (old.service, entry->service) != 0)
    {
      _bgap_view_drop (view, now_ms, server);
      _bgap_view_add (view, now_ms, entry);
      return;
    }
  bool was_missing = server->missing_since_ms != 0;
  server->missing_since_ms = 0;
  server->entry = *entry;
  server->leaving_since_ms = 0;
  server->leaving_notice = (struct bgap_repeat){ 0 };
  server->paused_until_ms = 0;
  server->limit_per_s = 0;
  server->limit_heard_ms = 0;
  _bgap_view_keep_statements (server, &previous);
  _bgap_view_date_drain (server, now_ms, &previous);
  /* A registration that expired in an outage of the store says nothing about
     its server, and the same one may be read again: its warm-up is a time from
     when it was written.  */
  bool is_new
      = old.started_ms != entry->started_ms || old.sequence != entry->sequence;
  if (is_new)
    _bgap_view_update_warmup (view, now_ms, server, &previous, false);
  bool states_warmup
      = is_new && _bgap_view_states_other_warmup (server, now_ms);
  if (states_warmup)
    server->reported_cold_until_ms = _bgap_view_stated_end_ms (server, now_ms);
  if (was_missing)
    _bgap_view_report (view, server, BGAP_SERVER_RETURNED);
  if (old.started_ms != entry->started_ms)
    _bgap_view_report (view, server, BGAP_SERVER_RESTARTED);
  bool is_draining = server->entry.draining;
  if (is_draining && !old.draining)
    _bgap_view_report (view, server, BGAP_SERVER_DRAINING);
  else if (old.slots != entry->slots || old.draining != is_draining
           || strcmp (old.zone, entry->zone) != 0 || states_warmup)
    _bgap_view_report (view, server, BGAP_SERVER_CHANGED);
}

void
bgap_server_view_remove (struct bgap_server_view *view, int64_t now_ms,
                         const char *id)
{
  struct bgap_known_server *server = bgap_server_view_find (view, id);
  if (server == NULL || server->missing_since_ms != 0)
    return;
  bool is_store_recovering
      = view->in_outage
        || (view->had_outage
            && now_ms - view->recovered_ms < BGAP_SERVER_VIEW_RECOVERY_MS);
  if (server->entry.draining || !is_store_recovering)
    _bgap_view_drop (view, now_ms, server);
  else
    server->missing_since_ms = now_ms;
}

bool
bgap_server_view_leaving (struct bgap_server_view *view, const char *id,
                          int64_t started_ms, int64_t since_ms)
{
  struct bgap_known_server *server
      = bgap_server_view_process (view, id, started_ms);
  if (server == NULL || server->leaving_since_ms != 0)
    return false;
  server->leaving_since_ms = since_ms;
  bool was_draining = server->entry.draining;
  server->entry.draining = true;
  if (server->draining_since_ms == 0)
    server->draining_since_ms = since_ms;
  bool is_known = bgap_server_view_find (view, id) == server;
  if (is_known && !was_draining)
    _bgap_view_report (view, server, BGAP_SERVER_DRAINING);
  return true;
}

void
bgap_server_view_limited (struct bgap_server_view *view, const char *id,
                          int64_t started_ms, double per_s, int64_t heard_ms)
{
  struct bgap_known_server *server
      = bgap_server_view_process (view, id, started_ms);
  if (server == NULL || heard_ms < server->limit_heard_ms)
    return;
  server->limit_per_s = per_s;
  server->limit_heard_ms = heard_ms;
}

void
bgap_server_view_begin_load (struct bgap_server_view *view)
{
  struct bgap_known_server *server;
  struct bgap_known_server *next;
  HASH_ITER (hh, view->servers, server, next) server->seen = false;
}

void
bgap_server_view_end_load (struct bgap_server_view *view, int64_t now_ms)
{
  struct bgap_known_server *server;
  struct bgap_known_server *next;
  HASH_ITER (hh, view->servers, server, next)
  {
    if (!server->seen)
      bgap_server_view_remove (view, now_ms, server->entry.id);
  }
}

void
bgap_server_view_store_failed (struct bgap_server_view *view, int64_t now_ms)
{
  (void)now_ms;
  view->in_outage = true;
  view->had_outage = true;
  view->reachable_ms = 0;
}

void
bgap_server_view_store_reachable (struct bgap_server_view *view,
                                  int64_t now_ms)
{
  if (view->in_outage && view->reachable_ms == 0)
    view->reachable_ms = now_ms;
}

void
bgap_server_view_store_answered (struct bgap_server_view *view, int64_t now_ms)
{
  if (view->in_outage)
    {
      view->recovered_ms = now_ms;
      view->returned_ms
          = view->reachable_ms != 0 ? view->reachable_ms : now_ms;
    }
  view->in_outage = false;
  view->answered_ms = now_ms;
}

void
bgap_server_view_synced (struct bgap_server_view *view, int64_t synced_ms)
{
  view->synced_ms = synced_ms;
}

void
bgap_server_view_tick (struct bgap_server_view *view, int64_t now_ms)
{
  struct bgap_known_server *server;
  struct bgap_known_server *next;
  /* During an outage no server can register.  */
  if (view->in_outage)
    return;
  HASH_ITER (hh, view->servers, server, next)
  {
    if (server->missing_since_ms != 0
        && now_ms - view->returned_ms >= BGAP_SERVER_VIEW_MISSING_MAX_MS
        && view->answered_ms - view->returned_ms >= BGAP_SERVER_VIEW_REREAD_MS)
      _bgap_view_drop (view, now_ms, server);
  }
}

struct bgap_known_server *
bgap_server_view_find (const struct bgap_server_view *view, const char *id)
{
  struct bgap_known_server *server;
  HASH_FIND_STR (view->servers, id, server);
  return server;
}

struct bgap_known_server *
bgap_server_view_process (const struct bgap_server_view *view, const char *id,
                          int64_t started_ms)
{
  struct bgap_known_server *server = bgap_server_view_find (view, id);
  if (server == NULL)
    server = _bgap_view_find_former (view, id);
  return server != NULL && server->entry.started_ms == started_ms ? server
                                                                  : NULL;
}

struct bgap_known_server *
bgap_server_view_take_notice (struct bgap_server_view *view, int64_t now_ms)
{
  struct bgap_known_server *server;
  for (server = view->servers; server != NULL; server = server->hh.next)
    if (bgap_repeat_take (&server->leaving_notice, now_ms))
      return server;
  for (server = view->former; server != NULL; server = server->hh.next)
    if (now_ms - server->gone_ms < FORMER_RETENTION_MS
        && bgap_server_view_find (view, server->entry.id) == NULL
        && bgap_repeat_take (&server->leaving_notice, now_ms))
      return server;
  return NULL;
}

struct bgap_known_server *
bgap_server_view_first (const struct bgap_server_view *view)
{
  return view->servers;
}
