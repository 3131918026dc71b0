#include "members.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/base/hash.h"
#include "banyangap/base/log.h"
#include "message_kinds.h"
#include "now.h"
#include "status_message.h"

/* Largest number of hosts.  */
#define MEMBERS_MAX 2048

#define FETCH_INTERVAL_MS 500
#define STATUS_INTERVAL_MS 500

struct bgap_members
{
  struct bgap_members_desc desc;
  struct event *fetch_timer;
  struct event *status_timer;
  struct bgap_member *items;
  uint32_t count;
  int64_t config_version;
  bool fetch_failing;
};

static struct bgap_member *
_bgap_members_find (const struct bgap_members *members, const char *name,
                    enum bgap_host_role role)
{
  for (uint32_t i = 0; i < members->count; i++)
    if (members->items[i].role == role
        && strcmp (members->items[i].name, name) == 0)
      return &members->items[i];
  return NULL;
}

static struct bgap_member *
_bgap_members_add (struct bgap_members *members, const char *name,
                   enum bgap_host_role role)
{
  if (members->count == MEMBERS_MAX)
    return NULL;
  struct bgap_member *member = &members->items[members->count++];
  *member = (struct bgap_member){ .role = role };
  snprintf (member->name, sizeof member->name, "%s", name);
  return member;
}

static bool
_bgap_member_alive (const struct bgap_member *member, int64_t now_ms)
{
  return member->role == BGAP_HOST_ENTRY && member->seen_ms != 0
         && now_ms - member->seen_ms < BGAP_MEMBER_LOST_MS;
}

static bool
_bgap_member_is_self (const struct bgap_members *members,
                      const struct bgap_member *member)
{
  return member->role == BGAP_HOST_ENTRY
         && strcmp (member->name, members->desc.settings->name) == 0;
}

static void
_bgap_members_connect (struct bgap_members *members,
                       const struct bgap_member *member)
{
  struct bgap_error err = { 0 };
  if (member->role != BGAP_HOST_ENTRY || member->peer_address[0] == '\0'
      || _bgap_member_is_self (members, member))
    return;
  if (bgap_peer_set (members->desc.peer, member->name, member->peer_address,
                     &err)
      != BGAP_OK)
    bgap_log_warn ("members", "%s", err.message);
}

static bool
_bgap_member_update (struct bgap_member *member, const struct bgap_host *host)
{
  bool leaving = host->state == BGAP_HOST_LEAVING;
  bool changed = !member->listed || member->leaving != leaving
                 || strcmp (member->zone, host->zone) != 0
                 || strcmp (member->address, host->address) != 0
                 || strcmp (member->peer_address, host->peer_address) != 0;
  snprintf (member->zone, sizeof member->zone, "%s", host->zone);
  snprintf (member->address, sizeof member->address, "%s", host->address);
  snprintf (member->peer_address, sizeof member->peer_address, "%s",
            host->peer_address);
  member->leaving = leaving;
  member->listed = true;
  return changed;
}

/* Removes hosts that are not listed and send no status messages.

   Return: whether a host was removed or is no longer listed.  */
static bool
_bgap_members_prune (struct bgap_members *members, const bool *listed)
{
  bool changed = false;
  uint32_t kept = 0;
  int64_t now_ms = bgap_now_ms ();
  for (uint32_t i = 0; i < members->count; i++)
    {
      struct bgap_member *member = &members->items[i];
      changed = changed || (member->listed && !listed[i]);
      member->listed = listed[i];
      if (!member->listed && !_bgap_member_alive (member, now_ms))
        {
          if (member->role == BGAP_HOST_ENTRY)
            bgap_peer_remove (members->desc.peer, member->name);
          changed = true;
          continue;
        }
      members->items[kept++] = *member;
    }
  members->count = kept;
  return changed;
}

static void
_bgap_members_on_hosts (void *user, const struct bgap_host_list_result *result)
{
  struct bgap_members *members = user;
  if (result->answer != BGAP_ANSWER_OK)
    {
      if (!members->fetch_failing)
        bgap_log_warn ("members", "host list not available; reason=%s",
                       result->message);
      members->fetch_failing = true;
      return;
    }
  members->fetch_failing = false;
  bool *listed = calloc (MEMBERS_MAX, sizeof *listed);
  if (listed == NULL)
    return;
  bool changed = false;
  for (size_t i = 0; i < result->count; i++)
    {
      const struct bgap_host *host = &result->hosts[i];
      struct bgap_member *member
          = _bgap_members_find (members, host->name, host->role);
      if (member == NULL)
        member = _bgap_members_add (members, host->name, host->role);
      if (member == NULL)
        continue;
      changed = _bgap_member_update (member, host) || changed;
      listed[member - members->items] = true;
      _bgap_members_connect (members, member);
    }
  changed = _bgap_members_prune (members, listed) || changed;
  free (listed);
  if (changed)
    members->desc.changed (members->desc.context);
}

static void
_bgap_members_on_fetch_timer (evutil_socket_t fd, short what, void *context)
{
  struct bgap_members *members = context;
  (void)fd;
  (void)what;
  members->desc.hosts->fetch (members->desc.hosts->context,
                              _bgap_members_on_hosts, members);
}

static void
_bgap_members_check_lost (struct bgap_members *members, int64_t now_ms)
{
  for (uint32_t i = 0; i < members->count; i++)
    {
      struct bgap_member *member = &members->items[i];
      if (member->seen_ms == 0 || _bgap_member_alive (member, now_ms))
        continue;
      member->seen_ms = 0;
      bgap_log_warn ("members", "instance is silent; name=%s", member->name);
      members->desc.lost (members->desc.context, member->name);
    }
}

static void
_bgap_members_on_status_timer (evutil_socket_t fd, short what, void *context)
{
  struct bgap_members *members = context;
  (void)fd;
  (void)what;
  const struct bgap_settings *settings = members->desc.settings;
  struct bgap_status_message message
      = { .config_version = members->config_version };
  snprintf (message.zone, sizeof message.zone, "%s", settings->zone);
  snprintf (message.peer_address, sizeof message.peer_address, "%s",
            settings->peers_address);
  struct bgap_buffer bytes = { 0 };
  if (bgap_status_message_encode (&message, &bytes) == BGAP_OK)
    for (uint32_t i = 0; i < members->count; i++)
      {
        const struct bgap_member *member = &members->items[i];
        if (member->role == BGAP_HOST_ENTRY
            && !_bgap_member_is_self (members, member))
          bgap_peer_send (members->desc.peer, member->name,
                          BGAP_MESSAGE_STATUS, bytes.data, bytes.size);
      }
  bgap_buffer_shutdown (&bytes);
  _bgap_members_check_lost (members, bgap_now_ms ());
}

enum bgap_status
bgap_members_setup (const struct bgap_members_desc *desc,
                    struct bgap_members **out, struct bgap_error *err)
{
  struct bgap_members *members = calloc (1, sizeof *members);
  if (members == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "no memory for members");
  members->desc = *desc;
  members->items = calloc (MEMBERS_MAX, sizeof *members->items);
  members->fetch_timer = event_new (desc->base, -1, EV_PERSIST,
                                    _bgap_members_on_fetch_timer, members);
  members->status_timer = event_new (desc->base, -1, EV_PERSIST,
                                     _bgap_members_on_status_timer, members);
  if (!members->items || !members->fetch_timer || !members->status_timer)
    {
      bgap_members_shutdown (members);
      return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "no memory for members");
    }
  const struct timeval fetch = bgap_timeval (FETCH_INTERVAL_MS);
  const struct timeval status = bgap_timeval (STATUS_INTERVAL_MS);
  event_add (members->fetch_timer, &fetch);
  event_add (members->status_timer, &status);
  event_active (members->fetch_timer, EV_TIMEOUT, 0);
  *out = members;
  return BGAP_OK;
}

void
bgap_members_shutdown (struct bgap_members *members)
{
  if (members == NULL)
    return;
  if (members->fetch_timer != NULL)
    event_free (members->fetch_timer);
  if (members->status_timer != NULL)
    event_free (members->status_timer);
  free (members->items);
  free (members);
}

uint32_t
bgap_members_count (const struct bgap_members *members)
{
  return members->count;
}

const struct bgap_member *
bgap_members_at (const struct bgap_members *members, uint32_t index)
{
  return &members->items[index];
}

bool
bgap_members_server_leaving (const struct bgap_members *members,
                             const char *address)
{
  for (uint32_t i = 0; i < members->count; i++)
    {
      const struct bgap_member *member = &members->items[i];
      if (member->role == BGAP_HOST_BACKEND && member->leaving
          && strcmp (member->address, address) == 0)
        return true;
    }
  return false;
}

void
bgap_members_on_status (struct bgap_members *members, const char *from,
                        const void *bytes, size_t size)
{
  struct bgap_status_message message = { 0 };
  struct bgap_error err = { 0 };
  if (bgap_status_message_decode (bytes, size, &message, &err) != BGAP_OK)
    {
      bgap_log_warn ("members", "%s; from=%s", err.message, from);
      return;
    }
  struct bgap_member *member
      = _bgap_members_find (members, from, BGAP_HOST_ENTRY);
  bool added = member == NULL;
  if (added)
    member = _bgap_members_add (members, from, BGAP_HOST_ENTRY);
  if (member == NULL)
    return;
  member->seen_ms = bgap_now_ms ();
  member->config_version = message.config_version;
  if (!member->listed)
    {
      snprintf (member->zone, sizeof member->zone, "%s", message.zone);
      snprintf (member->peer_address, sizeof member->peer_address, "%s",
                message.peer_address);
      _bgap_members_connect (members, member);
    }
  if (added)
    members->desc.changed (members->desc.context);
}

void
bgap_members_set_config (struct bgap_members *members, int64_t version)
{
  members->config_version = version;
}

uint32_t
bgap_members_count_in_force (const struct bgap_members *members,
                             int64_t version, uint32_t *instances)
{
  int64_t now_ms = bgap_now_ms ();
  uint32_t in_force = members->config_version >= version;
  *instances = 1;
  for (uint32_t i = 0; i < members->count; i++)
    {
      const struct bgap_member *member = &members->items[i];
      if (_bgap_member_is_self (members, member)
          || !_bgap_member_alive (member, now_ms))
        continue;
      ++*instances;
      if (member->config_version >= version)
        in_force++;
    }
  return in_force;
}

const struct bgap_member *
bgap_members_newest (const struct bgap_members *members)
{
  const struct bgap_member *newest = NULL;
  int64_t now_ms = bgap_now_ms ();
  int64_t version = members->config_version;
  for (uint32_t i = 0; i < members->count; i++)
    {
      const struct bgap_member *member = &members->items[i];
      if (!_bgap_member_alive (member, now_ms)
          || member->config_version <= version)
        continue;
      newest = member;
      version = member->config_version;
    }
  return newest;
}

bool
bgap_members_is_responsible (const struct bgap_members *members,
                             const char *task)
{
  int64_t now_ms = bgap_now_ms ();
  uint64_t key = bgap_hash64 (task, strlen (task));
  uint64_t own = bgap_rendezvous_weight (key, members->desc.settings->name);
  for (uint32_t i = 0; i < members->count; i++)
    {
      const struct bgap_member *member = &members->items[i];
      if (_bgap_member_alive (member, now_ms)
          && !_bgap_member_is_self (members, member)
          && bgap_rendezvous_weight (key, member->name) > own)
        return false;
    }
  return true;
}
