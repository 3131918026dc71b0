#include "banyangap/store/timeline_guard.h"

#include <stdlib.h>
#include <sys/queue.h>

/**
 * struct guarded_call - a call in progress
 * @timeline: newest one that was seen when it was sent
 */
struct guarded_call
{
  LIST_ENTRY (guarded_call) next;
  struct bgap_timeline_guard *guard;
  uint64_t timeline;
  union bgap_store_done done;
  void *user;
};

struct bgap_timeline_guard
{
  struct bgap_timeline_guard_desc desc;
  struct bgap_store_ops ops;
  uint64_t timeline;
  LIST_HEAD (guarded_calls, guarded_call) calls;
};

static struct guarded_call *
_bgap_guard_begin (struct bgap_timeline_guard *guard, void *user)
{
  struct guarded_call *call = calloc (1, sizeof *call);
  if (call == NULL)
    return NULL;
  call->guard = guard;
  call->timeline = guard->timeline;
  call->user = user;
  LIST_INSERT_HEAD (&guard->calls, call, next);
  return call;
}

static struct guarded_call
_bgap_guard_end (struct guarded_call *call)
{
  struct guarded_call copy = *call;
  LIST_REMOVE (call, next);
  free (call);
  return copy;
}

/* Passes on the status of a call that was or was not sent.  */
static enum bgap_status
_bgap_guard_sent (struct guarded_call *call, enum bgap_status status)
{
  if (status != BGAP_OK)
    (void)_bgap_guard_end (call);
  return status;
}

void
bgap_timeline_guard_learn (struct bgap_timeline_guard *guard,
                           uint64_t timeline)
{
  uint64_t previous = guard->timeline;
  if (timeline <= previous)
    return;
  guard->timeline = timeline;
  if (previous != 0)
    guard->desc.restored (guard->desc.context, timeline, previous);
}

/* Whether an answer is from an earlier timeline.  */
static bool
_bgap_guard_is_past (const struct guarded_call *call, uint64_t timeline)
{
  return timeline != 0 && timeline < call->guard->timeline;
}

/* Whether a call was made for an earlier timeline than the one that has
   answered.  */
static bool
_bgap_guard_is_misplaced (const struct guarded_call *call, uint64_t timeline)
{
  return timeline != 0 && call->timeline != 0 && call->timeline != timeline;
}

/* Answers.  */

static void
_bgap_guard_on_page (void *user, const struct bgap_store_page *page)
{
  static const struct bgap_store_page refused
      = { .outcome = BGAP_STORE_REFUSED,
          .message = "the store was restored meanwhile" };
  const struct guarded_call call = _bgap_guard_end (user);
  bgap_timeline_guard_learn (call.guard, page->timeline);
  if (_bgap_guard_is_past (&call, page->timeline)
      || _bgap_guard_is_misplaced (&call, page->timeline))
    call.done.page (call.user, &refused);
  else
    call.done.page (call.user, page);
}

static void
_bgap_guard_on_appended (void *user, const struct bgap_store_appended *result)
{
  const struct guarded_call call = _bgap_guard_end (user);
  struct bgap_store_appended checked = *result;
  bgap_timeline_guard_learn (call.guard, result->timeline);
  if (checked.outcome == BGAP_STORE_OK
      && (_bgap_guard_is_past (&call, result->timeline)
          || _bgap_guard_is_misplaced (&call, result->timeline)))
    checked.outcome = BGAP_STORE_UNKNOWN;
  call.done.appended (call.user, &checked);
}

static void
_bgap_guard_on_joined (void *user, const struct bgap_store_joined *result)
{
  const struct guarded_call call = _bgap_guard_end (user);
  struct bgap_store_joined checked = *result;
  bgap_timeline_guard_learn (call.guard, result->timeline);
  if (_bgap_guard_is_past (&call, result->timeline))
    checked.outcome = BGAP_STORE_REFUSED;
  call.done.joined (call.user, &checked);
}

static void
_bgap_guard_on_members (void *user, const struct bgap_store_members *members)
{
  const struct guarded_call call = _bgap_guard_end (user);
  struct bgap_store_members checked = *members;
  bgap_timeline_guard_learn (call.guard, members->timeline);
  if (_bgap_guard_is_past (&call, members->timeline))
    checked.outcome = BGAP_STORE_REFUSED;
  call.done.members (call.user, &checked);
}

/* Calls.  */

static enum bgap_status
_bgap_guard_newest (void *context, const struct bgap_store_newest *call)
{
  struct bgap_timeline_guard *guard = context;
  struct guarded_call *guarded = _bgap_guard_begin (guard, call->user);
  if (guarded == NULL)
    return BGAP_ERR_NO_MEMORY;
  struct bgap_store_newest copy = *call;
  guarded->done.page = call->done;
  copy.done = _bgap_guard_on_page;
  copy.user = guarded;
  return _bgap_guard_sent (
      guarded, guard->desc.store->newest (guard->desc.store->context, &copy));
}

static enum bgap_status
_bgap_guard_read (void *context, const struct bgap_store_read *call)
{
  struct bgap_timeline_guard *guard = context;
  struct guarded_call *guarded = _bgap_guard_begin (guard, call->user);
  if (guarded == NULL)
    return BGAP_ERR_NO_MEMORY;
  struct bgap_store_read copy = *call;
  guarded->done.page = call->done;
  copy.done = _bgap_guard_on_page;
  copy.user = guarded;
  return _bgap_guard_sent (
      guarded, guard->desc.store->read (guard->desc.store->context, &copy));
}

static enum bgap_status
_bgap_guard_append (void *context, const struct bgap_store_append *call)
{
  struct bgap_timeline_guard *guard = context;
  struct guarded_call *guarded = _bgap_guard_begin (guard, call->user);
  if (guarded == NULL)
    return BGAP_ERR_NO_MEMORY;
  struct bgap_store_append copy = *call;
  guarded->done.appended = call->done;
  copy.done = _bgap_guard_on_appended;
  copy.user = guarded;
  return _bgap_guard_sent (
      guarded, guard->desc.store->append (guard->desc.store->context, &copy));
}

static enum bgap_status
_bgap_guard_join (void *context, const struct bgap_store_join *call)
{
  struct bgap_timeline_guard *guard = context;
  struct guarded_call *guarded = _bgap_guard_begin (guard, call->user);
  if (guarded == NULL)
    return BGAP_ERR_NO_MEMORY;
  struct bgap_store_join copy = *call;
  guarded->done.joined = call->done;
  copy.done = _bgap_guard_on_joined;
  copy.user = guarded;
  return _bgap_guard_sent (
      guarded, guard->desc.store->join (guard->desc.store->context, &copy));
}

static enum bgap_status
_bgap_guard_list (void *context, const struct bgap_store_list *call)
{
  struct bgap_timeline_guard *guard = context;
  struct guarded_call *guarded = _bgap_guard_begin (guard, call->user);
  if (guarded == NULL)
    return BGAP_ERR_NO_MEMORY;
  struct bgap_store_list copy = *call;
  guarded->done.members = call->done;
  copy.done = _bgap_guard_on_members;
  copy.user = guarded;
  return _bgap_guard_sent (
      guarded, guard->desc.store->list (guard->desc.store->context, &copy));
}

static enum bgap_status
_bgap_guard_leave (void *context, const char *group, const char *member)
{
  struct bgap_timeline_guard *guard = context;
  return guard->desc.store->leave (guard->desc.store->context, group, member);
}

/* Interface.  */

enum bgap_status
bgap_timeline_guard_setup (struct bgap_timeline_guard **guard,
                           const struct bgap_timeline_guard_desc *desc,
                           struct bgap_error *err)
{
  struct bgap_timeline_guard *g = calloc (1, sizeof *g);
  if (g == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
  g->desc = *desc;
  LIST_INIT (&g->calls);
  g->ops = (struct bgap_store_ops){
    .newest = _bgap_guard_newest,
    .read = _bgap_guard_read,
    .append = _bgap_guard_append,
    .join = _bgap_guard_join,
    .list = _bgap_guard_list,
    .leave = _bgap_guard_leave,
    .counts = desc->store->counts,
    .context = g,
  };
  *guard = g;
  return BGAP_OK;
}

void
bgap_timeline_guard_shutdown (struct bgap_timeline_guard *guard)
{
  if (guard == NULL)
    return;
  struct guarded_call *call = LIST_FIRST (&guard->calls);
  while (call != NULL)
    {
      struct guarded_call *next = LIST_NEXT (call, next);
      free (call);
      call = next;
    }
  free (guard);
}

const struct bgap_store_ops *
bgap_timeline_guard_ops (const struct bgap_timeline_guard *guard)
{
  return &guard->ops;
}

uint64_t
bgap_timeline_guard_current (const struct bgap_timeline_guard *guard)
{
  return guard->timeline;
}
