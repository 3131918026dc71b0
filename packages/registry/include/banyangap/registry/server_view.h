#ifndef BANYANGAP_REGISTRY_SERVER_VIEW_H
#define BANYANGAP_REGISTRY_SERVER_VIEW_H

/*
 * The registered backend servers, as known to this instance.
 *
 *   struct bgap_server_view *view = bgap_server_view_new (&ops);
 *   bgap_server_view_put (view, now_ms, &entry);
 *   bgap_server_view_remove (view, now_ms, "i-7f3a91c2");
 *   bgap_server_view_tick (view, now_ms);
 *   bgap_server_view_free (view);
 *
 * When the store has had an outage, the registration of a live server can
 * expire; the server registers again about two seconds after the recovery.
 * Hence a registration that disappears during an outage or just after it
 * counts as removed only if it is still missing
 * BGAP_SERVER_VIEW_MISSING_MAX_MS after the recovery.
 */

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "banyangap/base/repeat.h"
#include "banyangap/registry/route_table.h"
#include "banyangap/registry/warmup.h"

/* How long after the recovery of the store a registration may be missing. Live
   servers register again about two seconds after it.  */
#define BGAP_SERVER_VIEW_MISSING_MAX_MS 2000

/* How long after the recovery of the store the registrations must have been
   read once more, or a server may be back without this instance knowing. The
   value is above the time that most servers need to register again. With a
   read every 1.05 s it is early enough to remove a server 2.25 s after the
   recovery.  */
#define BGAP_SERVER_VIEW_REREAD_MS 1200

/* Registrations that expired in an outage are seen as removed by the first
   reads after it, within this time. Later removals are those of servers that
   shut down.  */
#define BGAP_SERVER_VIEW_RECOVERY_MS 600

/* Largest number of slots of a registration; one with more is malformed.  */
#define BGAP_SERVER_ENTRY_SLOTS_MAX 65535u

/**
 * struct bgap_server_entry - a registration
 * @id: identifies the server; a restarted server may have the same
 * @address: numeric address and port
 * @software: version of its software, for logs
 * @slots: number of requests it runs at a time
 * @draining: it is shutting down and wants no new requests
 * @warmup_ms: how long it is still slow after its start, from now on
 * @started_ms: UTC time of its start, 0 if unknown
 * @sequence: number of the registration since the start of its process
 */
struct bgap_server_entry
{
  char id[BGAP_REGISTRY_NAME_SIZE];
  char service[BGAP_REGISTRY_NAME_SIZE];
  char address[64];
  char zone[BGAP_REGISTRY_NAME_SIZE];
  char software[32];
  uint32_t slots;
  bool draining;
  int64_t warmup_ms;
  int64_t started_ms;
  int64_t sequence;
};

/**
 * enum bgap_server_change - change caused by a registration or its removal
 *
 * A relay forwards the registrations that cause one.
 */
enum bgap_server_change
{
  BGAP_SERVER_ADDED,
  BGAP_SERVER_CHANGED,   /* also if it states a warm-up, or its end */
  BGAP_SERVER_RESTARTED, /* a new process under the same id */
  BGAP_SERVER_DRAINING,
  BGAP_SERVER_RETURNED, /* registered again while it was missing */
  BGAP_SERVER_GONE
};

/**
 * bgap_server_change_name() - short name, never NULL
 */
const char *bgap_server_change_name (enum bgap_server_change change);

/**
 * struct bgap_known_server - a server in the view
 * @entry: newest registration
 * @missing_since_ms: when its registration disappeared, 0 if it is present
 * @gone_ms: when it was removed from the view
 * @leaving_since_ms: when it first stated itself, in an answer, that it shuts
 *   down; 0 if it has not. @entry is draining from then on.
 * @leaving_notice: repeats of the message that tells other instances so
 * @draining_since_ms: when it was first known that this process of the server
 *   drains, also if it has been removed since; 0 if it does not drain
 * @paused_until_ms: when a pause ends that it has asked this instance for
 * @limit_per_s: requests per second that this process of the server accepts
 *   from all instances together, as it has stated; 0 for no limit
 * @limit_heard_ms: when that was stated, 0 if nothing is known
 * @warmup: whether it is cold
 * @reported_cold_until_ms: end of the warm-up that was stated by the last
 *   registration that was reported as a change, 0 if it has stated none
 * @seen: it was put since bgap_server_view_begin_load
 * @user_data: for the user of the view
 */
struct bgap_known_server
{
  struct bgap_server_entry entry;
  int64_t missing_since_ms;
  int64_t gone_ms;
  int64_t leaving_since_ms;
  struct bgap_repeat leaving_notice;
  int64_t draining_since_ms;
  int64_t paused_until_ms;
  double limit_per_s;
  int64_t limit_heard_ms;
  struct bgap_warmup warmup;
  int64_t reported_cold_until_ms;
  bool seen;
  void *user_data;
  UT_hash_handle hh;
};

/**
 * struct bgap_server_view_ops - callbacks
 * @changed: a server has changed; with GONE it is no longer in the view, but
 *   bgap_server_view_leaving() and bgap_server_view_limited() still apply
 * @warmup_ms: for how long the servers of a service are cold after their
 *   start, 0 if not known; NULL is allowed
 */
struct bgap_server_view_ops
{
  void (*changed) (void *context, struct bgap_known_server *server,
                   enum bgap_server_change change);
  int64_t (*warmup_ms) (void *context, const char *service);
  void *context;
};

struct bgap_server_view;

/**
 * bgap_server_view_new() - create an empty view, or return NULL without memory
 */
struct bgap_server_view *
bgap_server_view_new (const struct bgap_server_view_ops *ops);

/**
 * bgap_server_view_free() - free the view without calling @changed; NULL is
 * allowed
 */
void bgap_server_view_free (struct bgap_server_view *view);

/**
 * bgap_server_view_put() - a registration has been read
 *
 * It is ignored if it is older than the known one, or is of an earlier process
 * of the server; if the server is gone, also if it is the one that was known.
 */
void bgap_server_view_put (struct bgap_server_view *view, int64_t now_ms,
                           const struct bgap_server_entry *entry);

/**
 * bgap_server_view_remove() - a registration has been removed
 */
void bgap_server_view_remove (struct bgap_server_view *view, int64_t now_ms,
                              const char *id);

/**
 * bgap_server_view_leaving() - a server has stated in an answer that it shuts
 * down
 * @started_ms: start of the process that stated it
 * @since_ms: when it did
 *
 * The process counts as draining from now on, whatever is registered for it
 * later and even if it is removed meanwhile.
 *
 * Return: false if this was known, or no such process of the server is.
 */
bool bgap_server_view_leaving (struct bgap_server_view *view, const char *id,
                               int64_t started_ms, int64_t since_ms);

/**
 * bgap_server_view_limited() - a server has stated a rate limit, or that it
 * has none, in an answer
 * @started_ms: start of the process that stated it
 * @per_s: the limit, 0 for none
 * @heard_ms: when it did; ignored if a later statement is known
 *
 * The limit belongs to the process: it is kept while the server is removed and
 * ends with the next process.
 */
void bgap_server_view_limited (struct bgap_server_view *view, const char *id,
                               int64_t started_ms, double per_s,
                               int64_t heard_ms);

/**
 * bgap_server_view_assume_cold() - assume that a server is cold until a
 * registration that was written after @now_ms states otherwise, or for the
 * warm-up of its service
 */
void bgap_server_view_assume_cold (struct bgap_server_view *view,
                                   int64_t now_ms,
                                   struct bgap_known_server *server,
                                   enum bgap_warmup_source source);

/**
 * bgap_server_view_zone_returned() - the evacuation of a zone has ended: its
 * servers may be cold, as in bgap_server_view_assume_cold()
 */
void bgap_server_view_zone_returned (struct bgap_server_view *view,
                                     int64_t now_ms, const char *zone);

/**
 * bgap_server_view_begin_load() - all registrations are about to be put
 */
void bgap_server_view_begin_load (struct bgap_server_view *view);

/**
 * bgap_server_view_end_load() - remove the servers that have not been put
 * since bgap_server_view_begin_load
 */
void bgap_server_view_end_load (struct bgap_server_view *view, int64_t now_ms);

/**
 * bgap_server_view_store_failed() - a call to the store has failed
 */
void bgap_server_view_store_failed (struct bgap_server_view *view,
                                    int64_t now_ms);

/**
 * bgap_server_view_store_reachable() - a call to the store has succeeded,
 * whatever it reads or writes
 *
 * Live servers register again within a fixed time of the return of the store,
 * which can be well before this instance has read the registrations.
 */
void bgap_server_view_store_reachable (struct bgap_server_view *view,
                                       int64_t now_ms);

/**
 * bgap_server_view_store_answered() - registrations have been read; must be
 * called before those in the response are put or removed
 */
void bgap_server_view_store_answered (struct bgap_server_view *view,
                                      int64_t now_ms);

/**
 * bgap_server_view_synced() - all registrations that were written before
 * @synced_ms have been put
 *
 * Those that are put later were written later, which tells whether they are
 * newer than what is known of a warm-up.
 */
void bgap_server_view_synced (struct bgap_server_view *view,
                              int64_t synced_ms);

/**
 * bgap_server_view_tick() - remove servers that have been missing for too long
 */
void bgap_server_view_tick (struct bgap_server_view *view, int64_t now_ms);

/**
 * bgap_server_view_find() - server with this id, or NULL
 */
struct bgap_known_server *
bgap_server_view_find (const struct bgap_server_view *view, const char *id);

/**
 * bgap_server_view_usual_slots() - number of slots that most servers of a
 * service have, whatever single odd registrations state
 *
 * Return: 0 if the service has no servers.
 */
uint32_t bgap_server_view_usual_slots (const struct bgap_server_view *view,
                                       const char *service);

/**
 * bgap_server_view_process() - a process of a server, also if its registration
 * has been removed; NULL if it is not the newest one that is known
 */
struct bgap_known_server *
bgap_server_view_process (const struct bgap_server_view *view, const char *id,
                          int64_t started_ms);

/**
 * bgap_server_view_take_notice() - next server for which a repeat of
 * @leaving_notice is due, or NULL; the repeat counts as sent
 *
 * A server is among them for 60 s after its registration has been removed: a
 * store that is restored from a copy may have it again.
 */
struct bgap_known_server *
bgap_server_view_take_notice (struct bgap_server_view *view, int64_t now_ms);

/**
 * bgap_server_view_first() - first server, or NULL; the next one is its
 * @hh.next
 */
struct bgap_known_server *
bgap_server_view_first (const struct bgap_server_view *view);

#endif
