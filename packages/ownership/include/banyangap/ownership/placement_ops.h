#ifndef BANYANGAP_OWNERSHIP_PLACEMENT_OPS_H
#define BANYANGAP_OWNERSHIP_PLACEMENT_OPS_H

/*
 * What the engine asks of a placement: which entry should move where.
 *
 *   static uint32_t
 *   plan (void *context, const struct bgap_placement_view *view,
 *         struct bgap_placement_move *moves, uint32_t capacity)
 *   ...
 *   const struct bgap_placement_ops ops = { .plan = plan };
 *
 * The engine revokes the entries of lost and restarted servers itself; they
 * appear in the view as entries without a holder. It checks each move again
 * before it acts on it, so a wrong plan can cost time but not safety.
 */

#include <stdbool.h>
#include <stdint.h>

#include "banyangap/ownership/entry.h"

/* Holder of an entry that has none, or whose holder is not in the view.  */
#define BGAP_PLACEMENT_NONE UINT32_MAX

/**
 * struct bgap_placement_server - a server of the service
 * @slots: requests it can run at once, at least 1
 * @usable: it may receive entries
 * @draining: its entries should move elsewhere
 * @in_flight: last reported number of running requests
 * @queued: last reported number of waiting requests
 * @load_age_ms: age of the report, or -1 if there is none
 */
struct bgap_placement_server
{
  const char *name;
  const char *zone;
  uint32_t slots;
  bool usable;
  bool draining;
  uint32_t in_flight;
  uint32_t queued;
  int64_t load_age_ms;
};

/**
 * struct bgap_placement_entry - a slice or a key
 * @slice: the slice, or the slice of the key
 * @key: NULL bytes for a slice
 * @server: index of its holder, or BGAP_PLACEMENT_NONE
 * @previous: index of its last holder, or BGAP_PLACEMENT_NONE
 * @moving: a revoke or grant of it is under way; it must not be moved
 * @requests: requests per second, as reported by the instances
 */
struct bgap_placement_entry
{
  uint32_t slice;
  struct bgap_bytes key;
  uint32_t server;
  uint32_t previous;
  bool moving;
  double requests;
};

/**
 * struct bgap_placement_view - what a plan is made from
 */
struct bgap_placement_view
{
  const char *service;
  int64_t now_ms;
  const struct bgap_placement_server *servers;
  uint32_t server_count;
  const struct bgap_placement_entry *entries;
  uint32_t entry_count;
};

/**
 * struct bgap_placement_move - entry @entry goes to server @server
 */
struct bgap_placement_move
{
  uint32_t entry;
  uint32_t server;
};

/**
 * struct bgap_placement_ops - a placement
 * @plan: writes up to @capacity moves, at most one per entry, and returns
 *   their number; called about once a second per service, and at once when a
 *   server is lost or entries are free
 * @context: passed to @plan
 */
struct bgap_placement_ops
{
  uint32_t (*plan) (void *context, const struct bgap_placement_view *view,
                    struct bgap_placement_move *moves, uint32_t capacity);
  void *context;
};

/**
 * bgap_placement_even() - the engine's default: entries in proportion to
 * slots, moving only entries without a holder, those of draining servers, and
 * as many as it takes to bring every server within one entry of its share
 */
const struct bgap_placement_ops *bgap_placement_even (void);

#endif
