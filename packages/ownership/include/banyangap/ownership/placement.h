#ifndef BANYANGAP_OWNERSHIP_PLACEMENT_H
#define BANYANGAP_OWNERSHIP_PLACEMENT_H

/*
 * Plans which entries of one service move, split and merge.
 *
 *   struct bgap_placement placement;
 *   bgap_placement_setup (&placement, &(struct bgap_placement_desc){ 0 });
 *   struct bgap_placement_change changes[64];
 *   uint32_t count = bgap_placement_plan (&placement, &input, changes, 64);
 *   bgap_placement_shutdown (&placement);
 *
 * Call it once per load report. The objective is measured in seconds of the
 * service's whole load:
 *
 *   gain = imbalance * horizon * decrease of the imbalance
 *   cost = churn * 50 ms + share * (unavailable * move time + cold start)
 *
 * where the imbalance is the mean over slots of (utilisation / mean - 1)^2
 * and share is the entry's part of the load. A move is planned if its gain
 * exceeds its cost, the budget permits it, and the source was above and the
 * target below the mean for three reports. Entries without a holder and those
 * of lost or draining servers are placed at once, outside the budget.
 */

#include <stdbool.h>
#include <stdint.h>

#include "banyangap/base/status.h"

/* Holder of an entry that has none.  */
#define BGAP_PLACEMENT_NO_HOLDER UINT32_MAX

/* Largest number of hot keys followed per service.  */
#define BGAP_PLACEMENT_MAX_KEYS 256

/**
 * enum bgap_placement_kind - what an entry is
 * @BGAP_PLACEMENT_SLICE: a slice
 * @BGAP_PLACEMENT_KEY: a hot key that is an entry of its own
 * @BGAP_PLACEMENT_CANDIDATE: a frequent key that is part of its slice
 */
enum bgap_placement_kind
{
  BGAP_PLACEMENT_SLICE,
  BGAP_PLACEMENT_KEY,
  BGAP_PLACEMENT_CANDIDATE
};

/**
 * struct bgap_placement_input_entry - a slice or a key
 * @load: load in any unit, equal for all entries; the load of a slice
 *   includes that of candidates and excludes that of keys
 * @hash: hash of the key; unused for a slice
 * @slice: index in the entries of the key's slice; unused for a slice
 * @holder: index of the server, the last one if the entry is revoked, or
 *   BGAP_PLACEMENT_NO_HOLDER
 * @moving: a change is in progress; the entry is left alone
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
 * @slots: requests at a time
 * @zone: any number that identifies the zone
 * @live: false for a lost server
 * @draining: receives nothing and gives up its entries
 * @cold_since_ms: start of the slow start, 0 if it is warm
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
 * @servers: a server must keep its index from report to report
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
 * enum bgap_placement_action - what to do with an entry
 * @BGAP_PLACEMENT_MOVE: give the slice or key to the server
 * @BGAP_PLACEMENT_SPLIT: make the candidate an entry of its own
 * @BGAP_PLACEMENT_MERGE: return the key to its slice
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
 * @server: index of the new holder; only for a move
 * @forced: the entry had no usable holder
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
 * @moves_per_minute: budget in any 60 s; 0 means 30
 * @reports: reports for which a difference must persist; 0 means 3
 * @max_servers: servers per service; 0 means 256
 * @split_share: share of a server's load above which a key becomes an entry,
 *   in (0, 1); 0 means 0.2. A key is merged below a quarter of it.
 * @horizon_ms: time for which a gain is expected to last; 0 means 60000
 * @move_ms: time for which a moved entry is not served; 0 means 300
 * @cold_ms: time a moved entry takes to be warm, and a server; 0 means 10000
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
 * struct bgap_placement - memory between reports; fields are private
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

/* The policies: the objective above; never moves; levels at any cost.  */
extern const struct bgap_placement_policy bgap_placement_weighted;
extern const struct bgap_placement_policy bgap_placement_never;
extern const struct bgap_placement_policy bgap_placement_greedy;

/**
 * bgap_placement_policy_name() - name for tables and logs
 */
const char *
bgap_placement_policy_name (const struct bgap_placement_policy *policy);

/**
 * bgap_placement_setup() - allocate the memory between reports
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_placement_setup (struct bgap_placement *placement,
                                       const struct bgap_placement_desc *desc);

/**
 * bgap_placement_shutdown() - free the memory; allowed on a zeroed struct
 */
void bgap_placement_shutdown (struct bgap_placement *placement);

/**
 * bgap_placement_plan() - changes for one load report
 * @changes: gets at most @capacity changes, forced moves first
 *
 * What does not fit, or finds no usable server, is planned again with the
 * next report. An input with more servers than max_servers plans nothing.
 *
 * Return: number of changes.
 */
uint32_t bgap_placement_plan (struct bgap_placement *placement,
                              const struct bgap_placement_input *input,
                              struct bgap_placement_change *changes,
                              uint32_t capacity);

#endif
