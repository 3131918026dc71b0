#ifndef BANYANGAP_STORE_FOLLOWER_STATE_H
#define BANYANGAP_STORE_FOLLOWER_STATE_H

/*
 * Internals of the follower, shared by the follower*.c files:
 *
 *   follower.c        setup and control
 *   follower_reads.c  calls to the store and their results
 *   follower_relay.c  records from a relay
 */

#include <event2/event_struct.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "banyangap/store/follower.h"

/* Initial and maximum back-off after failed calls; it doubles with each. The
   caller reports when the store answers again, so the maximum only matters if
   a single topic fails.  */
#define RETRY_FIRST_MS 60
#define RETRY_MAX_MS 1500

enum follower_state
{
  LOADING,
  FOLLOWING
};

/**
 * struct bgap_follower - the follower
 * @started: calls may be made, see struct bgap_follower_desc
 * @state: kind of the next call
 * @after: last key of the load in progress
 * @load_end: end of the topic when the load began
 * @load_next: offset after the newest record of the load. Later records may
 *   have been appended after the store read the records of a page and before
 *   it read the end offset
 * @just_loaded: no read has succeeded since the load
 * @next: offset to read from
 * @probe_timer: starts the probe for a waiting read
 * @relayed: a relay forwards the topic
 * @relayed_ms: time from which the relay time-out counts
 * @unrelayed_pause_ms: time between reads while the relay sends nothing
 * @latency_ms: smoothed response time of reads that did not wait for a record
 * @generation: of the current call; results of earlier calls are ignored
 * @busy: the current call is running
 * @probe_sent_ms: when the probe that is running was sent, 0 if none is
 * @timer_at_ms: when the timer starts the next call
 * @failing: the last call failed, and the timer waits to repeat it
 * @gap_since_ms: first relayed page that showed the open gap, 0 if none is
 *   open
 * @gap_seen_ms: last one
 * @gap_end: offset from which on the gap is closed
 */
struct bgap_follower
{
  struct bgap_follower_desc desc;
  struct event timer;
  struct event probe_timer;
  bool started;
  enum follower_state state;
  char after[BGAP_STORE_KEY_SIZE];
  bool load_begun;
  uint64_t load_end;
  uint64_t load_next;
  bool just_loaded;
  uint64_t next;
  bool loaded;
  bool busy;
  int64_t probe_sent_ms;
  int64_t timer_at_ms;
  bool failing;
  bool relayed;
  int64_t relayed_ms;
  uint32_t unrelayed_pause_ms;
  double latency_ms;
  uint64_t generation;
  int64_t sent_ms;
  int64_t retry_ms;
  int64_t gap_since_ms;
  int64_t gap_seen_ms;
  uint64_t gap_end;
  struct bgap_follower_counts counts;
  LIST_HEAD (follower_calls, follower_call) calls;
};

/**
 * struct follower_call - a call to the store
 */
struct follower_call
{
  LIST_ENTRY (follower_call) next;
  struct bgap_follower *follower;
  uint64_t generation;
  uint64_t from;
  int64_t sent_ms;
};

/* follower_reads.c */

int64_t bgap_follower_now_ms (void);

/**
 * bgap_follower_arm() - start the next call after @delay_ms
 */
void bgap_follower_arm (struct bgap_follower *f, int64_t delay_ms);

/**
 * bgap_follower_is_overdue() - whether a call that was sent at @sent_ms takes
 * unusually long; its connection may be broken
 */
bool bgap_follower_is_overdue (const struct bgap_follower *f, int64_t sent_ms);

/**
 * bgap_follower_abandon_call() - ignore the result of the running call, if any
 */
void bgap_follower_abandon_call (struct bgap_follower *f);

/* Callbacks of the timers; @user is the follower.  */
void bgap_follower_on_timer (evutil_socket_t fd, short events, void *user);
void bgap_follower_on_probe_timer (evutil_socket_t fd, short events,
                                   void *user);

/**
 * bgap_follower_probe() - read beside the running call, which may not return
 * the records that there are
 */
void bgap_follower_probe (struct bgap_follower *f);

/* follower_relay.c */

/**
 * bgap_follower_check_gap() - report the open gap if it has closed; call it
 * when the next offset has changed
 */
void bgap_follower_check_gap (struct bgap_follower *f);

#endif
