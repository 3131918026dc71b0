#ifndef BANYANGAP_OWNERSHIP_PLACEMENT_OPS_H
#define BANYANGAP_OWNERSHIP_PLACEMENT_OPS_H

/*
 * Interface by which the engine asks a placement which entries to move where.
 *
 *   static uint32_t
 *   plan (void *context, const struct bgap_placement_view *view,
 *         struct bgap_placement_move *moves, uint32_t capacity)
 *   ...
 *   const struct bgap_placement_ops ops = { .plan = plan };
 *
 * The engine itself revokes the entries of lost and restarted servers; in the
 * view these are entries without a holder. It validates each move before it
 * carries it out, so a wrong plan can cost time but not safety.
 */

#include <stdbool.h>
#include <stdint.h>

#include "banyangap/ownership/entry.h"

/* Server index of an entry without a holder, or whose holder is not in the
   view.  */
#define BGAP_PLACEMENT_NO_SERVER UINT32_MAX

/**
 * struct bgap_placement_server - a backend server of the service
 * @zone: name of its availability zone
 * @slots: number of requests it can run at once, at least 1
 * @usable: it may receive entries
 * @draining: its entries should be moved to other servers
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
 * @key: the key; its data is NULL if the entry is a slice
 * @server: index of the holder, or BGAP_PLACEMENT_NO_SERVER
 * @previous: index of the previous holder, or BGAP_PLACEMENT_NO_SERVER
 * @moving: a revoke or grant of the entry is in progress; it must not be moved
 * @requests: requests per second as reported by the instances
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
 * struct bgap_placement_view - input of a plan
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
 * struct bgap_placement_move - planned move of entry @entry to server @server
 */
struct bgap_placement_move
{
  uint32_t entry;
  uint32_t server;
};

/**
 * struct bgap_placement_ops - operations of a placement
 * @plan: writes up to @capacity moves, at most one per entry, and returns
 *   their number; called about once per second and service, and immediately
 *   when a server is lost or entries become free
 * @context: passed to @plan
 */
struct bgap_placement_ops
{
  uint32_t (*plan) (void *context, const struct bgap_placement_view *view,
                    struct bgap_placement_move *moves, uint32_t capacity);
  void *context;
};

/**
 * bgap_placement_even() - default placement of the engine
 *
 * Distributes entries in proportion to the servers' slots. It moves only
 * entries without a holder, those of draining servers, and as many others as
 * are needed to bring every server within one entry of its share.
 */
const struct bgap_placement_ops *bgap_placement_even (void);

#endif
