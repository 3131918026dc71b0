#ifndef BANYANGAP_REGISTRY_SERVER_VIEW_H
#define BANYANGAP_REGISTRY_SERVER_VIEW_H

/*
 * The backend servers that have registered, as this instance knows them.
 *
 *   struct bgap_server_view *view = bgap_server_view_new (&ops);
 *   bgap_server_view_put (view, now_ms, &entry);
 *   bgap_server_view_remove (view, now_ms, "i-7f3a91c2");
 *   bgap_server_view_tick (view, now_ms);
 *   bgap_server_view_free (view);
 *
 * A registration can disappear although its server lives, when the store that
 * holds it had an outage; it is back about two seconds after the store. Hence
 * one that disappears during trouble with the store, or just after it, counts
 * as gone only if it is not back BGAP_SERVER_VIEW_MISSING_MAX_MS after the
 * store.
 */

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "banyangap/registry/route_table.h"

/* How long after the end of trouble with the store a registration may be away.
   Servers that live are back about two seconds after the store.  */
#define BGAP_SERVER_VIEW_MISSING_MAX_MS 2000

/* The registrations must have been read so long after the store's return, or a
   server may be back without this instance knowing. Above the time that most
   servers take to register again, and with reads each 1.05 s early enough to
   take a server as gone 2.25 s after the store's return.  */
#define BGAP_SERVER_VIEW_REREAD_MS 1200

/* What has lapsed in an outage is seen with the first reads after it. Later
   removals are those of servers that leave.  */
#define BGAP_SERVER_VIEW_RECOVERY_MS 600

/**
 * struct bgap_server_entry - a registration
 * @id: identifies the server; a restarted one may have the same
 * @address: numeric address and port
 * @software: version of its software, for logs
 * @slots: requests it runs at a time
 * @draining: it leaves and wants no new requests
 * @warmup_ms: it is slow for so long from now on
 * @started_ms: UTC time of its start, 0 if it does not say
 * @sequence: counts the registrations of one life
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
 * enum bgap_server_change - what a registration changed
 */
enum bgap_server_change
{
  BGAP_SERVER_ADDED,
  BGAP_SERVER_CHANGED,
  BGAP_SERVER_RESTARTED, /* a new process under the same id */
  BGAP_SERVER_DRAINING,
  BGAP_SERVER_GONE
};

/**
 * bgap_server_change_name() - short name, never NULL
 */
const char *bgap_server_change_name (enum bgap_server_change change);

/**
 * struct bgap_known_server - a server in the view
 * @entry: newest registration
 * @missing_since_ms: its registration disappeared, 0 if it is there
 * @user_data: of the user of the view
 */
struct bgap_known_server
{
  struct bgap_server_entry entry;
  int64_t missing_since_ms;
  bool seen;
  void *user_data;
  UT_hash_handle hh;
};

/**
 * struct bgap_server_view_ops - what the view reports
 * @changed: after GONE the server is freed
 */
struct bgap_server_view_ops
{
  void (*changed) (void *context, struct bgap_known_server *server,
                   enum bgap_server_change change);
  void *context;
};

struct bgap_server_view;

/**
 * bgap_server_view_new() - an empty view, or NULL without memory
 */
struct bgap_server_view *
bgap_server_view_new (const struct bgap_server_view_ops *ops);

/**
 * bgap_server_view_free() - free it, without reports; NULL is allowed
 */
void bgap_server_view_free (struct bgap_server_view *view);

/**
 * bgap_server_view_put() - a registration was read
 *
 * One of an earlier life, or an older one of the same life, is ignored.
 */
void bgap_server_view_put (struct bgap_server_view *view, int64_t now_ms,
                           const struct bgap_server_entry *entry);

/**
 * bgap_server_view_remove() - a registration was removed
 */
void bgap_server_view_remove (struct bgap_server_view *view, int64_t now_ms,
                              const char *id);

/**
 * bgap_server_view_begin_load() - all registrations follow
 */
void bgap_server_view_begin_load (struct bgap_server_view *view);

/**
 * bgap_server_view_end_load() - those that did not follow are removed
 */
void bgap_server_view_end_load (struct bgap_server_view *view, int64_t now_ms);

/**
 * bgap_server_view_store_failed() - a call to the store failed
 */
void bgap_server_view_store_failed (struct bgap_server_view *view,
                                    int64_t now_ms);

/**
 * bgap_server_view_store_answered() - a call to the store succeeded; before
 * what it has brought is put or removed
 */
void bgap_server_view_store_answered (struct bgap_server_view *view,
                                      int64_t now_ms);

/**
 * bgap_server_view_tick() - remove what has been missing for too long
 */
void bgap_server_view_tick (struct bgap_server_view *view, int64_t now_ms);

/**
 * bgap_server_view_find() - server of an id, or NULL
 */
struct bgap_known_server *
bgap_server_view_find (const struct bgap_server_view *view, const char *id);

/**
 * bgap_server_view_first() - first server; the next one is @hh.next
 */
struct bgap_known_server *
bgap_server_view_first (const struct bgap_server_view *view);

#endif
