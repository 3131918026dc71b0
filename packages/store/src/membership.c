#include "banyangap/store/membership.h"

#include <event2/event_struct.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/base/clock.h"
#include "banyangap/base/hash.h"

/* Each change of the group makes all members read the list again. A member
   that is not eager waits at least this time per member between two reads, so
   that all members together make at most 50 reads per second.  */
#define LIST_INTERVAL_PER_MEMBER_MS 20

/* A member reads the list for the first time when the group does not change
   any more, or after this number of joins: until then the list may not contain
   the member.  */
#define FIRST_LIST_JOINS 4

/* How long a member that is no longer listed is kept as departed. It may be
   alive, with the store refusing its calls. The longest outage that keys must
   survive is 9.5 s.  */
#define DEPARTED_MS 12000
#define DEPARTED_MAX 256u

/* Joins in progress. In a network outage they stay without an answer until
   they time out; the joins after them show when the outage is over.  */
#define JOINS_MAX 8u

/**
 * struct join - a join in progress
 * @number: joins are numbered from 1; 0 if the entry is free
 */
struct join
{
  struct bgap_membership *membership;
  uint64_t number;
};

/**
 * struct departed - a member that is no longer in the list
 */
struct departed
{
  char name[BGAP_STORE_MEMBER_SIZE];
  int64_t since_ms;
};

/**
 * struct bgap_membership - the membership
 * @generation: last received generation of the group
 * @listed_generation: generation for which the list was read
 * @is_settled: the last join did not change the generation
 * @join_count: number of joins so far
 * @answered: number of the newest join that has ended
 */
struct bgap_membership
{
  struct bgap_membership_desc desc;
  struct event timer;
  int64_t generation;
  int64_t listed_generation;
  int64_t listed_ms;
  bool is_settled;
  bool is_first;
  struct join joins[JOINS_MAX];
  uint64_t join_count;
  uint64_t answered;
  bool listing;
  bool left;
  bool eager;
  char (*names)[BGAP_STORE_MEMBER_SIZE];
  size_t count;
  struct departed departed[DEPARTED_MAX];
  uint32_t departed_count;
};

static int64_t
_bgap_membership_now_ms (void)
{
  const struct bgap_clock *clock = bgap_clock_system ();
  return clock->now_ms (clock->context);
}

/* Members are ordered by hash. Names usually begin with the zone, so in
   alphabetical order the first members would all be in one zone.  */
static int
_bgap_membership_compare (const void *left, const void *right)
{
  uint64_t a = bgap_hash64 (left, strlen (left));
  uint64_t b = bgap_hash64 (right, strlen (right));
  if (a != b)
    return a < b ? -1 : 1;
  return strcmp (left, right);
}

/* Removes departed members that are listed again or have expired.  */
static void
_bgap_membership_forget_departed (struct bgap_membership *m, int64_t now_ms)
{
  uint32_t kept = 0;
  for (uint32_t i = 0; i < m->departed_count; i++)
    {
      const struct departed *departed = &m->departed[i];
      if (!bgap_membership_has (m, departed->name)
          && now_ms - departed->since_ms < DEPARTED_MS)
        m->departed[kept++] = *departed;
    }
  m->departed_count = kept;
}

/* Adds the members of the old list that are not in the new one.  */
static void
_bgap_membership_note_departed (struct bgap_membership *m, int64_t now_ms,
                                const char (*names)[BGAP_STORE_MEMBER_SIZE],
                                size_t count)
{
  _bgap_membership_forget_departed (m, now_ms);
  for (size_t i = 0; i < count && m->departed_count < DEPARTED_MAX; i++)
    {
      if (bgap_membership_has (m, names[i]))
        continue;
      struct departed *departed = &m->departed[m->departed_count++];
      memcpy (departed->name, names[i], sizeof departed->name);
      departed->since_ms = now_ms;
    }
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
  qsort (names, members->count, sizeof *names, _bgap_membership_compare);
  char (*old)[BGAP_STORE_MEMBER_SIZE] = m->names;
  size_t old_count = m->count;
  m->names = names;
  m->count = members->count;
  m->listed_ms = _bgap_membership_now_ms ();
  _bgap_membership_note_departed (
      m, m->listed_ms, (const char (*)[BGAP_STORE_MEMBER_SIZE])old, old_count);
  free (old);
  m->desc.ops.changed (m->desc.ops.context);
}

/* Whether the list may be read now after a change of the group.  */
static bool
_bgap_membership_may_list (const struct bgap_membership *m)
{
  int64_t interval_ms = (int64_t)m->count * LIST_INTERVAL_PER_MEMBER_MS;
  if (m->eager || m->is_first)
    return true;
  if (m->listed_ms == 0)
    return m->is_settled || m->answered >= FIRST_LIST_JOINS;
  return _bgap_membership_now_ms () - m->listed_ms >= interval_ms;
}

static void
_bgap_membership_list (struct bgap_membership *m)
{
  const struct bgap_store_list call = {
    .group = m->desc.group,
    .done = _bgap_membership_on_members,
    .user = m,
  };
  if (m->listing || m->listed_generation == m->generation
      || !_bgap_membership_may_list (m))
    return;
  m->listed_generation = m->generation;
  m->listing = m->desc.store->list (m->desc.store->context, &call) == BGAP_OK;
}

static void
_bgap_membership_on_joined (void *user, const struct bgap_store_joined *result)
{
  struct join *join = user;
  struct bgap_membership *m = join->membership;
  uint64_t number = join->number;
  join->number = 0;
  if (number < m->answered)
    return;
  m->answered = number;
  m->desc.ops.join_done (m->desc.ops.context, result->outcome);
  if (result->outcome != BGAP_STORE_OK || m->left)
    return;
  bool was_first = m->is_first;
  m->is_settled = result->generation == m->generation;
  m->generation = result->generation;
  m->is_first = result->is_first;
  _bgap_membership_list (m);
  if (was_first != m->is_first)
    m->desc.ops.changed (m->desc.ops.context);
}

/* Returns a free entry for a join, or NULL.  */
static struct join *
_bgap_membership_begin_join (struct bgap_membership *m)
{
  for (uint32_t i = 0; i < JOINS_MAX; i++)
    if (m->joins[i].number == 0)
      {
        m->joins[i] = (struct join){ m, ++m->join_count };
        return &m->joins[i];
      }
  return NULL;
}

static void
_bgap_membership_on_timer (evutil_socket_t fd, short events, void *user)
{
  struct bgap_membership *m = user;
  (void)fd;
  (void)events;
  struct join *join = m->left ? NULL : _bgap_membership_begin_join (m);
  if (join == NULL)
    return;
  const struct bgap_store_join call = {
    .group = m->desc.group,
    .member = m->desc.member,
    .generation = m->generation,
    .ttl_ms = m->desc.pace.ttl_ms,
    .ordinary = m->desc.pace.ordinary,
    .done = _bgap_membership_on_joined,
    .user = join,
  };
  if (m->desc.store->join (m->desc.store->context, &call) != BGAP_OK)
    join->number = 0;
}

/* Joins now and then in each interval.  */
static void
_bgap_membership_start_timer (struct bgap_membership *m)
{
  const struct timeval interval = {
    .tv_sec = m->desc.pace.interval_ms / 1000,
    .tv_usec = (suseconds_t)(m->desc.pace.interval_ms % 1000) * 1000,
  };
  event_add (&m->timer, &interval);
  event_active (&m->timer, EV_TIMEOUT, 1);
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
  event_assign (&m->timer, desc->base, -1, EV_PERSIST,
                _bgap_membership_on_timer, m);
  _bgap_membership_start_timer (m);
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
bgap_membership_restored (struct bgap_membership *membership)
{
  membership->generation = 0;
  membership->listed_generation = 0;
}

void
bgap_membership_leave (struct bgap_membership *membership)
{
  if (membership->left)
    return;
  membership->left = true;
  membership->is_first = false;
  /* If the call is lost, the store removes the member after its time to
     live.  */
  (void)membership->desc.store->leave (membership->desc.store->context,
                                       membership->desc.group,
                                       membership->desc.member);
}

void
bgap_membership_set_pace (struct bgap_membership *membership,
                          const struct bgap_membership_pace *pace)
{
  const struct bgap_membership_pace *now = &membership->desc.pace;
  bool is_same = pace->ttl_ms == now->ttl_ms
                 && pace->interval_ms == now->interval_ms
                 && pace->ordinary == now->ordinary;
  if (is_same || membership->left || (pace->ordinary && membership->is_first))
    return;
  membership->desc.pace = *pace;
  _bgap_membership_start_timer (membership);
}

void
bgap_membership_set_eager (struct bgap_membership *membership, bool eager)
{
  membership->eager = eager;
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

uint32_t
bgap_membership_index (const struct bgap_membership *membership,
                       const char *member)
{
  uint32_t first = 0;
  uint32_t last = (uint32_t)membership->count;
  while (first < last)
    {
      uint32_t middle = first + (last - first) / 2;
      if (_bgap_membership_compare (membership->names[middle], member) < 0)
        first = middle + 1;
      else
        last = middle;
    }
  return first;
}

bool
bgap_membership_has (const struct bgap_membership *membership,
                     const char *member)
{
  uint32_t index = bgap_membership_index (membership, member);
  return index < membership->count
         && strcmp (membership->names[index], member) == 0;
}

uint32_t
bgap_membership_departed (const struct bgap_membership *membership)
{
  return membership->departed_count;
}

const char *
bgap_membership_departed_at (const struct bgap_membership *membership,
                             uint32_t index)
{
  return membership->departed[index].name;
}

int64_t
bgap_membership_departed_ms (const struct bgap_membership *membership,
                             uint32_t index)
{
  return membership->departed[index].since_ms;
}

int64_t
bgap_membership_listed_ms (const struct bgap_membership *membership)
{
  return membership->listed_ms;
}
