#include "link.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

/* Initial and maximum reconnect interval.  */
#define RECONNECT_MS 50
#define RECONNECT_MAX_MS 500

/* Heartbeat interval, and time without traffic after which a connection is
   closed. After a network partition of some seconds, the retransmission
   back-off of TCP would wait as long again before its next attempt, and queued
   messages would arrive outdated.  */
#define HEARTBEAT_MS 1000
#define HEARTBEAT_TIMEOUT_MS 2500

static void
_bgap_peer_link_set_options (void *socket, int queue_limit)
{
  const int linger_ms = 0;
  const int reconnect_ms = RECONNECT_MS;
  const int reconnect_max_ms = RECONNECT_MAX_MS;
  /* Messages to a peer without a connection are dropped instead of queued:
     outdated heartbeats and queries are useless to it.  */
  const int immediate = 1;
  const int heartbeat_interval_ms = HEARTBEAT_MS;
  const int heartbeat_timeout_ms = HEARTBEAT_TIMEOUT_MS;
  zmq_setsockopt (socket, ZMQ_HEARTBEAT_IVL, &heartbeat_interval_ms,
                  sizeof heartbeat_interval_ms);
  zmq_setsockopt (socket, ZMQ_HEARTBEAT_TIMEOUT, &heartbeat_timeout_ms,
                  sizeof heartbeat_timeout_ms);
  zmq_setsockopt (socket, ZMQ_TCP_MAXRT, &heartbeat_timeout_ms,
                  sizeof heartbeat_timeout_ms);
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
      bgap_error_set (err, BGAP_ERR_NO_MEMORY,
                      "out of memory while connecting to peer \"%s\"", name);
      return NULL;
    }
  snprintf (link->name, sizeof link->name, "%s", name);
  snprintf (link->address, sizeof link->address, "%s", address);
  link->socket = zmq_socket (zmq_context, ZMQ_PUSH);
  if (link->socket == NULL)
    {
      bgap_error_set (err, BGAP_ERR_IO,
                      "cannot create a socket for peer \"%s\": %s", name,
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
  /* ZeroMQ queues multipart messages atomically: once the first frame is
     accepted, the others are as well.  */
  if (zmq_send (link->socket, from, strlen (from), ZMQ_DONTWAIT | ZMQ_SNDMORE)
      < 0)
    return BGAP_ERR_UNAVAILABLE;
  if (zmq_send (link->socket, &kind, 1, ZMQ_DONTWAIT | ZMQ_SNDMORE) < 0
      || zmq_send (link->socket, bytes, size, ZMQ_DONTWAIT) < 0)
    return BGAP_ERR_UNAVAILABLE;
  return BGAP_OK;
}
