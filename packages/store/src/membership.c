#include "banyangap/store/membership.h"

#include <event2/event_struct.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/base/clock.h"

/**
 * struct bgap_membership - the membership
 * @generation: of the group, as last received
 * @listed_generation: the one for which the list was read
 */
struct bgap_membership
{
  struct bgap_membership_desc desc;
  struct event timer;
  int64_t generation;
  int64_t listed_generation;
  int64_t listed_ms;
  bool is_first;
  bool joining;
  bool listing;
  bool left;
  char (*names)[BGAP_STORE_MEMBER_SIZE];
  size_t count;
};

static int64_t
_bgap_membership_now_ms (void)
{
  const struct bgap_clock *clock = bgap_clock_system ();
  return clock->now_ms (clock->context);
}

static void
_bgap_membership_on_members (void *user,
                             const struct bgap_store_members *members)
{
  struct bgap_membership *m = user;
  m->listing = false;
  if (members->outcome != BGAP_STORE_OK)
    {
      m->listed_generation = 0;
      return;
    }
  size_t size = members->count * sizeof *m->names;
  char (*names)[BGAP_STORE_MEMBER_SIZE] = malloc (size > 0 ? size : 1);
  if (names == NULL)
    return;
  if (size > 0)
    memcpy (names, members->names, size);
  free (m->names);
  m->names = names;
  m->count = members->count;
  m->listed_ms = _bgap_membership_now_ms ();
  m->desc.ops.changed (m->desc.ops.context);
}

static void
_bgap_membership_list (struct bgap_membership *m)
{
  const struct bgap_store_list call = {
    .group = m->desc.group,
    .done = _bgap_membership_on_members,
    .user = m,
  };
  if (m->listing || m->listed_generation == m->generation)
    return;
  m->listed_generation = m->generation;
  m->listing = m->desc.store->list (m->desc.store->context, &call) == BGAP_OK;
}

static void
_bgap_membership_on_joined (void *user, const struct bgap_store_joined *result)
{
  struct bgap_membership *m = user;
  m->joining = false;
  m->desc.ops.ended (m->desc.ops.context, result->outcome);
  if (result->outcome != BGAP_STORE_OK || m->left)
    return;
  bool was_first = m->is_first;
  m->generation = result->generation;
  m->is_first = result->is_first;
  _bgap_membership_list (m);
  if (was_first != m->is_first)
    m->desc.ops.changed (m->desc.ops.context);
}

static void
_bgap_membership_on_timer (evutil_socket_t fd, short events, void *user)
{
  struct bgap_membership *m = user;
  const struct bgap_store_join call = {
    .group = m->desc.group,
    .member = m->desc.member,
    .generation = m->generation,
    .ttl_ms = m->desc.ttl_ms,
    .done = _bgap_membership_on_joined,
    .user = m,
  };
  (void)fd;
  (void)events;
  if (m->joining || m->left)
    return;
  m->joining = m->desc.store->join (m->desc.store->context, &call) == BGAP_OK;
}

enum bgap_status
bgap_membership_setup (struct bgap_membership **membership,
                       const struct bgap_membership_desc *desc,
                       struct bgap_error *err)
{
  struct bgap_membership *m = calloc (1, sizeof *m);
  if (m == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
  m->desc = *desc;
  const struct timeval interval = {
    .tv_sec = desc->interval_ms / 1000,
    .tv_usec = (suseconds_t)(desc->interval_ms % 1000) * 1000,
  };
  event_assign (&m->timer, desc->base, -1, EV_PERSIST,
                _bgap_membership_on_timer, m);
  event_add (&m->timer, &interval);
  event_active (&m->timer, EV_TIMEOUT, 1);
  *membership = m;
  return BGAP_OK;
}

void
bgap_membership_shutdown (struct bgap_membership *membership)
{
  if (membership == NULL)
    return;
  event_del (&membership->timer);
  free (membership->names);
  free (membership);
}

void
bgap_membership_leave (struct bgap_membership *membership)
{
  if (membership->left)
    return;
  membership->left = true;
  membership->is_first = false;
  /* A lost call only means that the time to live decides.  */
  (void)membership->desc.store->leave (membership->desc.store->context,
                                       membership->desc.group,
                                       membership->desc.member);
}

bool
bgap_membership_is_first (const struct bgap_membership *membership)
{
  return membership->is_first;
}

uint32_t
bgap_membership_count (const struct bgap_membership *membership)
{
  return membership->count > 0 ? (uint32_t)membership->count : 1;
}

uint32_t
bgap_membership_listed (const struct bgap_membership *membership)
{
  return (uint32_t)membership->count;
}

const char *
bgap_membership_at (const struct bgap_membership *membership, uint32_t index)
{
  return membership->names[index];
}

bool
bgap_membership_has (const struct bgap_membership *membership,
                     const char *member)
{
  for (size_t i = 0; i < membership->count; i++)
    if (strcmp (membership->names[i], member) == 0)
      return true;
  return false;
}

int64_t
bgap_membership_listed_ms (const struct bgap_membership *membership)
{
  return membership->listed_ms;
}
