#ifndef BANYANGAP_REGISTRY_ZONE_VIEW_H
#define BANYANGAP_REGISTRY_ZONE_VIEW_H

/*
 * The evacuated availability zones, as known to this instance. The operator
 * keeps a record for each of them; its value does not matter.
 *
 *   struct bgap_zone_view *view = bgap_zone_view_new (&ops);
 *   bgap_zone_view_put (view, now_ms, "zone-a", synced_ms);
 *   if (bgap_zone_view_is_evacuated (view, "zone-a"))
 *     ...
 *   bgap_zone_view_remove (view, now_ms, "zone-a");
 *   bgap_zone_view_free (view);
 *
 * A load replaces the view: zones that are not put between
 * bgap_zone_view_begin_load() and bgap_zone_view_end_load() are removed.
 * While the store is away nothing is put or removed, so that the last known
 * state applies.
 */

#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "banyangap/base/status.h"
#include "banyangap/registry/route_table.h"

/* Time that a request and a connection for it need at most to reach a server.
   A connection is given up after 0.3 s; the rest is for a busy machine.  */
#define BGAP_ZONE_DELIVERY_MS 1000

/* Maximum number of ended evacuations that are remembered.  */
#define BGAP_ZONE_VIEW_ENDED_MAX 64u

/**
 * struct bgap_zone - a zone that is evacuated, or was
 * @name: name of the zone; it need not have any servers
 * @since_ms: when this instance learned of the evacuation
 * @absent_ms: time at which the store certainly had no record of it, 0 if
 *   none is known
 * @ended_ms: when this instance learned of its end, 0 if it is evacuated
 * @seen: it was put since bgap_zone_view_begin_load()
 */
struct bgap_zone
{
  char name[BGAP_REGISTRY_NAME_SIZE];
  int64_t since_ms;
  int64_t absent_ms;
  int64_t ended_ms;
  bool seen;
  UT_hash_handle hh;
};

/**
 * struct bgap_zone_view_ops - callbacks
 * @changed: the evacuation of a zone has begun or ended; must not change the
 *   view
 */
struct bgap_zone_view_ops
{
  void (*changed) (void *context, const struct bgap_zone *zone);
  void *context;
};

struct bgap_zone_view;

/**
 * bgap_zone_view_new() - create an empty view, or return NULL without memory
 */
struct bgap_zone_view *
bgap_zone_view_new (const struct bgap_zone_view_ops *ops);

/**
 * bgap_zone_view_free() - free the view without calling @changed; NULL is
 * allowed
 */
void bgap_zone_view_free (struct bgap_zone_view *view);

/**
 * bgap_zone_view_put() - a record of an evacuation has been read
 * @absent_ms: the record was appended after this time; 0 if not known
 *
 * Return: BGAP_OK, also if the zone was evacuated already, BGAP_ERR_INVALID if
 * no zone can have the name, or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_zone_view_put (struct bgap_zone_view *view,
                                     int64_t now_ms, const char *name,
                                     int64_t absent_ms);

/**
 * bgap_zone_view_remove() - a record has been removed
 */
void bgap_zone_view_remove (struct bgap_zone_view *view, int64_t now_ms,
                            const char *name);

/**
 * bgap_zone_view_begin_load() - all records are about to be put; a load that
 * was begun before and has not ended is void
 */
void bgap_zone_view_begin_load (struct bgap_zone_view *view);

/**
 * bgap_zone_view_end_load() - remove the zones that have not been put since
 * bgap_zone_view_begin_load()
 */
void bgap_zone_view_end_load (struct bgap_zone_view *view, int64_t now_ms);

/**
 * bgap_zone_view_find() - the zone if it is evacuated, else NULL
 */
const struct bgap_zone *bgap_zone_view_find (const struct bgap_zone_view *view,
                                             const char *name);

/**
 * bgap_zone_view_ended_ms() - time since this instance learned that the last
 * evacuation of a zone has ended
 *
 * Return: milliseconds, -1 if the zone is evacuated or no end is known. A
 * process that starts knows no ends.
 */
int64_t bgap_zone_view_ended_ms (const struct bgap_zone_view *view,
                                 int64_t now_ms, const char *name);

/**
 * bgap_zone_view_count() - number of evacuated zones
 */
uint32_t bgap_zone_view_count (const struct bgap_zone_view *view);

/**
 * bgap_zone_view_first() - first evacuated zone, or NULL; the next one is its
 * @hh.next
 */
const struct bgap_zone *
bgap_zone_view_first (const struct bgap_zone_view *view);

/**
 * bgap_zone_grace_ms() - time for which the holders of keys in an evacuated
 * zone may still get requests for them, while the keys move
 * @evacuate_ms: time after the record was acknowledged from which no request
 *   may reach the zone
 *
 * It ends half of @evacuate_ms after this instance learned of the evacuation,
 * and early enough for the last request to arrive in time, however late the
 * instance learned of it. There is none if that is not known.
 *
 * Return: milliseconds from now on, 0 if the time is over.
 */
int64_t bgap_zone_grace_ms (const struct bgap_zone *zone, int64_t now_ms,
                            int64_t evacuate_ms);

#endif
