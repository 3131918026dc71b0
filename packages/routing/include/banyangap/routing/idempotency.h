#ifndef BANYANGAP_ROUTING_IDEMPOTENCY_H
#define BANYANGAP_ROUTING_IDEMPOTENCY_H

/*
 * Idempotency records: at-most-once execution of the requests of one service.
 * Replays the stream once.<service> and decides which attempt of an
 * idempotency key may run.
 *
 *   struct bgap_idempotency table;
 *   bgap_idempotency_setup (&table, &(struct bgap_idempotency_desc){
 *     .instance = "entry-1", .incarnation = random_bits }, &err);
 *   ... bgap_idempotency_on_record for every record of the stream, then
 *       bgap_idempotency_on_stream_end ...
 *   if (bgap_idempotency_begin (&table, now_ms, wall_ms, text, size, digest,
 *                               request, &answer)
 *       == BGAP_IDEMPOTENCY_WAITING)
 *     ... wait for an event of the request ...
 *   while (bgap_idempotency_next_event (&table, &event))
 *     ...   on WON run the request, then call bgap_idempotency_finish
 *   while (bgap_idempotency_next_append (&table, now_ms, &append))
 *     ...   append, then call bgap_idempotency_on_append_done
 *   bgap_idempotency_shutdown (&table);
 *
 * Replay rules, identical for every instance that replays the stream:
 * - An intent wins if its key has no winner. Otherwise it is permanently void.
 * - An outcome takes effect if its attempt is the winner and has no outcome
 *   yet. NOT_RUN leaves the key without a winner; other outcomes are final.
 *
 * Rules for an instance:
 * - It runs an attempt only after it has read the attempt's intent back as the
 *   winner, while a request waits for the attempt and the key is inside the
 *   window.
 * - When an intent of its own incarnation wins and no request waits for it, it
 *   appends the outcome NOT_RUN, so abandoned attempts need not be tracked.
 * - Appending the same record again has no effect.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "banyangap/base/buffer.h"
#include "banyangap/base/status.h"
#include "banyangap/routing/idempotency_record.h"
#include "banyangap/routing/types.h"

/**
 * struct bgap_idempotency_desc - options; zero means the default
 * @instance: name of this instance; required
 * @incarnation: random number that identifies this process; required
 * @window_ms: deduplication window: how long repeats of a key are recognised;
 *   default 3 600 000
 * @skew_ms: maximum error of a clock; default 60 000
 * @keys_max: maximum number of keys kept; default 65 536
 * @body_bytes_max: maximum total size of stored answers; default 4 MiB
 * @record_bytes_max: maximum size of an appended record; default 64 KiB
 * @append_interval_ms: minimum time between the starts of two appends; default
 *   20
 * @append_retry_ms: delay after a failed append; default 200
 */
struct bgap_idempotency_desc
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
 * enum bgap_idempotency_begin_result - how a request proceeds
 *
 * All results but WAITING and STORED reject the request; nothing runs for it.
 */
enum bgap_idempotency_begin_result
{
  BGAP_IDEMPOTENCY_WAITING, /* an event follows */
  BGAP_IDEMPOTENCY_STORED,  /* it ran before; @answer is filled in */
  BGAP_IDEMPOTENCY_KEY_INVALID,
  BGAP_IDEMPOTENCY_KEY_EXPIRED,
  BGAP_IDEMPOTENCY_KEY_FUTURE,
  BGAP_IDEMPOTENCY_DIGEST_MISMATCH, /* another request used the key */
  BGAP_IDEMPOTENCY_NOT_READY,       /* the replay is not complete */
  BGAP_IDEMPOTENCY_FULL             /* the key cannot be tracked */
};

/**
 * struct bgap_idempotency_answer - recorded outcome of a key
 * @outcome: ANSWERED or UNKNOWN
 * @body_dropped: with ANSWERED, the body was not kept
 * @body: valid until the next call on the same table
 */
struct bgap_idempotency_answer
{
  enum bgap_outcome outcome;
  int http_status;
  bool body_dropped;
  const void *body;
  size_t body_size;
  const char *content_type;
};

/**
 * enum bgap_idempotency_event_kind - why a request no longer waits
 */
enum bgap_idempotency_event_kind
{
  BGAP_IDEMPOTENCY_EVENT_WON,    /* run it, then finish it exactly once */
  BGAP_IDEMPOTENCY_EVENT_STORED, /* another attempt has an outcome */
  BGAP_IDEMPOTENCY_EVENT_DIGEST_MISMATCH, /* another request used the key */
  BGAP_IDEMPOTENCY_EVENT_EXPIRED, /* the key left the window before it could
                                     run */
  BGAP_IDEMPOTENCY_EVENT_INSTANCE_LOST /* the winner's instance was lost */
};

/**
 * struct bgap_idempotency_event - an event of a waiting request
 * @answer: set with STORED
 */
struct bgap_idempotency_event
{
  enum bgap_idempotency_event_kind kind;
  uint32_t request;
  struct bgap_idempotency_answer answer;
};

/**
 * struct bgap_idempotency_append - an append to start
 * @bytes: valid until bgap_idempotency_on_append_done()
 */
struct bgap_idempotency_append
{
  uint32_t id;
  const void *bytes;
  size_t size;
};

struct bgap_idempotency_state;

/**
 * struct bgap_idempotency - the table of keys; @state is private
 */
struct bgap_idempotency
{
  struct bgap_idempotency_state *state;
};

/**
 * bgap_idempotency_setup() - create an empty table that is not ready
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status
bgap_idempotency_setup (struct bgap_idempotency *table,
                        const struct bgap_idempotency_desc *desc,
                        struct bgap_error *err);

/**
 * bgap_idempotency_shutdown() - free the table; allowed on a zeroed table
 */
void bgap_idempotency_shutdown (struct bgap_idempotency *table);

/**
 * bgap_idempotency_begin() - look up the key of a new request
 * @digest: hash of the request; a repeat of the key must have the same one
 * @request: handle that events carry, unique among waiting requests
 * @answer: set if the result is STORED
 */
enum bgap_idempotency_begin_result
bgap_idempotency_begin (struct bgap_idempotency *table, int64_t now_ms,
                        int64_t wall_ms, const char *key, size_t key_size,
                        uint64_t digest, uint32_t request,
                        struct bgap_idempotency_answer *answer);

/**
 * enum bgap_idempotency_wait - what a waiting request waits for
 */
enum bgap_idempotency_wait
{
  BGAP_IDEMPOTENCY_WAIT_NONE,   /* it does not wait */
  BGAP_IDEMPOTENCY_WAIT_INTENT, /* no winner is known; it did not run */
  BGAP_IDEMPOTENCY_WAIT_OUTCOME /* another attempt may be running */
};

/**
 * bgap_idempotency_cancel() - stop waiting; the request must not run
 *
 * Return: what it was waiting for.
 */
enum bgap_idempotency_wait
bgap_idempotency_cancel (struct bgap_idempotency *table, uint32_t request);

/**
 * bgap_idempotency_finish() - set the outcome of a request that has won
 * @answer: its outcome is ANSWERED, NOT_RUN or UNKNOWN
 *
 * With ANSWERED and UNKNOWN, requests of this instance that wait for the
 * outcome get their events immediately. The outcome is appended until an
 * append succeeds or the outcome is read back.
 */
void bgap_idempotency_finish (struct bgap_idempotency *table, int64_t now_ms,
                              uint32_t request,
                              const struct bgap_idempotency_answer *answer);

/**
 * bgap_idempotency_on_record() - apply a record of the stream
 *
 * Offsets must increase. A gap between offsets after the first record means
 * that records were missed: unknown keys with a timestamp up to now are then
 * refused, since they may have run.
 *
 * Return: BGAP_OK; BGAP_ERR_STALE for an offset that was applied before;
 * BGAP_ERR_PROTOCOL for a malformed record, which is skipped;
 * BGAP_ERR_UNAVAILABLE for an unsupported schema, after which the table is no
 * longer ready; BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_idempotency_on_record (struct bgap_idempotency *table,
                                             int64_t now_ms, int64_t wall_ms,
                                             uint64_t offset,
                                             const void *bytes, size_t size,
                                             struct bgap_error *err);

/**
 * bgap_idempotency_on_stream_end() - set the end offset up to which to replay
 * @end: offset after the last record, as read after the start of the instance;
 *   only the first call has an effect
 */
void bgap_idempotency_on_stream_end (struct bgap_idempotency *table,
                                     uint64_t end);

/**
 * bgap_idempotency_on_instance_lost() - handle the loss of an instance
 *
 * Requests that wait for an attempt of @instance get the event INSTANCE_LOST.
 */
void bgap_idempotency_on_instance_lost (struct bgap_idempotency *table,
                                        const char *instance);

/**
 * bgap_idempotency_tick() - expire keys that have left the window
 */
void bgap_idempotency_tick (struct bgap_idempotency *table, int64_t now_ms,
                            int64_t wall_ms);

/**
 * bgap_idempotency_next_append() - start an append if one is due
 *
 * Return: false if there is none.
 */
bool bgap_idempotency_next_append (struct bgap_idempotency *table,
                                   int64_t now_ms,
                                   struct bgap_idempotency_append *append);

/**
 * bgap_idempotency_on_append_done() - report the result of an append
 * @id: of the append; a stale one is ignored
 */
void bgap_idempotency_on_append_done (struct bgap_idempotency *table,
                                      int64_t now_ms, uint32_t id, bool ok);

/**
 * bgap_idempotency_next_event() - remove the oldest event from the queue
 *
 * Return: false if there is none.
 */
bool bgap_idempotency_next_event (struct bgap_idempotency *table,
                                  struct bgap_idempotency_event *event);

/**
 * bgap_idempotency_ready() - whether the replay has reached the end offset
 */
bool bgap_idempotency_ready (const struct bgap_idempotency *table);

/**
 * bgap_idempotency_applied_offset() - last applied offset, 0 for none
 */
uint64_t
bgap_idempotency_applied_offset (const struct bgap_idempotency *table);

/**
 * struct bgap_idempotency_counts - gauges
 * @keys: keys in the table
 * @waiting: requests that wait
 * @body_bytes: total size of stored answers
 * @to_append: intents and outcomes that are not yet recorded
 */
struct bgap_idempotency_counts
{
  uint32_t keys;
  uint32_t waiting;
  uint32_t body_bytes;
  uint32_t to_append;
};

/**
 * bgap_idempotency_counts() - gauges of the table
 */
struct bgap_idempotency_counts
bgap_idempotency_counts (const struct bgap_idempotency *table);

#endif
