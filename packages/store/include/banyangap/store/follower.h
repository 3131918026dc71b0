#ifndef BANYANGAP_STORE_FOLLOWER_H
#define BANYANGAP_STORE_FOLLOWER_H

/*
 * Follower: replays a keyed topic of the store. It loads the newest record of
 * each key, then reads the records that follow. It loads again when the store
 * no longer has the next record.
 *
 *   struct bgap_follower *follower;
 *   bgap_follower_setup (&follower, &(struct bgap_follower_desc){
 *     .base = base, .store = &store, .topic = "config", .wait_ms = 8000,
 *     .ops = { .record = on_record, .context = me } }, &err);
 *   bgap_follower_shutdown (follower);
 *
 * Records of one key are reported in the order of their offsets, each at most
 * once.
 *
 * A follower can subscribe to a relay, another instance that reads the same
 * topic and forwards its records. It then reads from the store itself only
 * when the relay stops or its records have a gap; see relay_subscriber.h.
 */

#include <event2/event.h>
#include <stdbool.h>

#include "banyangap/store/store.h"

/**
 * struct bgap_follower_gap - records that a follower lacks according to its
 * relay
 * @next: offset from which it has to read
 * @relayed_next: offset after the relay's last page
 * @behind_ms: time since the first page that showed the gap
 * @reading_ms: time since the running read was sent, -1 if none runs
 * @closed: the follower has caught up
 */
struct bgap_follower_gap
{
  uint64_t next;
  uint64_t relayed_next;
  int64_t behind_ms;
  int64_t reading_ms;
  bool closed;
};

/**
 * struct bgap_follower_counts - counters and a gauge
 * @reads: calls to the store
 * @reads_abandoned: those whose results were ignored
 * @gaps: relayed pages that showed a gap
 * @behind_ms: time since the first page that showed the open gap, 0 if none is
 *   open
 */
struct bgap_follower_counts
{
  uint64_t reads;
  uint64_t reads_abandoned;
  uint64_t gaps;
  int64_t behind_ms;
};

/**
 * struct bgap_follower_ops - callbacks of a follower; all but @record may be
 * NULL
 * @load_started: a load starts; the newest record of each key follows
 * @record: a record was read
 * @load_read: a page of a load has ended, with these records
 * @loaded: the records of all keys of the topic were reported
 * @synced: a call that was sent at @sent_ms succeeded, so that all records
 *   acknowledged before @sent_ms were reported; with @relayed it was a call of
 *   the relay
 * @failed: a call failed
 * @gap: a relayed page has shown a gap, or a gap has closed
 * @page_read: a read by this follower has ended, with the records from offset
 *   @from on
 */
struct bgap_follower_ops
{
  void (*load_started) (void *context);
  void (*record) (void *context, const struct bgap_store_record *record);
  void (*load_read) (void *context, const struct bgap_store_record *records,
                     size_t count);
  void (*loaded) (void *context);
  void (*synced) (void *context, int64_t sent_ms, bool relayed);
  void (*failed) (void *context, enum bgap_store_outcome outcome,
                  const char *message);
  void (*gap) (void *context, const struct bgap_follower_gap *gap);
  void (*page_read) (void *context, uint64_t from,
                     const struct bgap_store_record *records, size_t count);
  void *context;
};

/**
 * struct bgap_follower_desc - options
 * @base, @store, @topic: required; the strings and @store stay valid
 * @wait_ms: how long a read waits for a record
 * @page_kb: maximum size of a page in KiB; 0 for the limit of the store. A
 *   follower that is more than one page behind loads the newest records
 *   instead of reading the history
 * @relay_timeout_ms: the follower reads from the store itself after this time
 *   without a message from the relay
 * @pause_ms: minimum time from the start of a read to the next one; limits the
 *   number of calls on a busy topic
 * @deferred: nothing is read before bgap_follower_start()
 */
struct bgap_follower_desc
{
  struct event_base *base;
  const struct bgap_store_ops *store;
  const char *topic;
  uint32_t wait_ms;
  uint32_t pause_ms;
  uint32_t relay_timeout_ms;
  uint32_t page_kb;
  bool deferred;
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
 * bgap_follower_start() - begin to read a deferred topic; no effect if that
 * has begun
 */
void bgap_follower_start (struct bgap_follower *follower);

/**
 * bgap_follower_shutdown() - stop and free the follower; NULL is allowed
 *
 * The store's client must have dropped the calls in progress before.
 */
void bgap_follower_shutdown (struct bgap_follower *follower);

/**
 * bgap_follower_is_loaded() - whether a load has completed
 */
bool bgap_follower_is_loaded (const struct bgap_follower *follower);

/**
 * bgap_follower_next_offset() - offset from which to read next
 */
uint64_t bgap_follower_next_offset (const struct bgap_follower *follower);

/**
 * bgap_follower_counts() - counters and a gauge
 */
struct bgap_follower_counts
bgap_follower_counts (const struct bgap_follower *follower);

/**
 * bgap_follower_set_pace() - change the timing of reads, from the next read on
 * @wait_ms, @pause_ms: as in struct bgap_follower_desc; @pause_ms is ignored
 * if
 *   @wait_ms does not change
 */
void bgap_follower_set_pace (struct bgap_follower *follower, uint32_t wait_ms,
                             uint32_t pause_ms);

/**
 * bgap_follower_appended() - report a record that this instance has appended
 *
 * Ignored unless its offset is the next one, as it is after a conditional
 * append at bgap_follower_next_offset().
 */
void bgap_follower_appended (struct bgap_follower *follower,
                             const struct bgap_store_record *record);

/**
 * bgap_follower_set_relayed() - set whether a relay forwards the topic
 * @pause_ms: minimum time from the start of a read to the next one while the
 *   relay sends nothing
 */
void bgap_follower_set_relayed (struct bgap_follower *follower, bool relayed,
                                uint32_t pause_ms);

/**
 * struct bgap_relay_page - records that a relay has read
 * @timeline: timeline of the store
 * @from: offset from which the relay has read
 * @next: offset after the last record read
 * @sent_ms: when the relay sent the read, on the clock of this instance
 */
struct bgap_relay_page
{
  uint64_t timeline;
  uint64_t from;
  uint64_t next;
  int64_t sent_ms;
  const struct bgap_store_record *records;
  size_t count;
};

/**
 * bgap_follower_on_relay_page() - apply a page from the relay
 *
 * Return: false if records before it are missing. The follower reads them from
 * the store; pass the page again when it has.
 */
bool bgap_follower_on_relay_page (struct bgap_follower *follower,
                                  const struct bgap_relay_page *page);

/**
 * bgap_follower_on_relay_gap() - read the records before @next from the store,
 * because a page of the relay cannot be decoded
 */
void bgap_follower_on_relay_gap (struct bgap_follower *follower,
                                 uint64_t next);

/**
 * bgap_follower_reload() - report the newest record of each key again
 */
void bgap_follower_reload (struct bgap_follower *follower);

/**
 * bgap_follower_restored() - the store was restored from a copy: offsets name
 * other records now, and the newest record of each key is reported again
 */
void bgap_follower_restored (struct bgap_follower *follower);

/**
 * bgap_follower_is_loading() - whether a load is due or running; the next
 * offset is then not known
 */
bool bgap_follower_is_loading (const struct bgap_follower *follower);

/**
 * bgap_follower_restart() - abandon a waiting read and start a new one
 *
 * A read that was sent during an outage of the store is not answered after the
 * outage.
 */
void bgap_follower_restart (struct bgap_follower *follower);

/**
 * bgap_follower_read_now() - start the next read immediately, unless one is
 * running
 */
void bgap_follower_read_now (struct bgap_follower *follower);

/**
 * bgap_follower_retry() - start the next call immediately if the last one
 * failed; called when the store answers again
 */
void bgap_follower_retry (struct bgap_follower *follower);

#endif
