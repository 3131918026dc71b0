#ifndef BANYANGAP_OWNERSHIP_PLACEMENT_H
#define BANYANGAP_OWNERSHIP_PLACEMENT_H

/*
 * Plans which entries of one service to move, split or merge.
 *
 *   struct bgap_placement placement;
 *   bgap_placement_setup (&placement, &(struct bgap_placement_desc){ 0 });
 *   struct bgap_placement_change changes[64];
 *   uint32_t count = bgap_placement_plan (&placement, &input, changes, 64);
 *   bgap_placement_shutdown (&placement);
 *
 * Call bgap_placement_plan() once per load report. Gain and cost are measured
 * in seconds of the service's total load:
 *
 *   gain = imbalance * horizon * decrease of the imbalance
 *   cost = churn * 50 ms + share * (unavailable * move time + cold start)
 *
 * The imbalance is the mean over slots of (utilisation / mean - 1)^2, and
 * share is the entry's fraction of the total load. A move is planned if its
 * gain exceeds its cost, the budget permits it, and the load of the source was
 * above and that of the target below the mean for three reports. Entries
 * without a holder and those of lost or draining servers are placed at once
 * and do not count against the budget.
 */

#include <stdbool.h>
#include <stdint.h>

#include "banyangap/base/status.h"

/* Value of @holder for an entry without a holder.  */
#define BGAP_PLACEMENT_NO_HOLDER UINT32_MAX

/* Maximum number of frequent keys tracked per service.  */
#define BGAP_PLACEMENT_MAX_KEYS 256

/**
 * enum bgap_placement_kind - kind of an input entry
 * @BGAP_PLACEMENT_SLICE: a slice
 * @BGAP_PLACEMENT_KEY: a hot key that has been split from its slice
 * @BGAP_PLACEMENT_UNSPLIT_KEY: a frequent key that is still part of its slice
 */
enum bgap_placement_kind
{
  BGAP_PLACEMENT_SLICE,
  BGAP_PLACEMENT_KEY,
  BGAP_PLACEMENT_UNSPLIT_KEY
};

/**
 * struct bgap_placement_input_entry - a slice or a key
 * @load: load in any unit that is the same for all entries; the load of a
 * slice includes that of its unsplit keys and excludes that of its split keys
 * @hash: hash of the key; unused for a slice
 * @slice: index of the entry of the key's slice; unused for a slice
 * @holder: index of the server, of the previous one if the entry is revoked,
 *   or BGAP_PLACEMENT_NO_HOLDER
 * @moving: a change is in progress; no other change is planned for the entry
 */
struct bgap_placement_input_entry
{
  enum bgap_placement_kind kind;
  double load;
  uint64_t hash;
  uint32_t slice;
  uint32_t holder;
  bool moving;
};

/**
 * struct bgap_placement_input_server - a backend server
 * @slots: number of requests that the server can run at once
 * @zone: any number that identifies the availability zone
 * @live: false for a lost server
 * @draining: the server gets no entries, and its entries are moved away
 * @cold_since_ms: start of the slow start, 0 if the server is warm
 */
struct bgap_placement_input_server
{
  uint32_t slots;
  uint32_t zone;
  bool live;
  bool draining;
  int64_t cold_since_ms;
};

/**
 * struct bgap_placement_input - one load report
 * @servers: each server must have the same index in every report
 * @now_ms: monotonic time
 */
struct bgap_placement_input
{
  const struct bgap_placement_input_entry *entries;
  uint32_t entry_count;
  const struct bgap_placement_input_server *servers;
  uint32_t server_count;
  int64_t now_ms;
};

/**
 * enum bgap_placement_action - kind of a planned change
 * @BGAP_PLACEMENT_MOVE: move the slice or key to the server
 * @BGAP_PLACEMENT_SPLIT: split the unsplit key from its slice
 * @BGAP_PLACEMENT_MERGE: merge the key into its slice
 */
enum bgap_placement_action
{
  BGAP_PLACEMENT_MOVE,
  BGAP_PLACEMENT_SPLIT,
  BGAP_PLACEMENT_MERGE
};

/**
 * struct bgap_placement_change - one planned change
 * @entry: index of the entry in the input
 * @server: index of the new holder; only set for a move
 * @forced: the entry had no usable holder; the move is outside the budget
 */
struct bgap_placement_change
{
  enum bgap_placement_action action;
  uint32_t entry;
  uint32_t server;
  bool forced;
};

/**
 * struct bgap_placement_weights - weights of the ownership policy, 0 means 1
 */
struct bgap_placement_weights
{
  double imbalance;
  double unavailable;
  double churn;
};

struct bgap_placement_policy;

/**
 * struct bgap_placement_desc - options
 * @policy: NULL means bgap_placement_weighted
 * @weights: of the terms of gain and cost
 * @moves_per_minute: maximum number of voluntary moves in any 60 s; 0 means 30
 * @reports: number of consecutive reports for which a difference must persist;
 *   0 means 3
 * @max_servers: maximum number of servers of the service; 0 means 256
 * @split_share: fraction of a server's load above which a key is split, in
 *   (0, 1); 0 means 0.2. A key is merged below a quarter of it.
 * @horizon_ms: time for which a gain is expected to last; 0 means 60000
 * @move_ms: time for which an entry is unavailable during a move; 0 means 300
 * @cold_ms: warm-up time of a moved entry and of a server; 0 means 10000
 */
struct bgap_placement_desc
{
  const struct bgap_placement_policy *policy;
  struct bgap_placement_weights weights;
  uint32_t moves_per_minute;
  uint32_t reports;
  uint32_t max_servers;
  double split_share;
  int64_t horizon_ms;
  int64_t move_ms;
  int64_t cold_ms;
};

struct bgap_placement_streak;
struct bgap_placement_key_streak;

/**
 * struct bgap_placement - state kept between reports; all members are private
 */
struct bgap_placement
{
  struct bgap_placement_desc desc;
  struct bgap_placement_streak *servers;
  struct bgap_placement_key_streak *keys;
  uint32_t key_count;
  int64_t *moved_at_ms;
  uint32_t moved_next;
};

/* The policies. Weighted: moves an entry if the gain exceeds the cost. Never:
   makes no voluntary moves. Greedy: balances the load regardless of cost.  */
extern const struct bgap_placement_policy bgap_placement_weighted;
extern const struct bgap_placement_policy bgap_placement_never;
extern const struct bgap_placement_policy bgap_placement_greedy;

/**
 * bgap_placement_policy_name() - name of a policy for tables and logs
 */
const char *
bgap_placement_policy_name (const struct bgap_placement_policy *policy);

/**
 * bgap_placement_setup() - allocate the state kept between reports
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_placement_setup (struct bgap_placement *placement,
                                       const struct bgap_placement_desc *desc);

/**
 * bgap_placement_shutdown() - free the state; allowed on a zeroed struct
 */
void bgap_placement_shutdown (struct bgap_placement *placement);

/**
 * bgap_placement_plan() - plan the changes for one load report
 * @changes: receives at most @capacity changes, forced moves first
 *
 * Entries that do not fit into @changes, or for which there is no usable
 * server, are planned again with the next report. Nothing is planned for an
 * input with more than max_servers servers.
 *
 * Return: number of changes.
 */
uint32_t bgap_placement_plan (struct bgap_placement *placement,
                              const struct bgap_placement_input *input,
                              struct bgap_placement_change *changes,
                              uint32_t capacity);

#endif
