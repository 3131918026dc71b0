#ifndef BANYANGAP_ROUTING_IDEMPOTENCY_STATE_H
#define BANYANGAP_ROUTING_IDEMPOTENCY_STATE_H

/*
 * Internals of the table of idempotency keys, shared by the idempotency*.c
 * files.
 *
 *   idempotency.c         the calls of a request
 *   idempotency_entry.c   entries, waiting requests and events
 *   idempotency_replay.c  the rules of replay
 *   idempotency_append.c  group commit
 */

#include <uthash.h>
#include <utlist.h>

#include "banyangap/routing/idempotency.h"

struct bgap_idempotency_entry;

/**
 * struct bgap_idempotency_waiter - a request that waits for a key
 * @running: its attempt has won; bgap_idempotency_finish() is due
 */
struct bgap_idempotency_waiter
{
  uint32_t request;
  struct bgap_idempotency_entry *entry;
  bool running;
  struct bgap_idempotency_waiter *prev;
  struct bgap_idempotency_waiter *next;
  UT_hash_handle hh;
};

/**
 * enum bgap_idempotency_pending - state of the append of an intent or outcome
 */
enum bgap_idempotency_pending
{
  BGAP_IDEMPOTENCY_PENDING_NONE,
  BGAP_IDEMPOTENCY_PENDING_QUEUED,
  BGAP_IDEMPOTENCY_PENDING_IN_APPEND,
  BGAP_IDEMPOTENCY_PENDING_APPENDED /* acknowledged, not read back */
};

/**
 * struct bgap_idempotency_entry - a key
 * @digest: of the winner, or of the waiting requests
 * @winner: attempt that may run, if @has_winner
 * @winner_instance: XXH3 hash of the name of the winner's instance
 * @winner_lost: the winner's instance was lost
 * @own_attempt: attempt whose intent is being appended, if @intent is not NONE
 * @intent: append state of the intent of @own_attempt
 * @outcome_pending: append state of the outcome of @winner
 * @not_run: the outcome being appended is NOT_RUN
 * @outcome: final outcome, ANSWERED or UNKNOWN; else NONE
 * @queued: the entry is in the list of entries with something to append
 */
struct bgap_idempotency_entry
{
  struct bgap_uuid7 key;
  uint64_t digest;
  struct bgap_idempotency_attempt winner;
  uint64_t winner_instance;
  struct bgap_idempotency_attempt own_attempt;
  enum bgap_idempotency_pending intent;
  enum bgap_idempotency_pending outcome_pending;
  enum bgap_outcome outcome;
  int http_status;
  bool has_winner;
  bool winner_lost;
  bool not_run;
  bool body_dropped;
  bool queued;
  uint32_t body_size;
  void *body;
  char *content_type;
  struct bgap_idempotency_waiter *waiters;
  struct bgap_idempotency_entry *prev;
  struct bgap_idempotency_entry *next;
  UT_hash_handle hh;
};

/**
 * struct bgap_idempotency_queued_event - an event without its answer
 */
struct bgap_idempotency_queued_event
{
  enum bgap_idempotency_event_kind kind;
  uint32_t request;
  struct bgap_uuid7 key;
  struct bgap_idempotency_queued_event *prev;
  struct bgap_idempotency_queued_event *next;
};

/**
 * struct bgap_idempotency_batch_item - an item of the append in flight
 */
struct bgap_idempotency_batch_item
{
  struct bgap_uuid7 key;
  bool is_outcome;
};

/* Maximum number of instances whose newest incarnation is tracked.  */
#define BGAP_IDEMPOTENCY_INSTANCES_MAX 64

/**
 * struct bgap_idempotency_instance - newest incarnation of an instance that
 * appends
 * @name: XXH3 hash of its name
 * @last_offset: offset of its last record, 0 for an unused element
 */
struct bgap_idempotency_instance
{
  uint64_t name;
  uint64_t incarnation;
  uint64_t last_offset;
};

struct bgap_idempotency_state
{
  struct bgap_idempotency_desc desc;
  char instance[BGAP_ROUTING_NAME_SIZE];
  uint64_t sequence;
  uint64_t applied;
  uint64_t end;
  bool has_end;
  bool schema_unsupported; /* a record with a higher schema was read */
  /* The history of keys with a timestamp up to this time may be incomplete,
     because records were missed or entries were freed. This includes keys that
     have left the window: if the clock jumps forward and back, they would
     otherwise be taken for new ones.  */
  int64_t incomplete_until_ms;
  uint32_t body_bytes;
  uint32_t pending;
  struct bgap_idempotency_entry *expiry_cursor; /* next to check for expiry */
  struct bgap_idempotency_entry *entries;
  struct bgap_idempotency_waiter *waiters;
  struct bgap_idempotency_entry *to_append;
  struct bgap_idempotency_queued_event *events;
  struct bgap_idempotency_instance instances[BGAP_IDEMPOTENCY_INSTANCES_MAX];
  /* The append in flight.  */
  struct bgap_buffer record;
  struct bgap_idempotency_batch_item *batch;
  uint32_t batch_count;
  uint32_t append_id;
  bool appending;
  int64_t append_due_ms;
};

/* idempotency_hash.c: look-up, NULL if not found; insertion; removal.  */
struct bgap_idempotency_entry *
bgap_idempotency_find_entry (struct bgap_idempotency_state *state,
                             const struct bgap_uuid7 *key);
void bgap_idempotency_hash_add_entry (struct bgap_idempotency_state *state,
                                      struct bgap_idempotency_entry *entry);
void bgap_idempotency_hash_remove_entry (struct bgap_idempotency_state *state,
                                         struct bgap_idempotency_entry *entry);
struct bgap_idempotency_waiter *
bgap_idempotency_find_waiter (struct bgap_idempotency_state *state,
                              uint32_t request);
void bgap_idempotency_hash_add_waiter (struct bgap_idempotency_state *state,
                                       struct bgap_idempotency_waiter *waiter);
void
bgap_idempotency_hash_remove_waiter (struct bgap_idempotency_state *state,
                                     struct bgap_idempotency_waiter *waiter);

/* idempotency_entry.c */

/**
 * bgap_idempotency_create_entry() - create an entry
 *
 * Return: NULL if the table is full or memory is exhausted.
 */
struct bgap_idempotency_entry *
bgap_idempotency_create_entry (struct bgap_idempotency_state *state,
                               const struct bgap_uuid7 *key);

/**
 * bgap_idempotency_key_outdated() - whether no instance accepts a key with
 * this timestamp any more
 */
bool bgap_idempotency_key_outdated (const struct bgap_idempotency_state *state,
                                    int64_t wall_ms, int64_t time_ms);

/**
 * bgap_idempotency_free_entry() - remove an entry; it must have no waiters
 */
void bgap_idempotency_free_entry (struct bgap_idempotency_state *state,
                                  struct bgap_idempotency_entry *entry);

/**
 * bgap_idempotency_entry_unused() - whether nothing is known about the key and
 * no request waits for it
 */
bool
bgap_idempotency_entry_unused (const struct bgap_idempotency_entry *entry);

/**
 * bgap_idempotency_free_if_unused() - free the entry if it is unused
 *
 * An unused entry is in the same state as one that was never created, so no
 * information is lost. Otherwise the keys of refused requests would fill the
 * table while no records can be appended.
 */
void bgap_idempotency_free_if_unused (struct bgap_idempotency_state *state,
                                      struct bgap_idempotency_entry *entry);

/**
 * bgap_idempotency_set_outcome() - set the final outcome
 */
void
bgap_idempotency_set_outcome (struct bgap_idempotency_state *state,
                              struct bgap_idempotency_entry *entry,
                              const struct bgap_idempotency_answer *answer);

/**
 * bgap_idempotency_release_waiters() - queue an event for each waiting request
 * and remove it; a running one stays
 */
void bgap_idempotency_release_waiters (struct bgap_idempotency_state *state,
                                       struct bgap_idempotency_entry *entry,
                                       enum bgap_idempotency_event_kind kind);

/**
 * bgap_idempotency_push_event() - queue an event
 *
 * Return: false if memory is exhausted; the request then waits until its
 * deadline.
 */
bool bgap_idempotency_push_event (struct bgap_idempotency_state *state,
                                  const struct bgap_idempotency_waiter *waiter,
                                  enum bgap_idempotency_event_kind kind);

/**
 * bgap_idempotency_remove_waiter() - free a waiting request
 */
void bgap_idempotency_remove_waiter (struct bgap_idempotency_state *state,
                                     struct bgap_idempotency_waiter *waiter);

/* idempotency_append.c */

/**
 * bgap_idempotency_queue_intent() - queue the intent of a new attempt for the
 * waiting requests
 */
void bgap_idempotency_queue_intent (struct bgap_idempotency_state *state,
                                    struct bgap_idempotency_entry *entry);

/**
 * bgap_idempotency_queue_outcome() - queue the outcome of the winner
 * @not_run: the outcome is NOT_RUN; otherwise the final outcome of the entry
 */
void bgap_idempotency_queue_outcome (struct bgap_idempotency_state *state,
                                     struct bgap_idempotency_entry *entry,
                                     bool not_run);

/**
 * bgap_idempotency_set_pending() - set an append state and update the number
 * of pending items
 */
void bgap_idempotency_set_pending (struct bgap_idempotency_state *state,
                                   enum bgap_idempotency_pending *field,
                                   enum bgap_idempotency_pending value);

#endif
