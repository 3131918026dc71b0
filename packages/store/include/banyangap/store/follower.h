#ifndef BANYANGAP_STORE_FOLLOWER_H
#define BANYANGAP_STORE_FOLLOWER_H

/*
 * Follows a keyed topic: loads the newest record of each key, then reads on
 * from there, and loads again when the store no longer has what comes next.
 *
 *   struct bgap_follower *follower;
 *   bgap_follower_setup (&follower, &(struct bgap_follower_desc){
 *     .base = base, .store = &store, .topic = "config", .wait_ms = 8000,
 *     .ops = { .record = on_record, .context = me } }, &err);
 *   bgap_follower_shutdown (follower);
 *
 * Records of one key come in the order of their offsets, each at most once.
 *
 * A follower can be fed by another instance that reads the same topic. It then
 * reads by itself only when the feed stops or has a gap.
 */

#include <event2/event.h>

#include "banyangap/store/store.h"

/**
 * struct bgap_follower_ops - what a follower reports; all may be NULL but
 * @record
 * @load: the newest record of each key follows
 * @record: a record
 * @loaded: all keys that the topic has were reported
 * @contact: a call that was sent at @sent_ms succeeded, so that everything
 *   acknowledged before then was reported; with @fed it was the call of the
 *   instance that feeds this one
 * @trouble: a call failed
 * @page: a read by this follower has ended, with the records from @from on
 */
struct bgap_follower_ops
{
  void (*load) (void *context);
  void (*record) (void *context, const struct bgap_store_record *record);
  void (*loaded) (void *context);
  void (*contact) (void *context, int64_t sent_ms, bool fed);
  void (*trouble) (void *context, enum bgap_store_outcome outcome,
                   const char *message);
  void (*page) (void *context, uint64_t from,
                const struct bgap_store_record *records, size_t count);
  void *context;
};

/**
 * struct bgap_follower_desc - options
 * @base, @store, @topic: required; the strings and @store stay valid
 * @wait_ms: how long a read waits for a record
 * @page_kb: size of a page at most, in KiB; 0 for the store's own limit. A
 *   follower that is further behind than a page loads the newest records
 *   instead of the history
 * @fed_timeout_ms: without a feed for so long the follower reads by itself
 * @pause_ms: time from the start of a read to the next one at least; bounds
 *   the number of calls on a busy topic
 */
struct bgap_follower_desc
{
  struct event_base *base;
  const struct bgap_store_ops *store;
  const char *topic;
  uint32_t wait_ms;
  uint32_t pause_ms;
  uint32_t fed_timeout_ms;
  uint32_t page_kb;
  struct bgap_follower_ops ops;
};

struct bgap_follower;

/**
 * bgap_follower_setup() - start following
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_follower_setup (struct bgap_follower **follower,
                                      const struct bgap_follower_desc *desc,
                                      struct bgap_error *err);

/**
 * bgap_follower_shutdown() - stop; the calls in progress must be dropped by
 * the store's client before. NULL is allowed
 */
void bgap_follower_shutdown (struct bgap_follower *follower);

/**
 * bgap_follower_is_loaded() - whether all keys were reported once
 */
bool bgap_follower_is_loaded (const struct bgap_follower *follower);

/**
 * bgap_follower_end() - offset after the last record that was read
 */
uint64_t bgap_follower_end (const struct bgap_follower *follower);

/**
 * bgap_follower_set_pace() - change how reads wait, from the next on
 * @wait_ms, @pause_ms: as in struct bgap_follower_desc
 */
void bgap_follower_set_pace (struct bgap_follower *follower, uint32_t wait_ms,
                             uint32_t pause_ms);

/**
 * bgap_follower_appended() - report a record that this instance has appended
 *
 * Ignored unless the record follows directly on what was read, which is so if
 * it was appended under that condition.
 */
void bgap_follower_appended (struct bgap_follower *follower,
                             const struct bgap_store_record *record);

/**
 * bgap_follower_set_fed() - whether another instance feeds it
 * @pause_ms: while it should be fed and is not, the time from the start of a
 *   read to the next one at least
 */
void bgap_follower_set_fed (struct bgap_follower *follower, bool fed,
                            uint32_t pause_ms);

/**
 * struct bgap_feed - what another instance has read
 * @from: offset of the first record that it may hold
 * @next: offset after it
 * @sent_ms: when the read was sent, on this instance's clock
 */
struct bgap_feed
{
  uint64_t from;
  uint64_t next;
  int64_t sent_ms;
  const struct bgap_store_record *records;
  size_t count;
};

/**
 * bgap_follower_feed() - report what another instance has read
 */
void bgap_follower_feed (struct bgap_follower *follower,
                         const struct bgap_feed *feed);

/**
 * bgap_follower_reload() - report the newest record of each key again
 */
void bgap_follower_reload (struct bgap_follower *follower);

/**
 * bgap_follower_restart() - give up a read that waits and start a new one; a
 * read that was sent during an outage of the store is not answered after it
 */
void bgap_follower_restart (struct bgap_follower *follower);

/**
 * bgap_follower_hurry() - start the next read at once, if none is running
 */
void bgap_follower_hurry (struct bgap_follower *follower);

/**
 * bgap_follower_retry() - the store answers again: if the last call failed,
 * start the next one at once
 */
void bgap_follower_retry (struct bgap_follower *follower);

#endif
