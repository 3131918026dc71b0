#include <stdio.h>
#include <stdlib.h>

#include "banyangap/base/clock.h"
#include "follower_state.h"

/* Time between reads of a topic without records. They do not wait, because the
   store answers a waiting read of such a topic late even when a record is
   appended.  */
#define EMPTY_PAUSE_MS 1000

/* The store does not always answer a waiting read when a record is appended,
   above all if that happens while it accepts the read. A second read, the
   probe, therefore checks for missed records. It starts PROBE_DELAY_MS plus
   PROBE_LATENCIES times the usual response time of the store after the waiting
   read, at most PROBE_INTERVAL_MS, and again every PROBE_INTERVAL_MS.  */
#define PROBE_DELAY_MS 40
#define PROBE_LATENCIES 3
#define PROBE_INTERVAL_MS 1000

/* Time beyond PROBE_LATENCIES times the usual response time of the store after
   which a call is overdue. Over a slow link a long response takes that long.
 */
#define OVERDUE_MS 500

/* Weight of a new sample in the smoothed response time of the store.  */
#define LATENCY_WEIGHT 0.5

int64_t
bgap_follower_now_ms (void)
{
  const struct bgap_clock *clock = bgap_clock_system ();
  return clock->now_ms (clock->context);
}

void
bgap_follower_arm (struct bgap_follower *f, int64_t delay_ms)
{
  if (delay_ms < 0)
    delay_ms = 0;
  const struct timeval delay = {
    .tv_sec = delay_ms / 1000,
    .tv_usec = delay_ms % 1000 * 1000,
  };
  f->timer_at_ms = bgap_follower_now_ms () + delay_ms;
  event_add (&f->timer, &delay);
}

bool
bgap_follower_is_overdue (const struct bgap_follower *f, int64_t sent_ms)
{
  int64_t usual_ms = OVERDUE_MS + (int64_t)(PROBE_LATENCIES * f->latency_ms);
  return bgap_follower_now_ms () - sent_ms > usual_ms;
}

void
bgap_follower_abandon_call (struct bgap_follower *f)
{
  if (!f->busy)
    return;
  f->busy = false;
  f->generation++;
  f->counts.reads_abandoned++;
  event_del (&f->probe_timer);
}

/* Ends a call. Returns NULL if its result must be ignored.  */
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

/* Records the response time of a call that the store has executed. Others end
   with an outage, whose length says nothing about the store's speed.  */
static void
_bgap_follower_on_latency (struct bgap_follower *f, int64_t sent_ms)
{
  double took_ms = (double)(bgap_follower_now_ms () - sent_ms);
  f->latency_ms += LATENCY_WEIGHT * (took_ms - f->latency_ms);
}

/* A call has succeeded.  */
static void
_bgap_follower_on_answered (struct bgap_follower *f)
{
  f->retry_ms = RETRY_FIRST_MS;
  f->failing = false;
}

static void
_bgap_follower_report_synced (struct bgap_follower *f)
{
  _bgap_follower_on_answered (f);
  if (f->desc.ops.synced != NULL)
    f->desc.ops.synced (f->desc.ops.context, f->sent_ms, false);
}

static void
_bgap_follower_on_failure (struct bgap_follower *f,
                           const struct bgap_store_page *page)
{
  if (f->desc.ops.failed != NULL)
    f->desc.ops.failed (f->desc.ops.context, page->outcome, page->message);
  f->failing = true;
  bgap_follower_arm (f, f->retry_ms);
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

/* Time until the first read after a load. What changed during the load is read
   as late as any other change.  */
static int64_t
_bgap_follower_first_pause_ms (const struct bgap_follower *f)
{
  if (f->gap_since_ms != 0)
    return 0;
  if (f->load_end == 0)
    return EMPTY_PAUSE_MS;
  return f->desc.wait_ms > 0 ? 0 : f->desc.pause_ms;
}

static void
_bgap_follower_on_newest (void *user, const struct bgap_store_page *page)
{
  struct bgap_follower *f = _bgap_follower_end_call (user);
  if (f == NULL)
    return;
  if (page->outcome != BGAP_STORE_OK)
    {
      /* Pages from before and after an interruption may be inconsistent, so
         the load starts again.  */
      f->load_begun = false;
      _bgap_follower_on_failure (f, page);
      return;
    }
  _bgap_follower_on_latency (f, f->sent_ms);
  if (!f->load_begun)
    {
      f->load_begun = true;
      f->load_end = page->end;
      f->load_next = 0;
      if (f->desc.ops.load_started != NULL)
        f->desc.ops.load_started (f->desc.ops.context);
    }
  for (size_t i = 0; i < page->count; i++)
    if (page->records[i].offset >= f->load_next)
      f->load_next = page->records[i].offset + 1;
  _bgap_follower_report (f, page);
  if (f->desc.ops.load_read != NULL)
    f->desc.ops.load_read (f->desc.ops.context, page->records, page->count);
  if (page->more && page->count > 0)
    {
      snprintf (f->after, sizeof f->after, "%s",
                page->records[page->count - 1].key);
      bgap_follower_arm (f, 0);
      return;
    }
  f->load_begun = false;
  f->state = FOLLOWING;
  f->next = f->load_next < f->load_end ? f->load_next : f->load_end;
  f->just_loaded = true;
  f->loaded = true;
  if (f->desc.ops.loaded != NULL)
    f->desc.ops.loaded (f->desc.ops.context);
  bgap_follower_check_gap (f);
  _bgap_follower_report_synced (f);
  /* A callback may have requested a reload or started the next read.  */
  if (f->state == FOLLOWING && !f->busy)
    bgap_follower_arm (f, _bgap_follower_first_pause_ms (f));
}

/* The answer to a read or probe has been handled. The store has no more
   records than it says, whatever a message said before.  */
static void
_bgap_follower_note_end (struct bgap_follower *f, int64_t sent_ms,
                         const struct bgap_store_page *page)
{
  if (sent_ms >= f->gap_seen_ms && f->next >= page->end)
    f->gap_end = f->next;
}

/* Time until the next read after one that succeeded.  */
static int64_t
_bgap_follower_pause_ms (const struct bgap_follower *f,
                         const struct bgap_store_page *page)
{
  int64_t now_ms = bgap_follower_now_ms ();
  if (f->gap_since_ms != 0)
    return f->sent_ms + f->unrelayed_pause_ms - now_ms;
  if (f->relayed && now_ms - f->relayed_ms < f->desc.relay_timeout_ms)
    return f->relayed_ms + f->desc.relay_timeout_ms - now_ms;
  if (page->end == 0)
    return f->relayed ? f->desc.relay_timeout_ms : EMPTY_PAUSE_MS;
  uint32_t pause_ms = f->desc.pause_ms;
  if (f->relayed && f->unrelayed_pause_ms > pause_ms)
    pause_ms = f->unrelayed_pause_ms;
  return f->sent_ms + pause_ms - now_ms;
}

static void
_bgap_follower_on_read (void *user, const struct bgap_store_page *page)
{
  uint64_t from = ((struct follower_call *)user)->from;
  struct bgap_follower *f = _bgap_follower_end_call (user);
  if (f == NULL)
    return;
  event_del (&f->probe_timer);
  if (page->outcome == BGAP_STORE_TRUNCATED && f->just_loaded
      && f->next < f->load_end)
    {
      /* The store has dropped the records between the newest one of the load
         and the end.  */
      f->next = f->load_end;
      bgap_follower_arm (f, 0);
      return;
    }
  if (page->outcome == BGAP_STORE_TRUNCATED)
    {
      f->state = LOADING;
      bgap_follower_arm (f, 0);
      return;
    }
  if (page->outcome != BGAP_STORE_OK)
    {
      _bgap_follower_on_failure (f, page);
      return;
    }
  f->just_loaded = false;
  if (page->count > 0)
    f->next = page->records[page->count - 1].offset + 1;
  _bgap_follower_note_end (f, f->sent_ms, page);
  _bgap_follower_report (f, page);
  /* After a long network outage the history of a busy topic is much longer
     than its newest records, and by the time it was read it would have grown
     as much again. The newest records are loaded instead, and until then most
     are missing.  */
  bool is_far_behind = page->count > 0 && f->next < page->end;
  if (is_far_behind)
    _bgap_follower_on_answered (f);
  else
    _bgap_follower_report_synced (f);
  if (f->desc.ops.page_read != NULL)
    f->desc.ops.page_read (f->desc.ops.context, from, page->records,
                           page->count);
  bgap_follower_check_gap (f);
  /* A callback may have requested a reload or started the next read.  */
  if (f->state == LOADING || f->busy)
    return;
  if (is_far_behind)
    {
      bgap_follower_reload (f);
      return;
    }
  bgap_follower_arm (f, _bgap_follower_pause_ms (f, page));
}

static void
_bgap_follower_arm_probe (struct bgap_follower *f, int64_t delay_ms)
{
  if (delay_ms > PROBE_INTERVAL_MS)
    delay_ms = PROBE_INTERVAL_MS;
  const struct timeval delay = {
    .tv_sec = delay_ms / 1000,
    .tv_usec = delay_ms % 1000 * 1000,
  };
  event_add (&f->probe_timer, &delay);
}

/* Result of a probe. If it has found records, the waiting read has missed them
   and is abandoned. If not, this instance is as up to date as the probe.  */
static void
_bgap_follower_on_probe (void *user, const struct bgap_store_page *page)
{
  struct follower_call *call = user;
  struct bgap_follower *f = call->follower;
  f->probe_sent_ms = 0;
  if (page->outcome == BGAP_STORE_OK)
    _bgap_follower_on_latency (f, call->sent_ms);
  bool missed = call->generation == f->generation && f->busy
                && page->outcome == BGAP_STORE_OK && page->count > 0;
  if (missed)
    {
      f->sent_ms = call->sent_ms;
      f->counts.reads_abandoned++;
      call->generation = ++f->generation;
      _bgap_follower_on_read (call, page);
      return;
    }
  bool still_waiting = call->generation == f->generation && f->busy;
  int64_t sent_ms = call->sent_ms;
  LIST_REMOVE (call, next);
  free (call);
  if (!still_waiting)
    return;
  _bgap_follower_arm_probe (f, PROBE_INTERVAL_MS);
  if (page->outcome != BGAP_STORE_OK)
    return;
  _bgap_follower_note_end (f, sent_ms, page);
  bgap_follower_check_gap (f);
  if (f->desc.ops.synced != NULL)
    f->desc.ops.synced (f->desc.ops.context, sent_ms, false);
}

/* Registers a new call. Returns NULL if memory is exhausted.  */
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
    .sent_ms = bgap_follower_now_ms (),
  };
  LIST_INSERT_HEAD (&f->calls, call, next);
  f->counts.reads++;
  return call;
}

void
bgap_follower_probe (struct bgap_follower *f)
{
  if (!f->busy || f->state != FOLLOWING
      || (f->probe_sent_ms != 0
          && !bgap_follower_is_overdue (f, f->probe_sent_ms)))
    return;
  struct follower_call *call = _bgap_follower_begin_call (f);
  if (call == NULL)
    return;
  if (f->desc.store->read (
          f->desc.store->context,
          &(struct bgap_store_read){ .topic = f->desc.topic,
                                     .from = f->next,
                                     .max_kb = f->desc.page_kb,
                                     .done = _bgap_follower_on_probe,
                                     .user = call })
      == BGAP_OK)
    {
      f->probe_sent_ms = call->sent_ms;
      return;
    }
  LIST_REMOVE (call, next);
  free (call);
  _bgap_follower_arm_probe (f, PROBE_INTERVAL_MS);
}

void
bgap_follower_on_probe_timer (evutil_socket_t fd, short events, void *user)
{
  struct bgap_follower *f = user;
  (void)fd;
  (void)events;
  /* A probe for an earlier read is still running.  */
  if (f->probe_sent_ms != 0)
    _bgap_follower_arm_probe (f, PROBE_DELAY_MS);
  bgap_follower_probe (f);
}

void
bgap_follower_on_timer (evutil_socket_t fd, short events, void *user)
{
  struct bgap_follower *f = user;
  enum bgap_status status;
  (void)fd;
  (void)events;
  if (f->busy || !f->started)
    return;
  f->generation++;
  struct follower_call *call = _bgap_follower_begin_call (f);
  if (call == NULL)
    {
      bgap_follower_arm (f, RETRY_MAX_MS);
      return;
    }
  f->sent_ms = bgap_follower_now_ms ();
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
      int64_t probe_ms
          = PROBE_DELAY_MS + (int64_t)(PROBE_LATENCIES * f->latency_ms);
      if (f->state == FOLLOWING && f->next > 0
          && f->desc.wait_ms > PROBE_DELAY_MS)
        _bgap_follower_arm_probe (f, probe_ms);
      return;
    }
  LIST_REMOVE (call, next);
  free (call);
  bgap_follower_arm (f, RETRY_MAX_MS);
}
