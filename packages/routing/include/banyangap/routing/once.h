#ifndef BANYANGAP_ROUTING_ONCE_H
#define BANYANGAP_ROUTING_ONCE_H

/*
 * At-most-once execution of the requests of one service. Replays the stream
 * once.<service> and decides which attempt of an idempotency key may run.
 *
 *   struct bgap_once once;
 *   bgap_once_setup (&once, &(struct bgap_once_desc){
 *     .instance = "entry-1", .incarnation = random_bits }, &err);
 *   ... bgap_once_on_record for every record, then bgap_once_on_end ...
 *   if (bgap_once_begin (&once, now_ms, wall_ms, text, size, digest, request,
 *                        &answer) == BGAP_ONCE_WAITING)
 *     ... wait for an event of the request ...
 *   while (bgap_once_next_event (&once, &event))
 *     ...   WON: run it, then call bgap_once_finish
 *   while (bgap_once_next_append (&once, now_ms, &append))
 *     ...   append, then call bgap_once_on_append_done
 *   bgap_once_shutdown (&once);
 *
 * Rules of replay, the same for every reader:
 * - An intent wins if its key has no winner. Otherwise it is void for good.
 * - An outcome counts if its attempt is the winner and has no outcome yet.
 *   NOT_RUN leaves the key without a winner; other outcomes are final.
 *
 * Rules of an instance:
 * - It runs an attempt only when it has read the attempt's intent back as the
 *   winner, while a request waits for it and the key is inside the window.
 * - When an intent of its own incarnation wins that no request waits for, it
 *   appends the outcome NOT_RUN. No memory of abandoned attempts is needed.
 * - A repeated append of the same record is harmless.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "banyangap/base/buffer.h"
#include "banyangap/base/status.h"
#include "banyangap/routing/once_record.h"
#include "banyangap/routing/types.h"

/**
 * struct bgap_once_desc - options; zero means the default
 * @instance: required
 * @incarnation: random bits of this process, required
 * @window_ms: repeats are recognised for so long; default 3 600 000
 * @skew_ms: largest error of a clock; default 60 000
 * @keys_max: keys remembered; default 65 536
 * @body_bytes_max: bytes of stored answers; default 4 MiB
 * @record_bytes_max: size of an appended record; default 64 KiB
 * @append_interval_ms: between the starts of two appends; default 20
 * @append_retry_ms: wait after a failed append; default 200
 */
struct bgap_once_desc
{
  const char *instance;
  uint64_t incarnation;
  int64_t window_ms;
  int64_t skew_ms;
  uint32_t keys_max;
  uint32_t body_bytes_max;
  uint32_t record_bytes_max;
  int64_t append_interval_ms;
  int64_t append_retry_ms;
};

/**
 * enum bgap_once_begin_result - what becomes of a request
 *
 * With all but WAITING and STORED nothing runs for this request.
 */
enum bgap_once_begin_result
{
  BGAP_ONCE_WAITING, /* an event follows */
  BGAP_ONCE_STORED,  /* it ran before; the answer is filled in */
  BGAP_ONCE_KEY_INVALID,
  BGAP_ONCE_KEY_EXPIRED,
  BGAP_ONCE_KEY_FUTURE,
  BGAP_ONCE_DIGEST,    /* the key stands for another request */
  BGAP_ONCE_NOT_READY, /* the stream is not replayed */
  BGAP_ONCE_FULL       /* no room for the key */
};

/**
 * struct bgap_once_answer - recorded outcome of a key
 * @outcome: ANSWERED or UNKNOWN
 * @dropped: ANSWERED, but the body was not kept
 * @body: valid until the next call on the same object
 */
struct bgap_once_answer
{
  enum bgap_outcome outcome;
  int http_status;
  bool dropped;
  const void *body;
  size_t body_size;
  const char *content_type;
};

/**
 * enum bgap_once_event_kind - end of the waiting of a request
 */
enum bgap_once_event_kind
{
  BGAP_ONCE_EVENT_WON,     /* run it; call bgap_once_finish exactly once */
  BGAP_ONCE_EVENT_STORED,  /* another attempt has an outcome */
  BGAP_ONCE_EVENT_DIGEST,  /* another request has the key */
  BGAP_ONCE_EVENT_EXPIRED, /* the key left the window before it could run */
  BGAP_ONCE_EVENT_LOST     /* the winner's instance is gone */
};

/**
 * struct bgap_once_event - an event of a waiting request
 * @answer: with STORED
 */
struct bgap_once_event
{
  enum bgap_once_event_kind kind;
  uint32_t request;
  struct bgap_once_answer answer;
};

/**
 * struct bgap_once_append - an append to start
 * @bytes: valid until the append is done
 */
struct bgap_once_append
{
  uint32_t id;
  const void *bytes;
  size_t size;
};

struct bgap_once_state;

/**
 * struct bgap_once - the table of keys; @state is private
 */
struct bgap_once
{
  struct bgap_once_state *state;
};

/**
 * bgap_once_setup() - create an empty table that is not ready
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_once_setup (struct bgap_once *once,
                                  const struct bgap_once_desc *desc,
                                  struct bgap_error *err);

/**
 * bgap_once_shutdown() - free it; allowed on a zeroed table
 */
void bgap_once_shutdown (struct bgap_once *once);

/**
 * bgap_once_begin() - a request with a key arrives
 * @request: handle that events carry, unique among waiting requests
 * @answer: filled in with STORED
 */
enum bgap_once_begin_result bgap_once_begin (struct bgap_once *once,
                                             int64_t now_ms, int64_t wall_ms,
                                             const char *key, size_t key_size,
                                             uint64_t digest, uint32_t request,
                                             struct bgap_once_answer *answer);

/**
 * enum bgap_once_wait - what a waiting request waits for
 */
enum bgap_once_wait
{
  BGAP_ONCE_WAIT_NONE,   /* it does not wait */
  BGAP_ONCE_WAIT_INTENT, /* no winner is known: it did not run */
  BGAP_ONCE_WAIT_OUTCOME /* another attempt may be running */
};

/**
 * bgap_once_give_up() - the request stops waiting and must not run
 *
 * Return: what it was waiting for.
 */
enum bgap_once_wait bgap_once_give_up (struct bgap_once *once,
                                       uint32_t request);

/**
 * bgap_once_finish() - the request that won has an outcome
 * @answer: outcome ANSWERED, NOT_RUN or UNKNOWN
 *
 * Requests of this instance that wait for it get their events at once after
 * ANSWERED and UNKNOWN. The record is appended, repeatedly until it is read
 * back.
 */
void bgap_once_finish (struct bgap_once *once, int64_t now_ms,
                       uint32_t request,
                       const struct bgap_once_answer *answer);

/**
 * bgap_once_on_record() - apply a record; offsets must rise
 *
 * A gap between offsets after the first record means that records were
 * missed: keys dated up to now are then treated as possibly run.
 *
 * Return: BGAP_OK; BGAP_ERR_STALE for an old offset; BGAP_ERR_PROTOCOL for a
 * malformed record, which counts as read; BGAP_ERR_UNAVAILABLE for a higher
 * schema: the table is no longer ready.
 */
enum bgap_status bgap_once_on_record (struct bgap_once *once, int64_t now_ms,
                                      int64_t wall_ms, uint64_t offset,
                                      const void *bytes, size_t size,
                                      struct bgap_error *err);

/**
 * bgap_once_on_end() - end of the stream, read after the start
 */
void bgap_once_on_end (struct bgap_once *once, uint64_t end);

/**
 * bgap_once_on_instance_lost() - the instance is gone; waiters are released
 */
void bgap_once_on_instance_lost (struct bgap_once *once, const char *instance);

/**
 * bgap_once_tick() - forget keys that left the window
 */
void bgap_once_tick (struct bgap_once *once, int64_t now_ms, int64_t wall_ms);

/**
 * bgap_once_next_append() - start an append if one is due
 *
 * Return: false if there is none.
 */
bool bgap_once_next_append (struct bgap_once *once, int64_t now_ms,
                            struct bgap_once_append *append);

/**
 * bgap_once_on_append_done() - result of an append; a stale id is ignored
 */
void bgap_once_on_append_done (struct bgap_once *once, int64_t now_ms,
                               uint32_t id, bool ok);

/**
 * bgap_once_next_event() - take the oldest event
 *
 * Return: false if there is none.
 */
bool bgap_once_next_event (struct bgap_once *once,
                           struct bgap_once_event *event);

/**
 * bgap_once_ready() - the replay has reached the end read after the start
 */
bool bgap_once_ready (const struct bgap_once *once);

/**
 * bgap_once_applied() - newest offset applied, 0 for none
 */
uint64_t bgap_once_applied (const struct bgap_once *once);

/**
 * struct bgap_once_counts - gauges
 */
struct bgap_once_counts
{
  uint32_t keys;
  uint32_t waiting;
  uint32_t body_bytes;
  uint32_t to_append; /* items not yet recorded */
};

/**
 * bgap_once_counts() - gauges of the table
 */
struct bgap_once_counts bgap_once_counts (const struct bgap_once *once);

#endif
