#ifndef BANYANGAP_ROUTING_ONCE_STATE_H
#define BANYANGAP_ROUTING_ONCE_STATE_H

/*
 * Internals of the table of idempotency keys, shared by the once_*.c files.
 *
 *   once_entry.c   entries, waiting requests and events
 *   once.c         the calls of a request
 *   once_replay.c  the rules of replay
 *   once_append.c  group commit
 */

#include <uthash.h>
#include <utlist.h>

#include "banyangap/routing/once.h"

struct bgap_once_entry;

/**
 * struct bgap_once_waiter - a request that waits for a key
 * @running: it won; bgap_once_finish is due
 */
struct bgap_once_waiter
{
  uint32_t request;
  struct bgap_once_entry *entry;
  bool running;
  struct bgap_once_waiter *prev;
  struct bgap_once_waiter *next;
  UT_hash_handle hh;
};

/**
 * enum bgap_once_pending - progress of an intent or outcome to the stream
 */
enum bgap_once_pending
{
  BGAP_ONCE_PENDING_NONE,
  BGAP_ONCE_PENDING_QUEUED,
  BGAP_ONCE_PENDING_IN_APPEND,
  BGAP_ONCE_PENDING_APPENDED /* acknowledged, not read back */
};

/**
 * struct bgap_once_entry - a key
 * @digest: of the winner, or of the requests that wait
 * @winner: attempt that may run, if @has_winner
 * @winner_instance: XXH3 hash of the name of its instance
 * @winner_lost: its instance is gone
 * @own: attempt whose intent is on its way, if @intent is not NONE
 * @intent: progress of the intent @own
 * @outcome_pending: progress of the outcome of @winner
 * @closing: the outcome on its way is NOT_RUN
 * @outcome: final outcome, ANSWERED or UNKNOWN, else NONE
 * @queued: in the list of entries with something to append
 */
struct bgap_once_entry
{
  struct bgap_uuid7 key;
  uint64_t digest;
  struct bgap_once_attempt winner;
  uint64_t winner_instance;
  struct bgap_once_attempt own;
  enum bgap_once_pending intent;
  enum bgap_once_pending outcome_pending;
  enum bgap_outcome outcome;
  int http_status;
  bool has_winner;
  bool winner_lost;
  bool closing;
  bool body_dropped;
  bool queued;
  uint32_t body_size;
  void *body;
  char *content_type;
  struct bgap_once_waiter *waiters;
  struct bgap_once_entry *prev;
  struct bgap_once_entry *next;
  UT_hash_handle hh;
};

/**
 * struct bgap_once_queued_event - an event before its answer is filled in
 */
struct bgap_once_queued_event
{
  enum bgap_once_event_kind kind;
  uint32_t request;
  struct bgap_uuid7 key;
  struct bgap_once_queued_event *prev;
  struct bgap_once_queued_event *next;
};

/**
 * struct bgap_once_batch_item - an item of the append in flight
 */
struct bgap_once_batch_item
{
  struct bgap_uuid7 key;
  bool is_outcome;
};

/* Instances whose newest incarnation is remembered.  */
#define BGAP_ONCE_INSTANCES_MAX 64

/**
 * struct bgap_once_instance - newest incarnation of a writer
 */
struct bgap_once_instance
{
  uint64_t name;
  uint64_t incarnation;
  uint64_t used_at; /* offset */
};

struct bgap_once_state
{
  struct bgap_once_desc desc;
  char instance[BGAP_ROUTING_NAME_SIZE];
  uint64_t sequence;
  uint64_t applied;
  uint64_t end;
  bool has_end;
  bool stopped; /* a higher schema was read */
  /* Keys dated up to this time may have been missed or forgotten. Keys that
     left the window count too: after a jump of the clock and back they would
     otherwise be taken for new ones.  */
  int64_t dropped_until_ms;
  uint32_t body_bytes;
  uint32_t pending;
  struct bgap_once_entry *oldest; /* next to be checked for its age */
  struct bgap_once_entry *entries;
  struct bgap_once_waiter *waiters;
  struct bgap_once_entry *to_append;
  struct bgap_once_queued_event *events;
  struct bgap_once_instance instances[BGAP_ONCE_INSTANCES_MAX];
  /* The append in flight.  */
  struct bgap_buffer record;
  struct bgap_once_batch_item *batch;
  uint32_t batch_count;
  uint32_t append_id;
  bool appending;
  int64_t append_due_ms;
};

/* once_hash.c: look-up, NULL if not found; adding; removal.  */
struct bgap_once_entry *bgap_once_find (struct bgap_once_state *state,
                                        const struct bgap_uuid7 *key);
void bgap_once_hash_add (struct bgap_once_state *state,
                         struct bgap_once_entry *entry);
void bgap_once_hash_remove (struct bgap_once_state *state,
                            struct bgap_once_entry *entry);
struct bgap_once_waiter *bgap_once_find_waiter (struct bgap_once_state *state,
                                                uint32_t request);
void bgap_once_hash_add_waiter (struct bgap_once_state *state,
                                struct bgap_once_waiter *waiter);
void bgap_once_hash_remove_waiter (struct bgap_once_state *state,
                                   struct bgap_once_waiter *waiter);

/* once_entry.c */

/**
 * bgap_once_create() - new entry, or NULL if the table is full
 */
struct bgap_once_entry *bgap_once_create (struct bgap_once_state *state,
                                          const struct bgap_uuid7 *key);

/**
 * bgap_once_outdated() - no instance accepts a key of this time any more
 */
bool bgap_once_outdated (const struct bgap_once_state *state, int64_t wall_ms,
                         int64_t time_ms);

/**
 * bgap_once_free() - remove an entry; its waiters must be gone
 */
void bgap_once_free (struct bgap_once_state *state,
                     struct bgap_once_entry *entry);

/**
 * bgap_once_unused() - nothing is known about the key and nothing waits
 */
bool bgap_once_unused (const struct bgap_once_entry *entry);

/**
 * bgap_once_drop_unused() - free the entry if it is unused
 *
 * An unused entry is in the same state as one that was never created, so
 * nothing is forgotten. Keys of refused requests would otherwise fill the
 * table during an outage of the log.
 */
void bgap_once_drop_unused (struct bgap_once_state *state,
                            struct bgap_once_entry *entry);

/**
 * bgap_once_store() - set the final outcome
 */
void bgap_once_store (struct bgap_once_state *state,
                      struct bgap_once_entry *entry,
                      const struct bgap_once_answer *answer);

/**
 * bgap_once_release() - end the waiting of all requests but a running one
 */
void bgap_once_release (struct bgap_once_state *state,
                        struct bgap_once_entry *entry,
                        enum bgap_once_event_kind kind);

/**
 * bgap_once_push_event() - queue an event; without memory the request stays
 * waiting until its deadline
 */
bool bgap_once_push_event (struct bgap_once_state *state,
                           const struct bgap_once_waiter *waiter,
                           enum bgap_once_event_kind kind);

/**
 * bgap_once_remove_waiter() - free a waiting request
 */
void bgap_once_remove_waiter (struct bgap_once_state *state,
                              struct bgap_once_waiter *waiter);

/* once_append.c */

/**
 * bgap_once_queue_intent() - start a new attempt for the requests waiting
 */
void bgap_once_queue_intent (struct bgap_once_state *state,
                             struct bgap_once_entry *entry);

/**
 * bgap_once_queue_outcome() - append the outcome of the winner
 * @closing: it is NOT_RUN, else the final outcome of the entry
 */
void bgap_once_queue_outcome (struct bgap_once_state *state,
                              struct bgap_once_entry *entry, bool closing);

/**
 * bgap_once_set_pending() - change @field and count what is pending
 */
void bgap_once_set_pending (struct bgap_once_state *state,
                            enum bgap_once_pending *field,
                            enum bgap_once_pending value);

#endif
