#include <stdlib.h>
#include <string.h>

#include "edge_parts.h"
#include "now.h"

/* Interval of the lines on the use of rate limits.  */
#define USE_INTERVAL_MS 1000

/* First byte of a message to all instances: whether a relay has forwarded
   it.  */
#define NOT_FORWARDED 0u
#define FORWARDED 1u

static struct bgap_event_kind event_limit = { .name = "server-limit" };
static struct bgap_event_kind event_use
    = { .name = "server-limit-use", .per_second = 20, .burst = 100 };

static const char *
_bgap_limits_change_name (double previous_per_s, double per_s)
{
  if (previous_per_s <= 0)
    return "named";
  return per_s > 0 ? "changed" : "ended";
}

static void
_bgap_limits_log (const struct bgap_edge *edge,
                  const struct bgap_edge_server *server, const char *change,
                  double previous_per_s)
{
  struct bgap_server_status status;
  if (bgap_router_server_status (&edge->router, bgap_now_ms (),
                                 server->router_id, &status)
      != BGAP_OK)
    return;
  bgap_event (&event_limit,
              "server=%s service=%s change=%s limit=%.3f previous=%.3f "
              "sent_4s=%u",
              server->id, server->service->name, change,
              status.rate_limit_per_s, previous_per_s, status.sent_recently);
}

void
bgap_edge_keep_limit (struct bgap_edge *edge,
                      const struct bgap_edge_server *server)
{
  int64_t now_ms = bgap_now_ms ();
  struct bgap_server_status status;
  int64_t started_ms = server->known != NULL ? server->known->entry.started_ms
                                             : server->former_started_ms;
  if (bgap_router_server_status (&edge->router, now_ms, server->router_id,
                                 &status)
      != BGAP_OK)
    return;
  bgap_server_view_limited (edge->view, server->id, started_ms,
                            status.rate_limit_per_s,
                            now_ms - status.rate_limit_age_ms);
}

void
bgap_edge_describe_limit (const struct bgap_edge *edge,
                          const struct bgap_server_entry *entry,
                          struct bgap_server_desc *desc)
{
  const struct bgap_known_server *known
      = bgap_server_view_find (edge->view, entry->id);
  if (known == NULL)
    return;
  desc->limit_per_s = known->limit_per_s;
  desc->limit_age_ms = bgap_now_ms () - known->limit_heard_ms;
}

void
bgap_edge_log_kept_limit (const struct bgap_edge *edge,
                          const struct bgap_edge_server *server)
{
  if (server->known->limit_per_s > 0)
    _bgap_limits_log (edge, server, "kept", server->known->limit_per_s);
}

void
bgap_edge_on_limit (struct bgap_edge *edge,
                    const struct bgap_edge_server *server,
                    const struct bgap_wire_response *response)
{
  int64_t now_ms = bgap_now_ms ();
  struct bgap_server_status status;
  bool is_other = response->server[0] != '\0'
                  && strcmp (response->server, server->id) != 0;
  if (is_other
      || bgap_router_server_status (&edge->router, now_ms, server->router_id,
                                    &status)
             != BGAP_OK)
    return;
  if (response->limit == BGAP_WIRE_NUMBER_MALFORMED)
    {
      _bgap_limits_log (edge, server, "ignored", status.rate_limit_per_s);
      return;
    }
  double per_s = response->limit == BGAP_WIRE_NUMBER_STATED
                     ? bgap_rate_limit_clamp (response->limit_per_s)
                     : 0;
  double previous_per_s = status.rate_limit_per_s;
  if (per_s > 0 || previous_per_s > 0)
    {
      bgap_router_server_rate_limit (&edge->router, now_ms, server->router_id,
                                     per_s);
      bgap_edge_keep_limit (edge, server);
    }
  if (per_s == previous_per_s)
    return;
  _bgap_limits_log (edge, server,
                    _bgap_limits_change_name (previous_per_s, per_s),
                    previous_per_s);
}

void
bgap_edge_log_limits (struct bgap_edge *edge, int64_t now_ms)
{
  if (now_ms - edge->limits_logged_ms < USE_INTERVAL_MS)
    return;
  edge->limits_logged_ms = now_ms;
  for (const struct bgap_edge_server *server = edge->servers; server != NULL;
       server = server->hh.next)
    {
      struct bgap_server_status status;
      if (bgap_router_server_status (&edge->router, now_ms, server->router_id,
                                     &status)
              != BGAP_OK
          || (status.rate_limit_per_s <= 0 && status.cold_per_s <= 0))
        continue;
      bgap_event (&event_use,
                  "server=%s service=%s limit=%.3f cold_per_s=%.3f "
                  "cold_left_ms=%lld sent_4s=%u in_flight=%u "
                  "permits=%u asked=%u wait_ms=%lld",
                  server->id, server->service->name, status.rate_limit_per_s,
                  status.cold_per_s, (long long)status.cold_left_ms,
                  status.sent_recently, status.in_flight, status.permits,
                  status.permits_asked, (long long)status.permit_wait_ms);
    }
}

uint32_t
bgap_edge_limited_servers (const struct bgap_edge *edge)
{
  uint32_t count = 0;
  for (const struct bgap_edge_server *server = edge->servers; server != NULL;
       server = server->hh.next)
    {
      struct bgap_server_status status;
      if (bgap_router_server_status (&edge->router, bgap_now_ms (),
                                     server->router_id, &status)
          == BGAP_OK)
        count += status.rate_limit_per_s > 0;
    }
  return count;
}

/* Sharing the limits among the instances.  */

void
bgap_edge_update_instances (struct bgap_edge *edge)
{
  uint32_t listed = bgap_membership_listed (edge->membership);
  uint32_t departed = bgap_membership_departed (edge->membership);
  uint32_t all = listed + departed;
  int64_t now_ms = bgap_now_ms ();
  struct bgap_edge_member *members = calloc (all + 1, sizeof *members);
  struct bgap_router_instance *instances = calloc (all + 1, sizeof *instances);
  uint32_t count = 0;
  for (uint32_t i = 0; members != NULL && instances != NULL && i < all; i++)
    {
      const char *member
          = i < listed
                ? bgap_membership_at (edge->membership, i)
                : bgap_membership_departed_at (edge->membership, i - listed);
      if (!bgap_edge_member_parse (member, &members[count]))
        continue;
      instances[count].name = members[count].name;
      instances[count].departed = i >= listed;
      if (i >= listed)
        instances[count].departed_for_ms
            = now_ms
              - bgap_membership_departed_ms (edge->membership, i - listed);
      count++;
    }
  if (members == NULL || instances == NULL
      || bgap_router_set_instances (&edge->router, now_ms, instances, count)
             != BGAP_OK)
    bgap_event (&event_limit, "change=failed reason=\"out of memory\"");
  free (instances);
  free (members);
}

/* Name of a member in the group, or NULL.  */
static const char *
_bgap_limits_member (const struct bgap_edge *edge, const char *instance)
{
  size_t size = strlen (instance);
  uint32_t listed = bgap_membership_listed (edge->membership);
  uint32_t all = listed + bgap_membership_departed (edge->membership);
  for (uint32_t i = 0; i < all; i++)
    {
      const char *member
          = i < listed
                ? bgap_membership_at (edge->membership, i)
                : bgap_membership_departed_at (edge->membership, i - listed);
      if (strncmp (member, instance, size) == 0 && member[size] == '@')
        return member;
    }
  return NULL;
}

/* Prefixes a message of the router with one byte.  */
static bool
_bgap_limits_message (const struct bgap_router_action *action,
                      unsigned char first, struct bgap_buffer *out)
{
  return bgap_buffer_append (out, &first, 1) == BGAP_OK
         && bgap_buffer_append (out, action->bytes, action->size) == BGAP_OK;
}

void
bgap_edge_send_permits (struct bgap_edge *edge,
                        const struct bgap_router_action *action)
{
  struct bgap_buffer bytes = { 0 };
  const char *member = _bgap_limits_member (edge, action->instance);
  if (member != NULL
      && _bgap_limits_message (action, (unsigned char)action->peer_kind,
                               &bytes))
    bgap_edge_send_to (edge, member, BGAP_EDGE_MESSAGE_ROUTER, &bytes);
  bgap_buffer_shutdown (&bytes);
}

void
bgap_edge_send_limits (struct bgap_edge *edge,
                       const struct bgap_router_action *action)
{
  struct bgap_buffer bytes = { 0 };
  if (_bgap_limits_message (action, NOT_FORWARDED, &bytes))
    bgap_edge_broadcast (edge, BGAP_EDGE_MESSAGE_LIMITS, &bytes);
  bgap_buffer_shutdown (&bytes);
}

static void
_bgap_limits_forward (struct bgap_edge *edge, const unsigned char *bytes,
                      size_t size)
{
  const struct bgap_router_action action
      = { .bytes = bytes + 1, .size = size - 1 };
  struct bgap_buffer forwarded = { 0 };
  if (bytes[0] == NOT_FORWARDED
      && _bgap_limits_message (&action, FORWARDED, &forwarded))
    bgap_edge_forward_broadcast (edge, BGAP_EDGE_MESSAGE_LIMITS, &forwarded);
  bgap_buffer_shutdown (&forwarded);
}

bool
bgap_edge_on_permits (struct bgap_edge *edge, const char *from, uint8_t kind,
                      const void *bytes, size_t size)
{
  const unsigned char *data = bytes;
  struct bgap_error err = { 0 };
  if (size == 0)
    return false;
  int message = kind == BGAP_EDGE_MESSAGE_LIMITS
                    ? BGAP_ROUTING_MESSAGE_RATE_LIMITS
                    : data[0];
  bool valid = bgap_router_on_peer (&edge->router, bgap_now_ms (), from,
                                    message, data + 1, size - 1, &err)
               == BGAP_OK;
  if (valid && kind == BGAP_EDGE_MESSAGE_LIMITS)
    _bgap_limits_forward (edge, data, size);
  bgap_edge_run_actions (edge);
  return valid;
}
