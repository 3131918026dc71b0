#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/registry/relay_tree.h"
#include "edge_private.h"
#include "now.h"

/* Follower that a message is for.  */
enum relay_topic
{
  RELAY_CONFIG,
  RELAY_SERVERS,
  RELAY_OWN
};

/* Time between messages of the granter that say that nothing has come.  */
#define BEAT_INTERVAL_MS 1000

/* An instance that should be fed and is not reads a topic once in so long for
   each instance, so that all together read it 250 times a second at most,
   however many records come.  */
#define UNFED_PAUSE_PER_INSTANCE_MS 4

/* Marks a message of the granter that a reader has passed on; nobody passes it
   on again, even if lists of instances differ.  */
#define FORWARDED 0x80u

static struct bgap_event_kind event_relay = { .name = "relay" };

/* Roles.  */

bool
bgap_edge_member_parse (const char *member, struct bgap_edge_member *out)
{
  const char *at = strchr (member, '@');
  const char *hash = at != NULL ? strchr (at, '#') : NULL;
  if (hash == NULL || (size_t)(hash - at) > sizeof out->address
      || strlen (hash) > sizeof out->zone)
    return false;
  snprintf (out->address, sizeof out->address, "%.*s", (int)(hash - at - 1),
            at + 1);
  snprintf (out->zone, sizeof out->zone, "%s", hash + 1);
  return true;
}

/* The granter reads the system's own records itself, since the age of its view
   bounds how long it may grant, and passes them on to all others.  */
static bool
_bgap_relay_is_granter (const struct bgap_edge *edge)
{
  for (const struct bgap_edge_service *service = edge->services;
       service != NULL; service = service->hh.next)
    if (service->granter != NULL && bgap_granter_is_active (service->granter))
      return true;
  return false;
}

/* The readers among the instances of the list.  */
static struct bgap_relay_tree
_bgap_relay_tree (const struct bgap_edge *edge)
{
  struct bgap_relay_tree tree = {
    .relay_count
    = bgap_relay_tree_relays (bgap_membership_listed (edge->membership)),
  };
  for (uint32_t i = 0; i < tree.relay_count; i++)
    if (i < bgap_membership_listed (edge->membership))
      tree.relays[i] = bgap_membership_at (edge->membership, i);
  return tree;
}

/* Sending.  */

/* Calls @visit for each instance that this one feeds in a role, with the
   message for it, if there is one.  */
static void
_bgap_relay_each_fed (struct bgap_edge *edge, enum bgap_relay_role role,
                      void (*visit) (struct bgap_edge *edge,
                                     const char *member,
                                     const struct bgap_buffer *bytes),
                      const struct bgap_buffer *bytes)
{
  const struct bgap_relay_tree tree = _bgap_relay_tree (edge);
  uint32_t count = bgap_membership_listed (edge->membership);
  bool is_listed = bgap_membership_has (edge->membership, edge->member);
  uint32_t own = is_listed
                     ? bgap_membership_index (edge->membership, edge->member)
                     : count;
  for (uint32_t i = 0; i < count; i++)
    {
      const char *member = bgap_membership_at (edge->membership, i);
      if (bgap_relay_tree_forwards (&tree, own, i, member, role))
        visit (edge, member, bytes);
    }
  /* One that the store turns away lives on what the others tell it.  */
  for (uint32_t i = 0; i < bgap_membership_departed (edge->membership); i++)
    {
      const char *member = bgap_membership_departed_at (edge->membership, i);
      if (bgap_relay_tree_forwards (&tree, own, UINT32_MAX, member, role))
        visit (edge, member, bytes);
    }
}

static void
_bgap_relay_connect (struct bgap_edge *edge, const char *member,
                     const struct bgap_buffer *bytes)
{
  struct bgap_error err = { 0 };
  struct bgap_edge_member parsed;
  (void)bytes;
  if (!bgap_edge_member_parse (member, &parsed))
    return;
  if (bgap_peer_set (edge->peer, member, parsed.address, &err) != BGAP_OK)
    bgap_event (&event_relay, "peer=%s reason=\"%s\"", member, err.message);
}

static void
_bgap_relay_send_to (struct bgap_edge *edge, const char *member,
                     const struct bgap_buffer *bytes)
{
  _bgap_relay_connect (edge, member, NULL);
  /* One that misses a message reads by itself.  */
  (void)bgap_peer_send (edge->peer, member, BGAP_EDGE_MESSAGE_RELAY,
                        bytes->data, bytes->size);
}

static void
_bgap_relay_send (struct bgap_edge *edge, const struct bgap_buffer *bytes,
                  enum bgap_relay_role role)
{
  _bgap_relay_each_fed (edge, role, _bgap_relay_send_to, bytes);
}

/* What is sent before a connection is open is lost, so that those who may have
   to feed others connect to them ahead.  */
static void
_bgap_relay_connect_ahead (struct bgap_edge *edge)
{
  if (edge->is_reader)
    _bgap_relay_each_fed (edge, BGAP_RELAY_ROLE_RELAY, _bgap_relay_connect,
                          NULL);
  if (bgap_membership_is_first (edge->membership))
    _bgap_relay_each_fed (edge, BGAP_RELAY_ROLE_GRANTER, _bgap_relay_connect,
                          NULL);
}

void
bgap_edge_update_relay (struct bgap_edge *edge)
{
  uint32_t listed = bgap_membership_listed (edge->membership);
  uint32_t index = bgap_membership_index (edge->membership, edge->member);
  uint32_t readers = bgap_relay_tree_relays (listed);
  bool is_listed = bgap_membership_has (edge->membership, edge->member);
  /* One that nobody knows yet reads by itself; one that was known is fed on.
   */
  edge->was_listed = edge->was_listed || is_listed;
  bool is_reader = is_listed ? index < readers : !edge->was_listed;
  if (is_reader != edge->is_reader)
    bgap_event (&event_relay, "is_reader=%d index=%u readers=%u instances=%u",
                is_reader, index, readers, listed);
  edge->is_reader = is_reader;
  /* What readers know of the list decides whom they feed.  */
  bgap_membership_set_eager (edge->membership, is_listed && is_reader);
  uint32_t pause_ms = listed * UNFED_PAUSE_PER_INSTANCE_MS;
  bgap_follower_set_relayed (edge->config, !is_reader, pause_ms);
  bgap_follower_set_relayed (edge->registrations, !is_reader, pause_ms);
  bgap_follower_set_relayed (edge->own, !_bgap_relay_is_granter (edge),
                             pause_ms);
  _bgap_relay_connect_ahead (edge);
}

/* Passes a message of the granter on to the instances that this one feeds.  */
static void
_bgap_relay_forward (struct bgap_edge *edge, const void *data, size_t size)
{
  struct bgap_buffer bytes = { 0 };
  const unsigned char topic = RELAY_OWN | FORWARDED;
  const unsigned char *rest = (const unsigned char *)data + 1;
  uint32_t listed = bgap_membership_listed (edge->membership);
  if (!edge->is_reader || _bgap_relay_is_granter (edge)
      || bgap_relay_tree_relays (listed) == 1)
    return;
  if (bgap_buffer_append (&bytes, &topic, 1) == BGAP_OK
      && bgap_buffer_append (&bytes, rest, size - 1) == BGAP_OK)
    _bgap_relay_send (edge, &bytes, BGAP_RELAY_ROLE_RELAY);
  bgap_buffer_shutdown (&bytes);
}

static void
_bgap_relay_feed (struct bgap_edge *edge, enum relay_topic topic,
                  const struct bgap_relay_page *feed)
{
  struct bgap_buffer bytes = { 0 };
  int64_t age_ms = bgap_now_ms () - feed->sent_ms;
  if (bgap_relay_encode (edge->histories[topic], (uint8_t)topic, feed, age_ms,
                         &bytes)
      == BGAP_OK)
    _bgap_relay_send (edge, &bytes,
                      topic == RELAY_OWN ? BGAP_RELAY_ROLE_GRANTER
                                         : BGAP_RELAY_ROLE_RELAY);
  bgap_buffer_shutdown (&bytes);
}

/* Tells the others that nothing has come in the other topics.  */
static void
_bgap_relay_beat (struct bgap_edge *edge, enum relay_topic topic,
                  const struct bgap_follower *follower, int64_t seen_ms)
{
  uint64_t next = bgap_follower_next_offset (follower);
  _bgap_relay_feed (edge, topic,
                    &(struct bgap_relay_page){
                        .from = next, .next = next, .sent_ms = seen_ms });
}

void
bgap_edge_relay_config (struct bgap_edge *edge, uint64_t from,
                        const struct bgap_store_record *records, size_t count)
{
  if (!edge->is_reader)
    {
      bgap_relay_history_add (edge->histories[RELAY_CONFIG], records, count);
      return;
    }
  _bgap_relay_feed (edge, RELAY_CONFIG,
                    &(struct bgap_relay_page){
                        .from = from,
                        .next = bgap_follower_next_offset (edge->config),
                        .sent_ms = edge->config_ms,
                        .records = records,
                        .count = count });
}

void
bgap_edge_relay_own (struct bgap_edge *edge, uint64_t from,
                     const struct bgap_store_record *records, size_t count)
{
  if (!_bgap_relay_is_granter (edge))
    {
      bgap_relay_history_add (edge->histories[RELAY_OWN], records, count);
      return;
    }
  edge->beat_ms = bgap_now_ms ();
  _bgap_relay_feed (
      edge, RELAY_OWN,
      &(struct bgap_relay_page){ .from = from,
                                 .next = bgap_follower_next_offset (edge->own),
                                 .sent_ms = edge->own_ms,
                                 .records = records,
                                 .count = count });
}

/* Servers register about every second; only what has changed is passed on.  */
void
bgap_edge_relay_servers (struct bgap_edge *edge, uint64_t from,
                         const struct bgap_store_record *records, size_t count)
{
  struct bgap_store_record changed[BGAP_RELAY_RECORDS_MAX];
  size_t changed_count = 0;
  if (!edge->is_reader)
    return;
  for (size_t i = 0; i < count && changed_count < BGAP_RELAY_RECORDS_MAX; i++)
    if (records[i].removed || bgap_edge_server_changed (edge, &records[i]))
      changed[changed_count++] = records[i];
  edge->changed_count = 0;
  /* Those that find no room are found by a gap in the offsets.  */
  uint64_t next = changed_count < BGAP_RELAY_RECORDS_MAX
                      ? bgap_follower_next_offset (edge->registrations)
                      : changed[BGAP_RELAY_RECORDS_MAX - 1].offset + 1;
  _bgap_relay_feed (edge, RELAY_SERVERS,
                    &(struct bgap_relay_page){ .from = from,
                                               .next = next,
                                               .sent_ms = edge->servers_ms,
                                               .records = changed,
                                               .count = changed_count });
  _bgap_relay_beat (edge, RELAY_CONFIG, edge->config, edge->config_ms);
}

void
bgap_edge_relay_beat (struct bgap_edge *edge, int64_t now_ms)
{
  if (now_ms - edge->beat_ms < BEAT_INTERVAL_MS
      || !_bgap_relay_is_granter (edge))
    return;
  edge->beat_ms = now_ms;
  _bgap_relay_beat (edge, RELAY_OWN, edge->own, edge->own_ms);
}

/* Receiving.  */

static void
_bgap_relay_receive (struct bgap_follower *follower,
                     struct bgap_relay_message *message,
                     enum bgap_status status)
{
  message->page.sent_ms = bgap_now_ms () - message->age_ms;
  if (status == BGAP_OK)
    {
      bgap_follower_on_relay_page (follower, &message->page);
      return;
    }
  /* What cannot be restored here is read from the store.  */
  bgap_follower_restart (follower);
  bgap_follower_read_now (follower);
}

bool
bgap_edge_on_relay (struct bgap_edge *edge, const void *bytes, size_t size)
{
  struct bgap_follower *const followers[BGAP_EDGE_RELAY_TOPICS] = {
    [RELAY_CONFIG] = edge->config,
    [RELAY_SERVERS] = edge->registrations,
    [RELAY_OWN] = edge->own,
  };
  struct bgap_relay_message message;
  int head = bgap_relay_message_topic (bytes, size);
  unsigned topic = (unsigned)head & ~FORWARDED;
  if (head < 0 || topic >= BGAP_EDGE_RELAY_TOPICS)
    return false;
  if (head == RELAY_OWN)
    _bgap_relay_forward (edge, bytes, size);
  enum bgap_status status
      = bgap_relay_decode (edge->histories[topic], bytes, size, &message);
  if (status != BGAP_ERR_PROTOCOL)
    _bgap_relay_receive (followers[topic], &message, status);
  bgap_relay_message_shutdown (&message);
  return status != BGAP_ERR_PROTOCOL;
}

enum bgap_status
bgap_edge_open_relay (struct bgap_edge *edge)
{
  enum bgap_status status = BGAP_OK;
  for (int i = 0; i < BGAP_EDGE_RELAY_TOPICS && status == BGAP_OK; i++)
    status = bgap_relay_history_setup (&edge->histories[i]);
  return status;
}

void
bgap_edge_close_relay (struct bgap_edge *edge)
{
  for (int i = 0; i < BGAP_EDGE_RELAY_TOPICS; i++)
    bgap_relay_history_shutdown (edge->histories[i]);
}
