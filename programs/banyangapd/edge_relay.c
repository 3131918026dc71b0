#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/registry/relay_tree.h"
#include "edge_parts.h"
#include "now.h"

/* Interval of the granter's messages while there are no new records.  */
#define HEARTBEAT_INTERVAL_MS 1000

/* An instance that should get its records from a relay and does not get them
   reads a topic at an interval of this time for each listed instance. All
   instances together thus read it at most 250 times a second, however many
   records are appended.  */
#define UNRELAYED_PAUSE_PER_INSTANCE_MS 4

/* Minimum of this interval for an instance that is not listed yet. After a
   restart of all none is, and each of them would read each new assignment.  */
#define UNLISTED_PAUSE_MS 300

/* Marks a message of the granter or a reader that a relay has forwarded. It is
   not
   forwarded again, even if the lists of the instances differ.  */
#define FORWARDED 0x80u

static struct bgap_event_kind event_relay = { .name = "relay" };
static struct bgap_event_kind event_topic
    = { .name = "topic", .per_second = 5, .burst = 20 };
static struct bgap_event_kind event_bad_message
    = { .name = "relay-message-skipped" };

/* Roles.  */

bool
bgap_edge_member_parse (const char *member, struct bgap_edge_member *out)
{
  const char *at = strchr (member, '@');
  const char *hash = at != NULL ? strchr (at, '#') : NULL;
  if (hash == NULL || (size_t)(hash - at) > sizeof out->address
      || (size_t)(at - member) >= sizeof out->name
      || strlen (hash) > sizeof out->zone)
    return false;
  snprintf (out->name, sizeof out->name, "%.*s", (int)(at - member), member);
  snprintf (out->address, sizeof out->address, "%.*s", (int)(hash - at - 1),
            at + 1);
  snprintf (out->zone, sizeof out->zone, "%s", hash + 1);
  return true;
}

/* The granter reads the internal topic itself, since the age of its view
   limits how long it may grant, and sends the records to all others.  */
static bool
_bgap_relay_is_granter (const struct bgap_edge *edge)
{
  for (const struct bgap_edge_service *service = edge->services;
       service != NULL; service = service->hh.next)
    if (service->granter != NULL && bgap_granter_is_active (service->granter))
      return true;
  return false;
}

/* Returns the relays among the listed instances.  */
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

/* Calls @visit with @bytes for each instance to which this one forwards
   records in @role. @bytes may be NULL.  */
static void
_bgap_relay_each_subscriber (struct bgap_edge *edge, enum bgap_relay_role role,
                             void (*visit) (struct bgap_edge *edge,
                                            const char *member, uint8_t kind,
                                            const struct bgap_buffer *bytes),
                             uint8_t kind, const struct bgap_buffer *bytes)
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
        visit (edge, member, kind, bytes);
    }
  /* An instance that the store refuses still depends on the messages of the
     others.  */
  for (uint32_t i = 0; i < bgap_membership_departed (edge->membership); i++)
    {
      const char *member = bgap_membership_departed_at (edge->membership, i);
      if (bgap_relay_tree_forwards (&tree, own, UINT32_MAX, member, role))
        visit (edge, member, kind, bytes);
    }
}

static void
_bgap_relay_connect (struct bgap_edge *edge, const char *member, uint8_t kind,
                     const struct bgap_buffer *bytes)
{
  struct bgap_error err = { 0 };
  struct bgap_edge_member parsed;
  (void)kind;
  (void)bytes;
  if (!bgap_edge_member_parse (member, &parsed))
    return;
  if (bgap_peer_set (edge->peer, member, parsed.address, &err) != BGAP_OK)
    bgap_event (&event_relay, "peer=%s reason=\"%s\"", member, err.message);
}

void
bgap_edge_send_to (struct bgap_edge *edge, const char *member, uint8_t kind,
                   const struct bgap_buffer *bytes)
{
  _bgap_relay_connect (edge, member, kind, NULL);
  /* Messages may get lost: an instance that misses a record reads the store
     itself, one that gets no permits asks again, and what all have to know is
     repeated.  */
  (void)bgap_peer_send (edge->peer, member, kind, bytes->data, bytes->size);
}

static void
_bgap_relay_send_to (struct bgap_edge *edge, const char *member, uint8_t kind,
                     const struct bgap_buffer *bytes)
{
  edge->relay_bytes_sent += bytes->size;
  bgap_edge_send_to (edge, member, kind, bytes);
}

static void
_bgap_relay_send (struct bgap_edge *edge, const struct bgap_buffer *bytes,
                  enum bgap_relay_role role)
{
  _bgap_relay_each_subscriber (edge, role, _bgap_relay_send_to,
                               BGAP_EDGE_MESSAGE_RELAY, bytes);
}

void
bgap_edge_broadcast (struct bgap_edge *edge, uint8_t kind,
                     const struct bgap_buffer *bytes)
{
  _bgap_relay_each_subscriber (edge, BGAP_RELAY_ROLE_GRANTER,
                               bgap_edge_send_to, kind, bytes);
}

void
bgap_edge_connect_broadcast (struct bgap_edge *edge)
{
  _bgap_relay_each_subscriber (edge, BGAP_RELAY_ROLE_GRANTER,
                               _bgap_relay_connect, 0, NULL);
}

void
bgap_edge_forward_broadcast (struct bgap_edge *edge, uint8_t kind,
                             const struct bgap_buffer *bytes)
{
  uint32_t listed = bgap_membership_listed (edge->membership);
  if (edge->is_relay && bgap_relay_tree_relays (listed) > 1)
    _bgap_relay_each_subscriber (edge, BGAP_RELAY_ROLE_RELAY,
                                 bgap_edge_send_to, kind, bytes);
}

/* Role in which a relay sends what it has read.  */
static enum bgap_relay_role
_bgap_relay_role (const struct bgap_edge *edge)
{
  return edge->is_reader ? BGAP_RELAY_ROLE_READER : BGAP_RELAY_ROLE_RELAY;
}

/* Messages that are sent before a connection is open are lost. Relays and the
   first member, which may become the granter, therefore connect to their
   subscribers in advance.  */
static void
_bgap_relay_connect_subscribers (struct bgap_edge *edge)
{
  if (edge->is_relay)
    _bgap_relay_each_subscriber (edge, _bgap_relay_role (edge),
                                 _bgap_relay_connect, 0, NULL);
  if (bgap_membership_is_first (edge->membership))
    _bgap_relay_each_subscriber (edge, BGAP_RELAY_ROLE_GRANTER,
                                 _bgap_relay_connect, 0, NULL);
}

void
bgap_edge_update_followers (struct bgap_edge *edge)
{
  uint32_t listed = bgap_membership_listed (edge->membership);
  uint32_t pause_ms = listed * UNRELAYED_PAUSE_PER_INSTANCE_MS;
  if (!bgap_membership_has (edge->membership, edge->member)
      && pause_ms < UNLISTED_PAUSE_MS)
    pause_ms = UNLISTED_PAUSE_MS;
  /* A reader that does not reach the store takes what others have read: they
     may have chosen another reader, which it cannot know.  */
  bool takes_relayed = !edge->is_reader || edge->store_failing;
  bgap_follower_set_relayed (edge->config, takes_relayed, pause_ms);
  bgap_follower_set_relayed (edge->registrations, takes_relayed, pause_ms);
  bgap_follower_set_relayed (edge->internal, !_bgap_relay_is_granter (edge),
                             pause_ms);
}

void
bgap_edge_update_relay (struct bgap_edge *edge)
{
  uint32_t listed = bgap_membership_listed (edge->membership);
  uint32_t index = bgap_membership_index (edge->membership, edge->member);
  uint32_t relays = bgap_relay_tree_relays (listed);
  uint32_t readers = bgap_relay_tree_readers (relays);
  bool is_listed = bgap_membership_has (edge->membership, edge->member);
  /* An instance that was never listed has no relay and reads the store
     itself. One that was listed before still gets messages.  */
  edge->was_listed = edge->was_listed || is_listed;
  bool is_relay = is_listed ? index < relays : !edge->was_listed;
  bool is_reader = is_listed ? index < readers : !edge->was_listed;
  if (is_relay != edge->is_relay || is_reader != edge->is_reader)
    bgap_event (&event_relay,
                "is_relay=%d is_reader=%d index=%u relays=%u instances=%u",
                is_relay, is_reader, index, relays, listed);
  /* A reader reads the store itself; what it has not applied is obsolete.  */
  if (is_reader)
    {
      bgap_relay_subscriber_shutdown (&edge->subscribers[BGAP_EDGE_CONFIG]);
      bgap_relay_subscriber_shutdown (&edge->subscribers[BGAP_EDGE_SERVERS]);
    }
  edge->is_relay = is_relay;
  edge->is_reader = is_reader;
  /* Relays choose their subscribers by the list, so that they need it soon
     after each change, and so do the instances that replace them.  */
  bgap_membership_set_eager (edge->membership,
                             is_listed && index < relays + BGAP_RELAY_STANDBY);
  edge->is_core = !is_listed || bgap_relay_tree_is_core (listed, index)
                  || _bgap_relay_is_granter (edge);
  bgap_edge_update_pace (edge);
  bgap_edge_update_followers (edge);
  _bgap_relay_connect_subscribers (edge);
}

/* Whether this instance forwards messages on a topic, which come from the
   granter or a reader, to its subscribers.  */
static bool
_bgap_relay_must_forward (const struct bgap_edge *edge, unsigned topic)
{
  uint32_t listed = bgap_membership_listed (edge->membership);
  if (!edge->is_relay || bgap_relay_tree_relays (listed) == 1)
    return false;
  return topic == BGAP_EDGE_INTERNAL ? !_bgap_relay_is_granter (edge)
                                     : !edge->is_reader;
}

static void
_bgap_relay_forward (struct bgap_edge *edge, unsigned topic, const void *data,
                     size_t size)
{
  struct bgap_buffer bytes = { 0 };
  const unsigned char head = (unsigned char)(topic | FORWARDED);
  const unsigned char *rest = (const unsigned char *)data + 1;
  if (bgap_buffer_append (&bytes, &head, 1) == BGAP_OK
      && bgap_buffer_append (&bytes, rest, size - 1) == BGAP_OK)
    _bgap_relay_send (edge, &bytes, BGAP_RELAY_ROLE_RELAY);
  bgap_buffer_shutdown (&bytes);
}

static void
_bgap_relay_send_page (struct bgap_edge *edge, enum bgap_edge_topic topic,
                       const struct bgap_relay_page *feed)
{
  struct bgap_buffer bytes = { 0 };
  struct bgap_relay_page page = *feed;
  int64_t age_ms = bgap_now_ms () - feed->sent_ms;
  page.timeline = bgap_timeline_guard_current (edge->guard);
  if (bgap_relay_encode (edge->histories[topic], (uint8_t)topic, &page, age_ms,
                         &bytes)
      == BGAP_OK)
    _bgap_relay_send (edge, &bytes,
                      topic == BGAP_EDGE_INTERNAL ? BGAP_RELAY_ROLE_GRANTER
                                                  : _bgap_relay_role (edge));
  bgap_buffer_shutdown (&bytes);
}

/* Sends a message without records, which tells that there was no newer record
   in the topic at @seen_ms.  */
static void
_bgap_relay_send_heartbeat (struct bgap_edge *edge, enum bgap_edge_topic topic,
                            const struct bgap_follower *follower,
                            int64_t seen_ms)
{
  uint64_t next = bgap_follower_next_offset (follower);
  _bgap_relay_send_page (edge, topic,
                         &(struct bgap_relay_page){
                             .from = next, .next = next, .sent_ms = seen_ms });
}

/* Handles records that this instance has read itself and does not forward.  */
static void
_bgap_relay_on_read (struct bgap_edge *edge, enum bgap_edge_topic topic,
                     const struct bgap_store_record *records, size_t count)
{
  bgap_relay_history_add (edge->histories[topic], records, count);
  bgap_relay_subscriber_on_read (&edge->subscribers[topic]);
}

void
bgap_edge_relay_load_read (struct bgap_edge *edge, enum bgap_edge_topic topic,
                           const struct bgap_store_record *records,
                           size_t count)
{
  bgap_relay_history_add (edge->histories[topic], records, count);
}

void
bgap_edge_relay_loaded (struct bgap_edge *edge, enum bgap_edge_topic topic)
{
  bgap_relay_subscriber_on_read (&edge->subscribers[topic]);
}

/* As a relay that got nothing from its reader and has read the records itself,
   applies what has arrived since.  */
static void
_bgap_relay_catch_up (struct bgap_edge *edge, enum bgap_edge_topic topic)
{
  if (!edge->is_reader)
    bgap_relay_subscriber_on_read (&edge->subscribers[topic]);
}

void
bgap_edge_relay_config (struct bgap_edge *edge, uint64_t from,
                        const struct bgap_store_record *records, size_t count)
{
  if (!edge->is_relay)
    {
      _bgap_relay_on_read (edge, BGAP_EDGE_CONFIG, records, count);
      return;
    }
  /* Records that do not fit in the message leave a gap in the offsets, which
     makes the receiver read the store.  */
  bool fits = count <= BGAP_RELAY_RECORDS_MAX;
  _bgap_relay_send_page (
      edge, BGAP_EDGE_CONFIG,
      &(struct bgap_relay_page){
          .from = from,
          .next = fits ? bgap_follower_next_offset (edge->config)
                       : records[BGAP_RELAY_RECORDS_MAX - 1].offset + 1,
          .sent_ms = edge->config_synced_ms,
          .records = records,
          .count = fits ? count : BGAP_RELAY_RECORDS_MAX });
  _bgap_relay_catch_up (edge, BGAP_EDGE_CONFIG);
}

void
bgap_edge_relay_internal (struct bgap_edge *edge, uint64_t from,
                          const struct bgap_store_record *records,
                          size_t count)
{
  if (!_bgap_relay_is_granter (edge))
    {
      _bgap_relay_on_read (edge, BGAP_EDGE_INTERNAL, records, count);
      return;
    }
  edge->heartbeat_sent_ms = bgap_now_ms ();
  _bgap_relay_send_page (
      edge, BGAP_EDGE_INTERNAL,
      &(struct bgap_relay_page){ .from = from,
                                 .next
                                 = bgap_follower_next_offset (edge->internal),
                                 .sent_ms = edge->internal_synced_ms,
                                 .records = records,
                                 .count = count });
}

/* Servers register again about every second; only changed registrations are
   forwarded.  */
void
bgap_edge_relay_servers (struct bgap_edge *edge, uint64_t from,
                         const struct bgap_store_record *records, size_t count)
{
  struct bgap_store_record changed[BGAP_RELAY_RECORDS_MAX];
  size_t changed_count = 0;
  if (!edge->is_relay)
    {
      _bgap_relay_on_read (edge, BGAP_EDGE_SERVERS, records, count);
      return;
    }
  for (size_t i = 0; i < count && changed_count < BGAP_RELAY_RECORDS_MAX; i++)
    if (records[i].removed || bgap_edge_server_changed (edge, &records[i]))
      changed[changed_count++] = records[i];
  edge->changed_server_count = 0;
  /* Records that do not fit in the message leave a gap in the offsets, which
     makes the receiver read the store.  */
  uint64_t next = changed_count < BGAP_RELAY_RECORDS_MAX
                      ? bgap_follower_next_offset (edge->registrations)
                      : changed[BGAP_RELAY_RECORDS_MAX - 1].offset + 1;
  _bgap_relay_send_page (
      edge, BGAP_EDGE_SERVERS,
      &(struct bgap_relay_page){ .from = from,
                                 .next = next,
                                 .sent_ms = edge->servers_synced_ms,
                                 .records = changed,
                                 .count = changed_count });
  _bgap_relay_send_heartbeat (edge, BGAP_EDGE_CONFIG, edge->config,
                              edge->config_synced_ms);
  _bgap_relay_catch_up (edge, BGAP_EDGE_SERVERS);
}

void
bgap_edge_relay_heartbeat (struct bgap_edge *edge, int64_t now_ms)
{
  if (now_ms - edge->heartbeat_sent_ms < HEARTBEAT_INTERVAL_MS
      || !_bgap_relay_is_granter (edge))
    return;
  edge->heartbeat_sent_ms = now_ms;
  _bgap_relay_send_heartbeat (edge, BGAP_EDGE_INTERNAL, edge->internal,
                              edge->internal_synced_ms);
}

/* Receiving.  */

void
bgap_edge_report_gap (const char *topic, const struct bgap_follower *follower,
                      const struct bgap_follower_gap *gap)
{
  const struct bgap_follower_counts counts = bgap_follower_counts (follower);
  bgap_event (&event_topic,
              "topic=%s state=%s next=%llu relayed_next=%llu behind_ms=%lld "
              "reading_ms=%lld reads=%llu abandoned=%llu",
              topic, gap->closed ? "caught-up" : "behind",
              (unsigned long long)gap->next,
              (unsigned long long)gap->relayed_next, (long long)gap->behind_ms,
              (long long)gap->reading_ms, (unsigned long long)counts.reads,
              (unsigned long long)counts.reads_abandoned);
}

void
bgap_edge_relay_restored (struct bgap_edge *edge)
{
  for (int i = 0; i < BGAP_EDGE_RELAY_TOPICS; i++)
    {
      bgap_relay_history_clear (edge->histories[i]);
      bgap_relay_subscriber_shutdown (&edge->subscribers[i]);
    }
}

bool
bgap_edge_on_relay (struct bgap_edge *edge, const void *bytes, size_t size)
{
  struct bgap_error err = { 0 };
  int head = bgap_relay_message_topic (bytes, size);
  unsigned topic = (unsigned)head & ~FORWARDED;
  uint64_t timeline = bgap_relay_message_timeline (bytes, size);
  if (head < 0 || topic >= BGAP_EDGE_RELAY_TOPICS)
    return false;
  bgap_timeline_guard_learn (edge->guard, timeline);
  if (timeline < bgap_timeline_guard_current (edge->guard))
    {
      bgap_event (&event_bad_message,
                  "topic=%u bytes=%zu reason=\"timeline %llu of the store is "
                  "over\"",
                  topic, size, (unsigned long long)timeline);
      return true;
    }
  if (head == (int)topic && _bgap_relay_must_forward (edge, topic))
    _bgap_relay_forward (edge, topic, bytes, size);
  enum bgap_status status = bgap_relay_subscriber_on_message (
      &edge->subscribers[topic], bytes, size, &err);
  if (status != BGAP_OK && status != BGAP_ERR_STALE)
    bgap_event (&event_bad_message, "topic=%u bytes=%zu reason=\"%s\"", topic,
                size, err.message);
  return status != BGAP_ERR_PROTOCOL;
}

enum bgap_status
bgap_edge_open_relay (struct bgap_edge *edge)
{
  struct bgap_follower *const followers[BGAP_EDGE_RELAY_TOPICS] = {
    [BGAP_EDGE_CONFIG] = edge->config,
    [BGAP_EDGE_SERVERS] = edge->registrations,
    [BGAP_EDGE_INTERNAL] = edge->internal,
  };
  enum bgap_status status = BGAP_OK;
  for (int i = 0; i < BGAP_EDGE_RELAY_TOPICS && status == BGAP_OK; i++)
    {
      status = bgap_relay_history_setup (&edge->histories[i]);
      edge->subscribers[i] = (struct bgap_relay_subscriber){
        .follower = followers[i],
        .history = edge->histories[i],
      };
    }
  return status;
}

void
bgap_edge_close_relay (struct bgap_edge *edge)
{
  for (int i = 0; i < BGAP_EDGE_RELAY_TOPICS; i++)
    {
      bgap_relay_subscriber_shutdown (&edge->subscribers[i]);
      bgap_relay_history_shutdown (edge->histories[i]);
    }
}
