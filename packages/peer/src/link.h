#ifndef BGAP_PEER_LINK_H
#define BGAP_PEER_LINK_H

/*
 * Link: the outgoing connection to one peer, a ZeroMQ PUSH socket. Links are
 * stored in a hash table keyed by the name of the peer.
 */

#include <uthash.h>

#include "banyangap/peer/peer.h"

/**
 * struct bgap_peer_link - one outgoing connection
 * @socket: ZeroMQ PUSH socket
 */
struct bgap_peer_link
{
  char name[BGAP_PEER_NAME_SIZE];
  char address[BGAP_PEER_NAME_SIZE];
  void *socket;
  UT_hash_handle hh;
};

/**
 * bgap_peer_link_new() - connect to @address
 * @queue_limit: messages queued while the peer does not receive
 *
 * Return: the link, or NULL with @err set.
 */
struct bgap_peer_link *bgap_peer_link_new (void *zmq_context, const char *name,
                                           const char *address,
                                           int queue_limit,
                                           struct bgap_error *err);

/**
 * bgap_peer_link_free() - close the connection and free the link
 */
void bgap_peer_link_free (struct bgap_peer_link *link);

/**
 * bgap_peer_link_send() - queue one message of three frames without blocking
 */
enum bgap_status bgap_peer_link_send (struct bgap_peer_link *link,
                                      const char *from, uint8_t kind,
                                      const void *bytes, size_t size);

#endif
