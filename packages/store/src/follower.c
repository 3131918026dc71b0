#include "banyangap/store/follower.h"

#include <event2/event_struct.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "banyangap/base/clock.h"

/* First and longest pause after a failed call; it doubles in between. The
   owner says when the store answers again, so that the longest pause only
   matters for a topic that fails alone.  */
#define RETRY_FIRST_MS 60
#define RETRY_MAX_MS 1500

/* The store answers a read of a topic without records late even when one is
   appended, so that such a topic is asked again after this time instead.  */
#define EMPTY_PAUSE_MS 400

/* The store does not answer a read that waits when the record is appended just
   while it takes the read in. Another read looks whether there is something,
   so long after the start of the one that waits and after CHECK_LATENCIES
   times the store's usual time for an answer.  */
#define CHECK_MS 40
#define CHECK_LATENCIES 3

/* Weight of a new answer in the store's usual time.  */
#define LATENCY_WEIGHT 0.5

enum follower_state
{
  LOADING,
  FOLLOWING
};

/**
 * struct bgap_follower - the follower
 * @state: what the next call does
 * @after: last key of the load in progress
 * @load_end: end of the topic when the load began
 * @load_next: offset after the newest record of the load; what follows it may
 *   have been appended after the items of a page and before its end were read
 * @just_loaded: no read has succeeded since the load
 * @next: offset to read from
 * @check: timer of the read that looks behind a waiting one
 * @fed: another instance feeds this one; @fed_ms is the last time
 * @unfed_pause_ms: between reads while that feed is missing
 * @latency_ms: smoothed time of answers that did not wait for a record
 * @generation: of the call whose result counts; earlier ones are ignored
 * @busy: that call is running
 */
struct bgap_follower
{
  struct bgap_follower_desc desc;
  struct event timer;
  struct event check;
  enum follower_state state;
  char after[BGAP_STORE_KEY_SIZE];
  bool load_begun;
  uint64_t load_end;
  uint64_t load_next;
  bool just_loaded;
  uint64_t next;
  bool loaded;
  bool busy;
  bool fed;
  int64_t fed_ms;
  uint32_t unfed_pause_ms;
  double latency_ms;
  uint64_t generation;
  int64_t sent_ms;
  int64_t retry_ms;
  LIST_HEAD (follower_calls, follower_call) calls;
};

/**
 * struct follower_call - a call to the store
 */
struct follower_call
{
  LIST_ENTRY (follower_call) next;
  struct bgap_follower *follower;
  uint64_t generation;
  uint64_t from;
  int64_t sent_ms;
};

static int64_t
_bgap_follower_now_ms (void)
{
  const struct bgap_clock *clock = bgap_clock_system ();
  return clock->now_ms (clock->context);
}

static void
_bgap_follower_arm (struct bgap_follower *f, int64_t delay_ms)
{
  if (delay_ms < 0)
    delay_ms = 0;
  const struct timeval delay = {
    .tv_sec = delay_ms / 1000,
    .tv_usec = delay_ms % 1000 * 1000,
  };
  event_add (&f->timer, &delay);
}

/* Ends a call; NULL if its result no longer counts.  */
static struct bgap_follower *
_bgap_follower_end_call (struct follower_call *call)
{
  struct bgap_follower *f = call->follower;
  bool counts = call->generation == f->generation;
  LIST_REMOVE (call, next);
  free (call);
  if (!counts)
    return NULL;
  f->busy = false;
  return f;
}

static void
_bgap_follower_on_latency (struct bgap_follower *f, int64_t sent_ms)
{
  double took_ms = (double)(_bgap_follower_now_ms () - sent_ms);
  f->latency_ms += LATENCY_WEIGHT * (took_ms - f->latency_ms);
}

static void
_bgap_follower_contact (struct bgap_follower *f)
{
  f->retry_ms = RETRY_FIRST_MS;
  if (f->desc.ops.contact != NULL)
    f->desc.ops.contact (f->desc.ops.context, f->sent_ms, false);
}

static void
_bgap_follower_failed (struct bgap_follower *f,
                       const struct bgap_store_page *page)
{
  if (f->desc.ops.trouble != NULL)
    f->desc.ops.trouble (f->desc.ops.context, page->outcome, page->message);
  _bgap_follower_arm (f, f->retry_ms);
  f->retry_ms *= 2;
  if (f->retry_ms > RETRY_MAX_MS)
    f->retry_ms = RETRY_MAX_MS;
}

static void
_bgap_follower_report (struct bgap_follower *f,
                       const struct bgap_store_page *page)
{
  for (size_t i = 0; i < page->count; i++)
    f->desc.ops.record (f->desc.ops.context, &page->records[i]);
}

static void
_bgap_follower_on_newest (void *user, const struct bgap_store_page *page)
{
  struct bgap_follower *f = _bgap_follower_end_call (user);
  if (f == NULL)
    return;
  if (page->outcome != BGAP_STORE_OK)
    {
      /* The pages of an interrupted load need not fit together.  */
      f->load_begun = false;
      _bgap_follower_failed (f, page);
      return;
    }
  _bgap_follower_on_latency (f, f->sent_ms);
  if (!f->load_begun)
    {
      f->load_begun = true;
      f->load_end = page->end;
      f->load_next = 0;
      if (f->desc.ops.load != NULL)
        f->desc.ops.load (f->desc.ops.context);
    }
  for (size_t i = 0; i < page->count; i++)
    if (page->records[i].offset >= f->load_next)
      f->load_next = page->records[i].offset + 1;
  _bgap_follower_report (f, page);
  if (page->more && page->count > 0)
    {
      snprintf (f->after, sizeof f->after, "%s",
                page->records[page->count - 1].key);
      _bgap_follower_arm (f, 0);
      return;
    }
  f->load_begun = false;
  f->state = FOLLOWING;
  f->next = f->load_next < f->load_end ? f->load_next : f->load_end;
  f->just_loaded = true;
  f->loaded = true;
  if (f->desc.ops.loaded != NULL)
    f->desc.ops.loaded (f->desc.ops.context);
  _bgap_follower_contact (f);
  _bgap_follower_arm (f, 0);
}

/* Time until the next read after one that succeeded.  */
static int64_t
_bgap_follower_pause_ms (const struct bgap_follower *f,
                         const struct bgap_store_page *page)
{
  int64_t now_ms = _bgap_follower_now_ms ();
  if (f->fed && now_ms - f->fed_ms < f->desc.fed_timeout_ms)
    return f->fed_ms + f->desc.fed_timeout_ms - now_ms;
  if (page->end == 0)
    return f->fed ? f->desc.fed_timeout_ms : EMPTY_PAUSE_MS;
  uint32_t pause_ms = f->desc.pause_ms;
  if (f->fed && f->unfed_pause_ms > pause_ms)
    pause_ms = f->unfed_pause_ms;
  return f->sent_ms + pause_ms - now_ms;
}

static void
_bgap_follower_on_read (void *user, const struct bgap_store_page *page)
{
  uint64_t from = ((struct follower_call *)user)->from;
  struct bgap_follower *f = _bgap_follower_end_call (user);
  if (f == NULL)
    return;
  event_del (&f->check);
  if (page->outcome == BGAP_STORE_TRUNCATED && f->just_loaded
      && f->next < f->load_end)
    {
      /* What lies between the newest item and the end is gone for good.  */
      f->next = f->load_end;
      _bgap_follower_arm (f, 0);
      return;
    }
  if (page->outcome == BGAP_STORE_TRUNCATED)
    {
      f->state = LOADING;
      _bgap_follower_arm (f, 0);
      return;
    }
  if (page->outcome != BGAP_STORE_OK)
    {
      _bgap_follower_failed (f, page);
      return;
    }
  f->just_loaded = false;
  if (page->count > 0)
    f->next = page->records[page->count - 1].offset + 1;
  _bgap_follower_report (f, page);
  _bgap_follower_contact (f);
  if (f->desc.ops.page != NULL)
    f->desc.ops.page (f->desc.ops.context, from, page->records, page->count);
  /* A report can ask for all records again, or start the next read.  */
  if (f->state == LOADING || f->busy)
    return;
  /* After a long cut the history of a busy topic is much longer than its
     newest records, and could not be read before it has grown as much.  */
  if (page->count > 0 && f->next < page->end)
    {
      bgap_follower_reload (f);
      return;
    }
  _bgap_follower_arm (f, _bgap_follower_pause_ms (f, page));
}

/* The read behind a waiting one. If it finds something, the waiting one has
   missed it and is given up.  */
static void
_bgap_follower_on_checked (void *user, const struct bgap_store_page *page)
{
  struct follower_call *call = user;
  struct bgap_follower *f = call->follower;
  _bgap_follower_on_latency (f, call->sent_ms);
  bool missed = call->generation == f->generation && f->busy
                && page->outcome == BGAP_STORE_OK && page->count > 0;
  if (missed)
    {
      f->sent_ms = call->sent_ms;
      call->generation = ++f->generation;
      _bgap_follower_on_read (call, page);
      return;
    }
  LIST_REMOVE (call, next);
  free (call);
}

/* A call in progress, or NULL without memory.  */
static struct follower_call *
_bgap_follower_begin_call (struct bgap_follower *f)
{
  struct follower_call *call = malloc (sizeof *call);
  if (call == NULL)
    return NULL;
  *call = (struct follower_call){
    .follower = f,
    .generation = f->generation,
    .from = f->next,
    .sent_ms = _bgap_follower_now_ms (),
  };
  LIST_INSERT_HEAD (&f->calls, call, next);
  return call;
}

static void
_bgap_follower_on_check (evutil_socket_t fd, short events, void *user)
{
  struct bgap_follower *f = user;
  (void)fd;
  (void)events;
  if (!f->busy || f->state != FOLLOWING)
    return;
  struct follower_call *call = _bgap_follower_begin_call (f);
  if (call == NULL)
    return;
  if (f->desc.store->read (
          f->desc.store->context,
          &(struct bgap_store_read){ .topic = f->desc.topic,
                                     .from = f->next,
                                     .max_kb = f->desc.page_kb,
                                     .done = _bgap_follower_on_checked,
                                     .user = call })
      == BGAP_OK)
    return;
  LIST_REMOVE (call, next);
  free (call);
}

static void
_bgap_follower_on_timer (evutil_socket_t fd, short events, void *user)
{
  struct bgap_follower *f = user;
  enum bgap_status status;
  (void)fd;
  (void)events;
  if (f->busy)
    return;
  f->generation++;
  struct follower_call *call = _bgap_follower_begin_call (f);
  if (call == NULL)
    {
      _bgap_follower_arm (f, RETRY_MAX_MS);
      return;
    }
  f->sent_ms = _bgap_follower_now_ms ();
  if (f->state == LOADING)
    {
      if (!f->load_begun)
        f->after[0] = '\0';
      status = f->desc.store->newest (
          f->desc.store->context,
          &(struct bgap_store_newest){ .topic = f->desc.topic,
                                       .after = f->after,
                                       .done = _bgap_follower_on_newest,
                                       .user = call });
    }
  else
    status = f->desc.store->read (
        f->desc.store->context,
        &(struct bgap_store_read){ .topic = f->desc.topic,
                                   .from = f->next,
                                   .wait_ms
                                   = f->next > 0 ? f->desc.wait_ms : 0,
                                   .max_kb = f->desc.page_kb,
                                   .done = _bgap_follower_on_read,
                                   .user = call });
  f->busy = status == BGAP_OK;
  if (f->busy)
    {
      int64_t check_ms = CHECK_MS + (int64_t)(CHECK_LATENCIES * f->latency_ms);
      const struct timeval check = {
        .tv_sec = check_ms / 1000,
        .tv_usec = check_ms % 1000 * 1000,
      };
      if (f->state == FOLLOWING && f->next > 0 && f->desc.wait_ms > CHECK_MS)
        event_add (&f->check, &check);
      return;
    }
  LIST_REMOVE (call, next);
  free (call);
  _bgap_follower_arm (f, RETRY_MAX_MS);
}

enum bgap_status
bgap_follower_setup (struct bgap_follower **follower,
                     const struct bgap_follower_desc *desc,
                     struct bgap_error *err)
{
  struct bgap_follower *f = calloc (1, sizeof *f);
  if (f == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY, "out of memory");
  f->desc = *desc;
  f->retry_ms = RETRY_FIRST_MS;
  LIST_INIT (&f->calls);
  event_assign (&f->timer, desc->base, -1, 0, _bgap_follower_on_timer, f);
  event_assign (&f->check, desc->base, -1, 0, _bgap_follower_on_check, f);
  _bgap_follower_arm (f, 0);
  *follower = f;
  return BGAP_OK;
}

void
bgap_follower_shutdown (struct bgap_follower *follower)
{
  if (follower == NULL)
    return;
  event_del (&follower->timer);
  event_del (&follower->check);
  struct follower_call *call = LIST_FIRST (&follower->calls);
  while (call != NULL)
    {
      struct follower_call *next = LIST_NEXT (call, next);
      free (call);
      call = next;
    }
  free (follower);
}

bool
bgap_follower_is_loaded (const struct bgap_follower *follower)
{
  return follower->loaded;
}

uint64_t
bgap_follower_end (const struct bgap_follower *follower)
{
  return follower->next;
}

void
bgap_follower_set_pace (struct bgap_follower *follower, uint32_t wait_ms,
                        uint32_t pause_ms)
{
  if (follower->desc.wait_ms == wait_ms)
    return;
  follower->desc.wait_ms = wait_ms;
  follower->desc.pause_ms = pause_ms;
  bgap_follower_restart (follower);
}

void
bgap_follower_appended (struct bgap_follower *f,
                        const struct bgap_store_record *record)
{
  if (f->state != FOLLOWING || record->offset != f->next)
    return;
  /* A read that is running does not know of it. The next one comes when it was
     due, however often records are appended.  */
  if (f->busy)
    {
      f->busy = false;
      f->generation++;
      event_del (&f->check);
      _bgap_follower_arm (f, f->sent_ms + f->desc.pause_ms
                                 - _bgap_follower_now_ms ());
    }
  f->next++;
  f->desc.ops.record (f->desc.ops.context, record);
  if (f->desc.ops.page != NULL)
    f->desc.ops.page (f->desc.ops.context, record->offset, record, 1);
}

void
bgap_follower_set_fed (struct bgap_follower *follower, bool fed,
                       uint32_t pause_ms)
{
  if (follower->fed && !fed)
    bgap_follower_hurry (follower);
  follower->fed = fed;
  follower->unfed_pause_ms = pause_ms;
}

/* What is fed makes a read that waits needless.  */
static void
_bgap_follower_rest (struct bgap_follower *f)
{
  int64_t rest_ms
      = f->fed_ms + f->desc.fed_timeout_ms - _bgap_follower_now_ms ();
  if (f->busy && f->state == FOLLOWING && rest_ms > 0)
    {
      f->busy = false;
      f->generation++;
      event_del (&f->check);
    }
  if (!f->busy)
    _bgap_follower_arm (f, rest_ms);
}

void
bgap_follower_feed (struct bgap_follower *f, const struct bgap_feed *feed)
{
  if (!f->fed || f->state != FOLLOWING)
    return;
  if (feed->from > f->next)
    {
      /* Something in between was not received.  */
      bgap_follower_restart (f);
      bgap_follower_hurry (f);
      return;
    }
  /* A read that waits for a record is as good as new, however old. Of others,
     what was read long ago is no reason to rest.  */
  int64_t fed_ms
      = f->desc.wait_ms > 0 ? _bgap_follower_now_ms () : feed->sent_ms;
  if (fed_ms > f->fed_ms)
    f->fed_ms = fed_ms;
  _bgap_follower_rest (f);
  uint64_t next = f->next;
  if (feed->next > f->next)
    f->next = feed->next;
  for (size_t i = 0; i < feed->count; i++)
    if (feed->records[i].offset >= next)
      f->desc.ops.record (f->desc.ops.context, &feed->records[i]);
  if (f->desc.ops.contact != NULL)
    f->desc.ops.contact (f->desc.ops.context, feed->sent_ms, true);
}

void
bgap_follower_reload (struct bgap_follower *follower)
{
  follower->state = LOADING;
  follower->load_begun = false;
  follower->busy = false;
  follower->generation++;
  _bgap_follower_arm (follower, 0);
}

void
bgap_follower_restart (struct bgap_follower *follower)
{
  if (follower->state != FOLLOWING || !follower->busy)
    return;
  follower->busy = false;
  follower->generation++;
  _bgap_follower_arm (follower, 0);
}

void
bgap_follower_hurry (struct bgap_follower *follower)
{
  if (!follower->busy)
    _bgap_follower_arm (follower, 0);
}

void
bgap_follower_retry (struct bgap_follower *follower)
{
  if (follower->retry_ms > RETRY_FIRST_MS)
    bgap_follower_hurry (follower);
}
