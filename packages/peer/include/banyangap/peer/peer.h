#ifndef BANYANGAP_PEER_PEER_H
#define BANYANGAP_PEER_PEER_H

/*
 * Unreliable messaging between instances: ZeroMQ PUSH and PULL sockets driven
 * by a libevent loop.
 *
 *   struct bgap_peer *peer;
 *   bgap_peer_setup (&(struct bgap_peer_desc){ .base = base,
 *     .name = "entry-1", .address = "127.0.0.1:20101",
 *     .on_message = receive, .context = app }, &peer, &err);
 *   bgap_peer_set (peer, "entry-2", "127.0.0.1:20102", &err);
 *   bgap_peer_send (peer, "entry-2", kind, bytes, size);
 *   bgap_peer_shutdown (peer);
 *
 * Delivery is not guaranteed: a message is dropped when the queue to its
 * receiver is full or when there is no connection. Messages can arrive late,
 * for instance after the receiver or the sender was paused.
 */

#include <stddef.h>
#include <stdint.h>

#include "banyangap/base/status.h"

struct event_base;

/* Size of an instance name in bytes, terminating zero included.  */
#define BGAP_PEER_NAME_SIZE 64

/**
 * struct bgap_peer_desc - options
 * @base: event loop, required
 * @name: name of this instance, required
 * @address: IP:port to listen on, required
 * @on_message: message handler, required; @from is the name that the sender
 *   states, without authentication, @kind is defined by the users of the
 *   package; @from and @bytes are valid only during the call
 * @context: passed to @on_message
 * @max_peers: maximum number of peers; 0 means 1024
 * @max_message_bytes: maximum size of a received message; 0 means 1 MiB
 * @queue_limit: messages queued per connection; 0 means 256
 */
struct bgap_peer_desc
{
  struct event_base *base;
  const char *name;
  const char *address;
  void (*on_message) (void *context, const char *from, uint8_t kind,
                      const void *bytes, size_t size);
  void *context;
  uint32_t max_peers;
  uint32_t max_message_bytes;
  uint32_t queue_limit;
};

/**
 * struct bgap_peer_counts - totals since setup
 * @sent: messages queued on a socket
 * @sent_bytes: their payload bytes
 * @dropped: messages to known peers that could not be queued
 * @received: messages passed to the handler
 * @received_bytes: their payload bytes
 * @malformed: messages that did not have the expected frames
 */
struct bgap_peer_counts
{
  uint64_t sent;
  uint64_t sent_bytes;
  uint64_t dropped;
  uint64_t received;
  uint64_t received_bytes;
  uint64_t malformed;
};

struct bgap_peer;

/**
 * bgap_peer_setup() - open the receiving socket
 *
 * Return: BGAP_OK; BGAP_ERR_INVALID for a missing option or one that is too
 * long; BGAP_ERR_IO if the address cannot be bound; BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_peer_setup (const struct bgap_peer_desc *desc,
                                  struct bgap_peer **out,
                                  struct bgap_error *err);

/**
 * bgap_peer_shutdown() - close the sockets; unsent messages are dropped
 */
void bgap_peer_shutdown (struct bgap_peer *peer);

/**
 * bgap_peer_set() - add a peer or change its address (IP:port)
 *
 * Return: BGAP_OK, BGAP_ERR_FULL, BGAP_ERR_INVALID or BGAP_ERR_IO.
 */
enum bgap_status bgap_peer_set (struct bgap_peer *peer, const char *name,
                                const char *address, struct bgap_error *err);

/**
 * bgap_peer_remove() - close the connection to a peer; unknown names are
 * ignored
 */
void bgap_peer_remove (struct bgap_peer *peer, const char *name);

/**
 * bgap_peer_send() - send a message without blocking
 *
 * Return: BGAP_OK if it was queued; BGAP_ERR_NOT_FOUND for an unknown peer;
 * BGAP_ERR_UNAVAILABLE if it was dropped.
 */
enum bgap_status bgap_peer_send (struct bgap_peer *peer, const char *name,
                                 uint8_t kind, const void *bytes, size_t size);

/**
 * bgap_peer_counts() - get the totals since setup
 */
const struct bgap_peer_counts *bgap_peer_counts (const struct bgap_peer *peer);

#endif
