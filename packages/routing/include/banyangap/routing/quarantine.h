#ifndef BANYANGAP_ROUTING_QUARANTINE_H
#define BANYANGAP_ROUTING_QUARANTINE_H

/*
 * Quarantine for requests that crash servers. A fingerprint that was in flight
 * when two distinct servers crashed, and was not answered since the first
 * crash, is refused for some minutes.
 *
 *   struct bgap_quarantine quarantine;
 *   bgap_quarantine_setup (&quarantine, &(struct bgap_quarantine_desc){ 0 });
 *   bgap_quarantine_suspect (&quarantine, now_ms, fingerprint, server_hash);
 *   if (bgap_quarantine_refuses (&quarantine, now_ms, fingerprint))
 *     ...   refuse
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
  BGAP_QUARANTINE_SUSPECTED, /* in flight at a first crash */
  BGAP_QUARANTINE_STARTED,   /* in flight at a second crash; refused now */
  BGAP_QUARANTINE_TAKEN,     /* a peer has put it in quarantine */
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
 * @first_server: the same of the first one; 0 if none
 * @sent_ms: when the attempt on @server was sent; 0 if a peer reported it
 * @broken_ms: when its connection broke; 0 if it was still open
 * @first_ms: when the crash of @first_server became known
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
 * struct bgap_quarantine_evidence - an attempt that was in flight at a crash
 * @server: XXH3 hash of the server's name
 * @sent_ms, @broken_ms: see struct bgap_quarantine_event
 */
struct bgap_quarantine_evidence
{
  uint64_t fingerprint;
  uint64_t server;
  int64_t sent_ms;
  int64_t broken_ms;
};

/**
 * struct bgap_quarantine_desc - options; zero means the default
 * @capacity: maximum number of fingerprints; default 1024. When the table is
 *   full, the one that expires first is evicted.
 * @quarantine_ms: how long a fingerprint is refused; default 300 000
 * @suspect_ms: how long a fingerprint remains a suspect; default 300 000
 * @ops: calls for logs
 */
struct bgap_quarantine_desc
{
  uint32_t capacity;
  int64_t quarantine_ms;
  int64_t suspect_ms;
  struct bgap_quarantine_ops ops;
};

struct bgap_quarantine_entry;

/**
 * struct bgap_quarantine - the table; fields are private
 */
struct bgap_quarantine
{
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
 * bgap_quarantine_suspect() - report a fingerprint in flight at a crash
 *
 * Return: true if the fingerprint is in quarantine now.
 */
bool bgap_quarantine_suspect (struct bgap_quarantine *quarantine,
                              int64_t now_ms,
                              const struct bgap_quarantine_evidence *evidence);

/**
 * bgap_quarantine_answered() - report that a server answered without crashing
 *
 * Clears a suspicion; a quarantine stays until it expires.
 */
void bgap_quarantine_answered (struct bgap_quarantine *quarantine,
                               int64_t now_ms, uint64_t fingerprint);

/**
 * bgap_quarantine_refuses() - whether the fingerprint is in quarantine; false
 * for 0
 */
bool bgap_quarantine_refuses (const struct bgap_quarantine *quarantine,
                              int64_t now_ms, uint64_t fingerprint);

/**
 * bgap_quarantine_suspected() - whether the fingerprint is a suspect or in
 * quarantine
 */
bool bgap_quarantine_suspected (const struct bgap_quarantine *quarantine,
                                int64_t now_ms, uint64_t fingerprint);

/**
 * bgap_quarantine_cause() - the evidence of a fingerprint in quarantine
 * @event: with the change STARTED, or TAKEN from a peer
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
 * bgap_quarantine_on_message() - apply the message of another instance
 *
 * Return: BGAP_OK; BGAP_ERR_PROTOCOL if it is malformed, or
 * BGAP_ERR_NO_MEMORY. On errors nothing changes.
 */
enum bgap_status
bgap_quarantine_on_message (struct bgap_quarantine *quarantine, int64_t now_ms,
                            const void *bytes, size_t size,
                            struct bgap_error *err);

#endif
