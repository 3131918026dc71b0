#ifndef BANYANGAP_ROUTING_QUARANTINE_H
#define BANYANGAP_ROUTING_QUARANTINE_H

/*
 * Quarantine for requests that crash servers. The proof is an order of events:
 * a server crashed while it had the request, the request was sent again after
 * that, and another server crashed while it had it. An answer disproves it.
 * Requests with such a fingerprint are refused for some minutes, but for one
 * trial from time to time, whose answer ends the quarantine.
 *
 *   struct bgap_quarantine quarantine;
 *   bgap_quarantine_setup (&quarantine, &(struct bgap_quarantine_desc){ 0 });
 *   if (bgap_quarantine_refuses (&quarantine, now_ms, fingerprint))
 *     ...   refuse
 *   attempt.stamp = quarantine.broken_count;
 *   ... send it ...
 *   bgap_quarantine_broken (&quarantine, now_ms, &attempt);
 *   bgap_quarantine_crashed (&quarantine, now_ms, server_hash);
 *   bgap_quarantine_answered (&quarantine, now_ms, fingerprint);
 *   ... send the message of bgap_quarantine_encode to the zone's routers ...
 *   bgap_quarantine_shutdown (&quarantine);
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "banyangap/base/buffer.h"
#include "banyangap/base/status.h"
#include "banyangap/routing/message.h"

/**
 * enum bgap_quarantine_change - decision about a fingerprint
 */
enum bgap_quarantine_change
{
  BGAP_QUARANTINE_SUSPECTED, /* in flight at a crash */
  BGAP_QUARANTINE_STARTED,   /* crash, sent again, crash; refused now */
  BGAP_QUARANTINE_TAKEN,     /* a peer has put it in quarantine */
  BGAP_QUARANTINE_TRIAL,     /* one request is sent in spite of it */
  BGAP_QUARANTINE_RENEWED,   /* a server has crashed in quarantine */
  BGAP_QUARANTINE_CLEARED,   /* answered */
  BGAP_QUARANTINE_CHANGE_COUNT
};

/**
 * bgap_quarantine_change_name() - short lower-case text, never NULL
 */
const char *bgap_quarantine_change_name (enum bgap_quarantine_change change);

/**
 * struct bgap_quarantine_event - a decision with its evidence, for logs
 * @server: XXH3 hash of the name of the server that crashed last; 0 if none
 * @first_server: the same of the one that crashed before the attempt on
 *   @server was sent; 0 if none
 * @sent_ms: when the attempt on @server was sent; 0 if a peer reported it
 * @broken_ms: when its connection broke, or the peer's report arrived
 * @first_ms: the same as @broken_ms of the attempt on @first_server
 */
struct bgap_quarantine_event
{
  enum bgap_quarantine_change change;
  uint64_t fingerprint;
  uint64_t server;
  uint64_t first_server;
  int64_t sent_ms;
  int64_t broken_ms;
  int64_t first_ms;
};

/**
 * struct bgap_quarantine_ops - calls of the table
 * @changed: reports a decision; may be NULL
 */
struct bgap_quarantine_ops
{
  void (*changed) (void *context, const struct bgap_quarantine_event *event);
  void *context;
};

/**
 * struct bgap_quarantine_desc - options; zero means the default
 * @capacity: maximum number of fingerprints; default 1024. When the table is
 *   full, the one that expires first is evicted.
 * @quarantine_ms: how long a fingerprint is refused; default 300 000
 * @suspect_ms: how long a fingerprint remains a suspect; default 300 000
 * @crash_window_ms: maximum time from a broken attempt to the report that its
 *   server has crashed; default 3000
 * @trial_ms: time from the start of a quarantine to the first trial, and from
 *   that to the second; doubles with each further one; default 15 000
 * @ops: calls for logs
 */
struct bgap_quarantine_desc
{
  uint32_t capacity;
  int64_t quarantine_ms;
  int64_t suspect_ms;
  int64_t crash_window_ms;
  int64_t trial_ms;
  struct bgap_quarantine_ops ops;
};

/**
 * struct bgap_quarantine_attempt - an attempt whose connection broke
 * @server: XXH3 hash of the server's name
 * @stamp: broken_count of the table when it was sent
 * @sent_ms: when it was sent
 * @broken_ms: when its connection broke
 */
struct bgap_quarantine_attempt
{
  uint64_t fingerprint;
  uint64_t server;
  uint64_t stamp;
  int64_t sent_ms;
  int64_t broken_ms;
};

struct bgap_quarantine_entry;

/**
 * struct bgap_quarantine - the table; other fields are private
 * @broken_count: number of broken attempts so far
 */
struct bgap_quarantine
{
  uint64_t broken_count;

  struct bgap_quarantine_entry *entries;
  struct bgap_routing_suspicion *updates;
  uint32_t count;
  uint32_t update_count;
  struct bgap_quarantine_desc desc;
};

/**
 * bgap_quarantine_setup() - create an empty table
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status
bgap_quarantine_setup (struct bgap_quarantine *quarantine,
                       const struct bgap_quarantine_desc *desc);

/**
 * bgap_quarantine_shutdown() - free the table; allowed on a zeroed table
 */
void bgap_quarantine_shutdown (struct bgap_quarantine *quarantine);

/**
 * bgap_quarantine_broken() - report a broken attempt
 *
 * It is evidence only if its server is reported as crashed soon after, and the
 * fingerprint is not answered in between.
 */
void bgap_quarantine_broken (struct bgap_quarantine *quarantine,
                             int64_t now_ms,
                             const struct bgap_quarantine_attempt *attempt);

/**
 * bgap_quarantine_crashed() - report that a server has crashed
 * @server: XXH3 hash of its name
 */
void bgap_quarantine_crashed (struct bgap_quarantine *quarantine,
                              int64_t now_ms, uint64_t server);

/**
 * bgap_quarantine_answered() - report that a server answered without crashing
 *
 * Ends a suspicion or a quarantine.
 */
void bgap_quarantine_answered (struct bgap_quarantine *quarantine,
                               int64_t now_ms, uint64_t fingerprint);

/**
 * bgap_quarantine_refuses() - whether the fingerprint is in quarantine and no
 * trial is due; false for 0
 */
bool bgap_quarantine_refuses (const struct bgap_quarantine *quarantine,
                              int64_t now_ms, uint64_t fingerprint);

/**
 * bgap_quarantine_begin_trial() - note that a request is sent
 *
 * Return: true if it is a trial of a fingerprint in quarantine. Others are
 * refused until the next one is due.
 */
bool bgap_quarantine_begin_trial (struct bgap_quarantine *quarantine,
                                  int64_t now_ms, uint64_t fingerprint);

/**
 * bgap_quarantine_drop_trial() - note that the request of a trial did not run;
 * another one may be sent at once
 */
void bgap_quarantine_drop_trial (struct bgap_quarantine *quarantine,
                                 int64_t now_ms, uint64_t fingerprint);

/**
 * bgap_quarantine_suspected() - whether the fingerprint is a suspect or in
 * quarantine
 */
bool bgap_quarantine_suspected (const struct bgap_quarantine *quarantine,
                                int64_t now_ms, uint64_t fingerprint);

/**
 * bgap_quarantine_cause() - the last decision about a fingerprint in
 * quarantine, with the evidence
 *
 * Return: false if it is not in quarantine.
 */
bool bgap_quarantine_cause (const struct bgap_quarantine *quarantine,
                            int64_t now_ms, uint64_t fingerprint,
                            struct bgap_quarantine_event *event);

/**
 * bgap_quarantine_encode() - append a message with the state changes since the
 * last call
 *
 * Return: true if there are changes and @out was extended.
 */
bool bgap_quarantine_encode (struct bgap_quarantine *quarantine,
                             struct bgap_buffer *out);

/**
 * enum bgap_quarantine_source - where a message comes from
 */
enum bgap_quarantine_source
{
  BGAP_QUARANTINE_SENT,  /* by an instance, just now */
  BGAP_QUARANTINE_STORED /* some time ago; a trial is due at once */
};

/**
 * bgap_quarantine_on_message() - apply the message of another instance
 *
 * Return: BGAP_OK; BGAP_ERR_PROTOCOL if it is malformed, or
 * BGAP_ERR_NO_MEMORY. On errors nothing changes.
 */
enum bgap_status
bgap_quarantine_on_message (struct bgap_quarantine *quarantine, int64_t now_ms,
                            enum bgap_quarantine_source source,
                            const void *bytes, size_t size,
                            struct bgap_error *err);

#endif
