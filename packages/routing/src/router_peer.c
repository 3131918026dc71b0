#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "router_parts.h"

static void
_bgap_router_send (struct bgap_router_state *state,
                   enum bgap_routing_message kind, struct bgap_buffer *message)
{
  bgap_router_emit (state, &(struct bgap_router_action){
                               .kind = BGAP_ROUTER_ACTION_SEND_PEER,
                               .peer_kind = kind,
                               .bytes = message->data,
                               .size = message->size });
}

void
bgap_router_send_suspicions (struct bgap_router_state *state)
{
  struct bgap_buffer message = { 0 };
  if (bgap_quarantine_encode (&state->quarantine, &message))
    _bgap_router_send (state, BGAP_ROUTING_MESSAGE_SUSPICIONS, &message);
  bgap_buffer_shutdown (&message);
}

void
bgap_router_send_loads (struct bgap_router_state *state)
{
  struct bgap_routing_load *items
      = malloc ((state->servers.used + 1) * sizeof *items);
  if (items == NULL)
    return;
  size_t count = 0;
  const struct bgap_router_server *server;
  for (server = state->servers_by_hash; server != NULL;
       server = server->hh.next)
    if (server->server.in_flight > 0 && count < BGAP_ROUTING_MESSAGE_ITEMS_MAX)
      items[count++] = (struct bgap_routing_load){
        .server = server->server.hash_full,
        .in_flight = server->server.in_flight,
      };
  struct bgap_buffer message = { 0 };
  if (bgap_routing_encode_loads (&message, items, count) == BGAP_OK)
    _bgap_router_send (state, BGAP_ROUTING_MESSAGE_LOADS, &message);
  bgap_buffer_shutdown (&message);
  free (items);
}

/* In-flight counts of peers.  */

static bool
_bgap_router_find_peer (struct bgap_router_state *state, const char *name,
                        bool add, uint32_t *index)
{
  uint32_t free_index = state->desc.peers_max;
  for (uint32_t i = 0; i < state->desc.peers_max; i++)
    {
      if (strcmp (state->peers[i].name, name) == 0)
        {
          *index = i;
          return true;
        }
      if (state->peers[i].name[0] == '\0' && free_index > i)
        free_index = i;
    }
  if (!add || free_index == state->desc.peers_max)
    return false;
  struct bgap_router_peer *peer = &state->peers[free_index];
  snprintf (peer->name, sizeof peer->name, "%s", name);
  *index = free_index;
  return true;
}

static void
_bgap_router_clear_peer (struct bgap_router_state *state, uint32_t index)
{
  struct bgap_router_server *server;
  for (server = state->servers_by_hash; server != NULL;
       server = server->hh.next)
    {
      server->server.in_flight_peers -= server->peers_in_flight[index];
      server->peers_in_flight[index] = 0;
    }
}

static enum bgap_status
_bgap_router_on_loads (struct bgap_router_state *state, const char *from,
                       const void *bytes, size_t size, struct bgap_error *err)
{
  /* Each of the two fields of an item takes at least one byte.  */
  size_t count = size / 2 < BGAP_ROUTING_MESSAGE_ITEMS_MAX
                     ? size / 2
                     : BGAP_ROUTING_MESSAGE_ITEMS_MAX;
  struct bgap_routing_load *items = malloc ((count + 1) * sizeof *items);
  if (items == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY,
                           "out of memory for in-flight counts");
  enum bgap_status status
      = bgap_routing_decode_loads (bytes, size, items, &count, err);
  if (status == BGAP_ERR_FULL)
    status = bgap_error_set (err, BGAP_ERR_PROTOCOL,
                             "message with in-flight counts is truncated");
  uint32_t peer = 0;
  if (status == BGAP_OK && _bgap_router_find_peer (state, from, true, &peer))
    {
      _bgap_router_clear_peer (state, peer);
      for (size_t i = 0; i < count; i++)
        {
          struct bgap_router_server *server
              = bgap_router_hash_find (state, items[i].server);
          if (server == NULL)
            continue;
          uint32_t in_flight = items[i].in_flight;
          if (in_flight > UINT16_MAX)
            in_flight = UINT16_MAX;
          server->server.in_flight_peers
              += in_flight - server->peers_in_flight[peer];
          server->peers_in_flight[peer] = (uint16_t)in_flight;
        }
    }
  free (items);
  return status;
}

enum bgap_status
bgap_router_on_stored (struct bgap_router *router, int64_t now_ms, int kind,
                       const void *bytes, size_t size, struct bgap_error *err)
{
  struct bgap_router_state *state = router->state;
  if (kind != BGAP_ROUTING_MESSAGE_SUSPICIONS)
    return bgap_error_set (err, BGAP_ERR_PROTOCOL,
                           "messages of kind %d are not stored", kind);
  return bgap_quarantine_on_message (&state->quarantine, now_ms,
                                     BGAP_QUARANTINE_STORED, bytes, size, err);
}

enum bgap_status
bgap_router_on_peer (struct bgap_router *router, int64_t now_ms,
                     const char *from, int kind, const void *bytes,
                     size_t size, struct bgap_error *err)
{
  struct bgap_router_state *state = router->state;
  enum bgap_status status;
  if (from == NULL || from[0] == '\0'
      || strlen (from) >= BGAP_ROUTING_NAME_SIZE)
    status = bgap_error_set (err, BGAP_ERR_PROTOCOL,
                             "sender name is empty or too long");
  else if (kind == BGAP_ROUTING_MESSAGE_SUSPICIONS)
    status = bgap_quarantine_on_message (
        &state->quarantine, now_ms, BGAP_QUARANTINE_SENT, bytes, size, err);
  else if (kind == BGAP_ROUTING_MESSAGE_LOADS)
    status = _bgap_router_on_loads (state, from, bytes, size, err);
  else if (kind == BGAP_ROUTING_MESSAGE_PERMITS_WANTED
           || kind == BGAP_ROUTING_MESSAGE_PERMITS
           || kind == BGAP_ROUTING_MESSAGE_RATE_LIMITS)
    status
        = bgap_router_on_permits (state, now_ms, from, kind, bytes, size, err);
  else
    status = bgap_error_set (err, BGAP_ERR_PROTOCOL, "unknown message kind %d",
                             kind);
  if (status == BGAP_ERR_PROTOCOL)
    state->counts.rejected_input++;
  bgap_router_send_suspicions (state);
  return status;
}

void
bgap_router_peer_lost (struct bgap_router *router, const char *name)
{
  struct bgap_router_state *state = router->state;
  uint32_t peer = 0;
  if (name[0] != '\0' && _bgap_router_find_peer (state, name, false, &peer))
    {
      _bgap_router_clear_peer (state, peer);
      state->peers[peer].name[0] = '\0';
    }
  for (uint32_t id = bgap_pool_next (&state->services, BGAP_INVALID_ID);
       id != BGAP_INVALID_ID; id = bgap_pool_next (&state->services, id))
    {
      struct bgap_router_service *service = bgap_router_service (state, id);
      if (service->idempotency.state != NULL)
        bgap_idempotency_on_instance_lost (&service->idempotency, name);
    }
}
