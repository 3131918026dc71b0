#include <stdio.h>
#include <string.h>

#include "banyangap/base/byte_order.h"
#include "banyangap/base/hash.h"
#include "edge_parts.h"
#include "now.h"

/* A message says that a server shuts down: whether a relay has forwarded it,
   the start of the server's process (8 bytes), the age of its answer in
   milliseconds (4 bytes), both with the high byte first, and its id.  */
#define NOT_FORWARDED 0u
#define FORWARDED 1u
#define STARTED_OFFSET 1
#define STARTED_SIZE 8
#define AGE_OFFSET (STARTED_OFFSET + STARTED_SIZE)
#define AGE_SIZE 4
#define ID_OFFSET (AGE_OFFSET + AGE_SIZE)

/* First interval of the repeats at the instance that got the answer: a message
   is lost if no connection to its receiver is open yet, which takes 50 ms to
   500 ms.  */
#define ANSWER_INTERVAL_MS 400

/* The same at the others, which repeat it if the first one does not.  */
#define MESSAGE_INTERVAL_MS 1600

/* Longest interval: an instance that starts is told within it.  */
#define INTERVAL_MAX_MS 8000

/* Interval at which the servers are searched for repeats that are due: the
   timer of a busy router runs far more often.  */
#define SEARCH_INTERVAL_MS 50

/* Number of instances, the first of the list, that repeat messages before all
   others that were told, in their order, so that usually one does. They keep
   the connections for it open.  */
#define FIRST_SENDERS 3u

static struct bgap_event_kind event_leaving = { .name = "server-leaving" };
static struct bgap_event_kind event_notice
    = { .name = "server-leaving-notice", .per_second = 10, .burst = 20 };

/**
 * struct leaving - content of a message
 * @started_ms: start of the server's process
 * @age_ms: time since the server's answer
 */
struct leaving
{
  int64_t started_ms;
  int64_t age_ms;
  char id[BGAP_REGISTRY_NAME_SIZE];
};

static bool
_bgap_leaving_encode (const struct leaving *leaving, unsigned char forwarded,
                      struct bgap_buffer *out)
{
  unsigned char head[ID_OFFSET] = { forwarded };
  bgap_bytes_put (head + STARTED_OFFSET, (uint64_t)leaving->started_ms,
                  STARTED_SIZE);
  bgap_bytes_put (head + AGE_OFFSET, (uint64_t)leaving->age_ms, AGE_SIZE);
  return bgap_buffer_append (out, head, sizeof head) == BGAP_OK
         && bgap_buffer_append (out, leaving->id, strlen (leaving->id))
                == BGAP_OK;
}

static bool
_bgap_leaving_decode (const unsigned char *bytes, size_t size,
                      struct leaving *leaving)
{
  size_t id_size = size > ID_OFFSET ? size - ID_OFFSET : 0;
  if (id_size == 0 || id_size >= sizeof leaving->id || bytes[0] > FORWARDED)
    return false;
  leaving->started_ms
      = (int64_t)bgap_bytes_get (bytes + STARTED_OFFSET, STARTED_SIZE);
  leaving->age_ms = (int64_t)bgap_bytes_get (bytes + AGE_OFFSET, AGE_SIZE);
  memcpy (leaving->id, bytes + ID_OFFSET, id_size);
  leaving->id[id_size] = '\0';
  return true;
}

/* Applies what a server has stated. Returns whether it is news.  */
static bool
_bgap_leaving_learn (struct bgap_edge *edge, const struct leaving *leaving,
                     const char *source)
{
  const struct bgap_known_server *known
      = bgap_server_view_find (edge->view, leaving->id);
  if (!bgap_server_view_leaving (edge->view, leaving->id, leaving->started_ms,
                                 bgap_now_ms () - leaving->age_ms))
    return false;
  bgap_event (&event_leaving, "server=%s born=%lld age_ms=%lld source=%s",
              leaving->id, (long long)leaving->started_ms,
              (long long)leaving->age_ms, source);
  const struct bgap_edge_server *server
      = known != NULL ? known->user_data : NULL;
  if (server != NULL && server->service->granter != NULL)
    bgap_edge_set_granter_server (edge, server->service, &known->entry);
  return true;
}

/* Whether this instance is one of the first to repeat a message. @index: its
   number among them.  */
static bool
_bgap_leaving_is_first (const struct bgap_edge *edge, uint32_t *index)
{
  *index = bgap_membership_index (edge->membership, edge->member);
  return bgap_membership_has (edge->membership, edge->member)
         && *index < FIRST_SENDERS;
}

/* Place of an instance that was told by another one: behind that one, the
   first of the list in its order, then all others.  */
static double
_bgap_leaving_place (const struct bgap_edge *edge)
{
  const double step = 1.0 / (FIRST_SENDERS + 2);
  uint32_t index;
  if (_bgap_leaving_is_first (edge, &index))
    return (index + 1) * step;
  uint64_t hash = bgap_hash64 (edge->member, strlen (edge->member));
  return 1 - step * ((double)hash / (double)UINT64_MAX);
}

static void
_bgap_leaving_begin_repeats (struct bgap_edge *edge,
                             const struct leaving *leaving,
                             const struct bgap_repeat_desc *desc)
{
  struct bgap_known_server *known = bgap_server_view_process (
      edge->view, leaving->id, leaving->started_ms);
  if (known != NULL)
    bgap_repeat_begin (&known->leaving_notice, bgap_now_ms (), desc);
}

static void
_bgap_leaving_postpone_repeat (struct bgap_edge *edge,
                               const struct leaving *leaving)
{
  struct bgap_known_server *known = bgap_server_view_process (
      edge->view, leaving->id, leaving->started_ms);
  if (known != NULL)
    bgap_repeat_postpone (&known->leaving_notice, bgap_now_ms ());
}

static void
_bgap_leaving_notify (struct bgap_edge *edge, const struct leaving *leaving)
{
  struct bgap_buffer bytes = { 0 };
  if (_bgap_leaving_encode (leaving, NOT_FORWARDED, &bytes))
    bgap_edge_broadcast (edge, BGAP_EDGE_MESSAGE_LEAVING, &bytes);
  bgap_buffer_shutdown (&bytes);
}

void
bgap_edge_on_leaving (struct bgap_edge *edge,
                      const struct bgap_edge_server *server)
{
  struct leaving leaving = { 0 };
  if (server->known == NULL)
    return;
  leaving.started_ms = server->known->entry.started_ms;
  snprintf (leaving.id, sizeof leaving.id, "%s", server->id);
  if (!_bgap_leaving_learn (edge, &leaving, "answer"))
    return;
  _bgap_leaving_begin_repeats (
      edge, &leaving,
      &(struct bgap_repeat_desc){ .first_ms = ANSWER_INTERVAL_MS,
                                  .max_ms = INTERVAL_MAX_MS });
  _bgap_leaving_notify (edge, &leaving);
}

void
bgap_edge_repeat_leaving (struct bgap_edge *edge, int64_t now_ms)
{
  struct bgap_known_server *known;
  uint32_t index;
  if (now_ms - edge->leaving_searched_ms < SEARCH_INTERVAL_MS)
    return;
  edge->leaving_searched_ms = now_ms;
  if (bgap_edge_leaving_servers (edge) > 0
      && _bgap_leaving_is_first (edge, &index))
    bgap_edge_connect_broadcast (edge);
  while ((known = bgap_server_view_take_notice (edge->view, now_ms)) != NULL)
    {
      struct leaving leaving = { .started_ms = known->entry.started_ms,
                                 .age_ms = now_ms - known->leaving_since_ms };
      snprintf (leaving.id, sizeof leaving.id, "%s", known->entry.id);
      bgap_event (&event_notice, "server=%s born=%lld age_ms=%lld repeat=%u",
                  leaving.id, (long long)leaving.started_ms,
                  (long long)leaving.age_ms, known->leaving_notice.count);
      _bgap_leaving_notify (edge, &leaving);
    }
}

bool
bgap_edge_on_leaving_message (struct bgap_edge *edge, const char *from,
                              const void *bytes, size_t size)
{
  const unsigned char *data = bytes;
  struct leaving leaving;
  if (!_bgap_leaving_decode (data, size, &leaving))
    return false;
  if (_bgap_leaving_learn (edge, &leaving, from))
    _bgap_leaving_begin_repeats (
        edge, &leaving,
        &(struct bgap_repeat_desc){ .first_ms = MESSAGE_INTERVAL_MS,
                                    .max_ms = INTERVAL_MAX_MS,
                                    .place = _bgap_leaving_place (edge) });
  else
    _bgap_leaving_postpone_repeat (edge, &leaving);
  /* Also if it is known here: an instance behind this relay may not have got
     the message that came before.  */
  struct bgap_buffer forwarded = { 0 };
  if (data[0] == NOT_FORWARDED
      && _bgap_leaving_encode (&leaving, FORWARDED, &forwarded))
    bgap_edge_forward_broadcast (edge, BGAP_EDGE_MESSAGE_LEAVING, &forwarded);
  bgap_buffer_shutdown (&forwarded);
  bgap_edge_run_actions (edge);
  return true;
}

uint32_t
bgap_edge_leaving_servers (const struct bgap_edge *edge)
{
  uint32_t count = 0;
  for (const struct bgap_known_server *known
       = bgap_server_view_first (edge->view);
       known != NULL; known = known->hh.next)
    count += known->leaving_since_ms != 0;
  return count;
}
