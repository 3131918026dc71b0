#include "link.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

/* First and longest pause between attempts to connect, in milliseconds.  */
#define RECONNECT_MS 50
#define RECONNECT_MAX_MS 500

/* A connection that has gone silent is closed after this time: after a cut of
   some seconds TCP would wait as long again before its next attempt, and what
   was queued would come when it is old.  */
#define HEARTBEAT_MS 1000
#define SILENCE_MAX_MS 2500

static void
_bgap_peer_link_set_options (void *socket, int queue_limit)
{
  const int linger_ms = 0;
  const int reconnect_ms = RECONNECT_MS;
  const int reconnect_max_ms = RECONNECT_MAX_MS;
  /* Messages for a peer without a connection are dropped, not queued: old
     heartbeats and queries are of no use to it.  */
  const int immediate = 1;
  const int heartbeat_ms = HEARTBEAT_MS;
  const int silence_ms = SILENCE_MAX_MS;
  zmq_setsockopt (socket, ZMQ_HEARTBEAT_IVL, &heartbeat_ms,
                  sizeof heartbeat_ms);
  zmq_setsockopt (socket, ZMQ_HEARTBEAT_TIMEOUT, &silence_ms,
                  sizeof silence_ms);
  zmq_setsockopt (socket, ZMQ_TCP_MAXRT, &silence_ms, sizeof silence_ms);
  zmq_setsockopt (socket, ZMQ_LINGER, &linger_ms, sizeof linger_ms);
  zmq_setsockopt (socket, ZMQ_RECONNECT_IVL, &reconnect_ms,
                  sizeof reconnect_ms);
  zmq_setsockopt (socket, ZMQ_RECONNECT_IVL_MAX, &reconnect_max_ms,
                  sizeof reconnect_max_ms);
  zmq_setsockopt (socket, ZMQ_IMMEDIATE, &immediate, sizeof immediate);
  zmq_setsockopt (socket, ZMQ_SNDHWM, &queue_limit, sizeof queue_limit);
}

struct bgap_peer_link *
bgap_peer_link_new (void *zmq_context, const char *name, const char *address,
                    int queue_limit, struct bgap_error *err)
{
  struct bgap_peer_link *link = calloc (1, sizeof *link);
  if (link == NULL)
    {
      bgap_error_set (err, BGAP_ERR_NO_MEMORY, "no memory for peer \"%s\"",
                      name);
      return NULL;
    }
  snprintf (link->name, sizeof link->name, "%s", name);
  snprintf (link->address, sizeof link->address, "%s", address);
  link->socket = zmq_socket (zmq_context, ZMQ_PUSH);
  if (link->socket == NULL)
    {
      bgap_error_set (err, BGAP_ERR_IO, "no socket for peer \"%s\": %s", name,
                      zmq_strerror (zmq_errno ()));
      bgap_peer_link_free (link);
      return NULL;
    }
  _bgap_peer_link_set_options (link->socket, queue_limit);
  char endpoint[BGAP_PEER_NAME_SIZE + 8];
  snprintf (endpoint, sizeof endpoint, "tcp://%s", address);
  if (zmq_connect (link->socket, endpoint) != 0)
    {
      bgap_error_set (err, BGAP_ERR_IO,
                      "cannot connect to peer \"%s\" at %s: %s", name, address,
                      zmq_strerror (zmq_errno ()));
      bgap_peer_link_free (link);
      return NULL;
    }
  return link;
}

void
bgap_peer_link_free (struct bgap_peer_link *link)
{
  if (link->socket != NULL)
    zmq_close (link->socket);
  free (link);
}

enum bgap_status
bgap_peer_link_send (struct bgap_peer_link *link, const char *from,
                     uint8_t kind, const void *bytes, size_t size)
{
  /* The first frame decides: once it is accepted, the others follow.  */
  if (zmq_send (link->socket, from, strlen (from), ZMQ_DONTWAIT | ZMQ_SNDMORE)
      < 0)
    return BGAP_ERR_UNAVAILABLE;
  if (zmq_send (link->socket, &kind, 1, ZMQ_DONTWAIT | ZMQ_SNDMORE) < 0
      || zmq_send (link->socket, bytes, size, ZMQ_DONTWAIT) < 0)
    return BGAP_ERR_UNAVAILABLE;
  return BGAP_OK;
}
