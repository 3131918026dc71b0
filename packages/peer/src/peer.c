#include "banyangap/peer/peer.h"

#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "link.h"

#define DEFAULT_MAX_PEERS 1024u
#define DEFAULT_MAX_MESSAGE_BYTES (1024u * 1024u)
#define DEFAULT_QUEUE_LIMIT 256u

/* Messages read per callback, so that other events are not starved.  */
#define READ_BATCH 256

struct bgap_peer
{
  char name[BGAP_PEER_NAME_SIZE];
  void *zmq;
  void *socket;
  struct event *readable;
  struct event *continue_read;
  struct bgap_peer_link *links;
  void (*on_message) (void *context, const char *from, uint8_t kind,
                      const void *bytes, size_t size);
  void *context;
  uint32_t max_peers;
  int queue_limit;
  struct bgap_peer_counts counts;
};

/* Frames of a message: name of the sender, kind, payload.  */
struct message
{
  zmq_msg_t frames[3];
  int count;
  int malformed;
};

/* Return: 1 if a message was received, 0 if none is available.  */
static int
_bgap_peer_receive (void *socket, struct message *message)
{
  *message = (struct message){ 0 };
  int more = 1;
  while (more)
    {
      zmq_msg_t frame;
      zmq_msg_init (&frame);
      if (zmq_msg_recv (&frame, socket, ZMQ_DONTWAIT) < 0)
        {
          zmq_msg_close (&frame);
          return 0;
        }
      more = zmq_msg_more (&frame);
      if (message->count < 3)
        {
          message->frames[message->count++] = frame;
          continue;
        }
      message->malformed = 1;
      zmq_msg_close (&frame);
    }
  return 1;
}

static void
_bgap_peer_deliver (struct bgap_peer *peer, struct message *message)
{
  char from[BGAP_PEER_NAME_SIZE];
  size_t from_size = zmq_msg_size (&message->frames[0]);
  if (message->malformed || message->count != 3 || from_size == 0
      || from_size >= sizeof from || zmq_msg_size (&message->frames[1]) != 1)
    {
      peer->counts.malformed++;
      return;
    }
  memcpy (from, zmq_msg_data (&message->frames[0]), from_size);
  from[from_size] = '\0';
  uint8_t kind = *(const uint8_t *)zmq_msg_data (&message->frames[1]);
  size_t size = zmq_msg_size (&message->frames[2]);
  peer->counts.received++;
  peer->counts.received_bytes += size;
  peer->on_message (peer->context, from, kind,
                    zmq_msg_data (&message->frames[2]), size);
}

/* The descriptor of a ZeroMQ socket is edge-triggered: either all pending
   messages are read, or another read must be scheduled.  */
static void
_bgap_peer_on_readable (evutil_socket_t fd, short what, void *context)
{
  struct bgap_peer *peer = context;
  (void)fd;
  (void)what;
  for (int i = 0; i < READ_BATCH; i++)
    {
      struct message message;
      int found = _bgap_peer_receive (peer->socket, &message);
      if (found)
        _bgap_peer_deliver (peer, &message);
      for (int frame = 0; frame < message.count; frame++)
        zmq_msg_close (&message.frames[frame]);
      if (!found)
        return;
    }
  const struct timeval now = { 0 };
  event_add (peer->continue_read, &now);
}

static enum bgap_status
_bgap_peer_listen (struct bgap_peer *peer, const struct bgap_peer_desc *desc,
                   struct bgap_error *err)
{
  const int linger_ms = 0;
  const int64_t max_bytes = desc->max_message_bytes
                                ? desc->max_message_bytes
                                : DEFAULT_MAX_MESSAGE_BYTES;
  zmq_setsockopt (peer->socket, ZMQ_LINGER, &linger_ms, sizeof linger_ms);
  zmq_setsockopt (peer->socket, ZMQ_MAXMSGSIZE, &max_bytes, sizeof max_bytes);
  zmq_setsockopt (peer->socket, ZMQ_RCVHWM, &peer->queue_limit,
                  sizeof peer->queue_limit);
  char endpoint[BGAP_PEER_NAME_SIZE + 8];
  snprintf (endpoint, sizeof endpoint, "tcp://%s", desc->address);
  if (zmq_bind (peer->socket, endpoint) != 0)
    return bgap_error_set (err, BGAP_ERR_IO, "cannot listen on %s: %s",
                           desc->address, zmq_strerror (zmq_errno ()));
  int fd = -1;
  size_t fd_size = sizeof fd;
  zmq_getsockopt (peer->socket, ZMQ_FD, &fd, &fd_size);
  peer->readable = event_new (desc->base, fd, EV_READ | EV_PERSIST,
                              _bgap_peer_on_readable, peer);
  peer->continue_read
      = event_new (desc->base, -1, 0, _bgap_peer_on_readable, peer);
  if (peer->readable == NULL || peer->continue_read == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY,
                           "out of memory while creating events");
  event_add (peer->readable, NULL);
  const struct timeval now = { 0 };
  event_add (peer->continue_read, &now);
  return BGAP_OK;
}

enum bgap_status
bgap_peer_setup (const struct bgap_peer_desc *desc, struct bgap_peer **out,
                 struct bgap_error *err)
{
  if (!desc->base || !desc->name || !desc->address || !desc->on_message
      || strlen (desc->name) >= BGAP_PEER_NAME_SIZE
      || strlen (desc->address) >= BGAP_PEER_NAME_SIZE)
    return bgap_error_set (err, BGAP_ERR_INVALID,
                           "base, name, address and on_message are required");
  struct bgap_peer *peer = calloc (1, sizeof *peer);
  if (peer == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY,
                           "out of memory while creating the peer socket");
  snprintf (peer->name, sizeof peer->name, "%s", desc->name);
  peer->on_message = desc->on_message;
  peer->context = desc->context;
  peer->max_peers = desc->max_peers ? desc->max_peers : DEFAULT_MAX_PEERS;
  peer->queue_limit
      = (int)(desc->queue_limit ? desc->queue_limit : DEFAULT_QUEUE_LIMIT);
  peer->zmq = zmq_ctx_new ();
  peer->socket = peer->zmq ? zmq_socket (peer->zmq, ZMQ_PULL) : NULL;
  if (peer->socket == NULL)
    {
      bgap_peer_shutdown (peer);
      return bgap_error_set (err, BGAP_ERR_NO_MEMORY,
                             "cannot create the ZeroMQ socket");
    }
  enum bgap_status status = _bgap_peer_listen (peer, desc, err);
  if (status != BGAP_OK)
    {
      bgap_peer_shutdown (peer);
      return status;
    }
  *out = peer;
  return BGAP_OK;
}

void
bgap_peer_shutdown (struct bgap_peer *peer)
{
  if (peer == NULL)
    return;
  struct bgap_peer_link *link;
  struct bgap_peer_link *next;
  HASH_ITER (hh, peer->links, link, next)
  {
    HASH_DEL (peer->links, link);
    bgap_peer_link_free (link);
  }
  if (peer->readable != NULL)
    event_free (peer->readable);
  if (peer->continue_read != NULL)
    event_free (peer->continue_read);
  if (peer->socket != NULL)
    zmq_close (peer->socket);
  if (peer->zmq != NULL)
    zmq_ctx_term (peer->zmq);
  free (peer);
}

enum bgap_status
bgap_peer_set (struct bgap_peer *peer, const char *name, const char *address,
               struct bgap_error *err)
{
  if (strlen (name) >= BGAP_PEER_NAME_SIZE
      || strlen (address) >= BGAP_PEER_NAME_SIZE)
    return bgap_error_set (err, BGAP_ERR_INVALID,
                           "name or address of the peer is too long");
  struct bgap_peer_link *link;
  HASH_FIND_STR (peer->links, name, link);
  if (link != NULL && strcmp (link->address, address) == 0)
    return BGAP_OK;
  if (link != NULL)
    bgap_peer_remove (peer, name);
  if (HASH_COUNT (peer->links) >= peer->max_peers)
    return bgap_error_set (err, BGAP_ERR_FULL, "limit of %u peers reached",
                           peer->max_peers);
  link = bgap_peer_link_new (peer->zmq, name, address, peer->queue_limit, err);
  if (link == NULL)
    return BGAP_ERR_IO;
  HASH_ADD_STR (peer->links, name, link);
  return BGAP_OK;
}

void
bgap_peer_remove (struct bgap_peer *peer, const char *name)
{
  struct bgap_peer_link *link;
  HASH_FIND_STR (peer->links, name, link);
  if (link == NULL)
    return;
  HASH_DEL (peer->links, link);
  bgap_peer_link_free (link);
}

enum bgap_status
bgap_peer_send (struct bgap_peer *peer, const char *name, uint8_t kind,
                const void *bytes, size_t size)
{
  struct bgap_peer_link *link;
  HASH_FIND_STR (peer->links, name, link);
  if (link == NULL)
    return BGAP_ERR_NOT_FOUND;
  enum bgap_status status
      = bgap_peer_link_send (link, peer->name, kind, bytes, size);
  if (status != BGAP_OK)
    {
      peer->counts.dropped++;
      return status;
    }
  peer->counts.sent++;
  peer->counts.sent_bytes += size;
  return BGAP_OK;
}

const struct bgap_peer_counts *
bgap_peer_counts (const struct bgap_peer *peer)
{
  return &peer->counts;
}
