#include "follower_state.h"

/* Age up to which the view of a relay that waits for records counts as
   current. It checks every second whether it has missed one.  */
#define RELAY_VIEW_AGE_MAX_MS 2500

/* Time after a failed call at which a gap is read, if the back-off is longer.
   The message that shows the gap may mean that a network outage is over.  */
#define GAP_RETRY_MS 600

void
bgap_follower_set_relayed (struct bgap_follower *follower, bool relayed,
                           uint32_t pause_ms)
{
  if (follower->relayed && !relayed)
    bgap_follower_read_now (follower);
  follower->relayed = relayed;
  follower->unrelayed_pause_ms = pause_ms;
}

static void
_bgap_follower_report_gap (const struct bgap_follower *f,
                           uint64_t relayed_next, bool closed)
{
  int64_t now_ms = bgap_follower_now_ms ();
  const struct bgap_follower_gap gap = {
    .next = f->next,
    .relayed_next = relayed_next,
    .behind_ms = now_ms - f->gap_since_ms,
    .reading_ms = f->busy ? now_ms - f->sent_ms : -1,
    .closed = closed,
  };
  if (f->desc.ops.gap != NULL)
    f->desc.ops.gap (f->desc.ops.context, &gap);
}

static void
_bgap_follower_note_gap (struct bgap_follower *f, uint64_t next)
{
  f->counts.gaps++;
  f->gap_seen_ms = bgap_follower_now_ms ();
  if (f->gap_since_ms == 0)
    f->gap_since_ms = f->gap_seen_ms;
  if (next > f->gap_end)
    f->gap_end = next;
  _bgap_follower_report_gap (f, next, false);
}

/* Starts a read of the missing records. The running read is not abandoned,
   since messages may arrive faster than the store answers; if it may not
   return the records, another one is sent beside it.  */
static void
_bgap_follower_read_gap (struct bgap_follower *f)
{
  if (f->busy)
    {
      if (f->desc.wait_ms > 0 || bgap_follower_is_overdue (f, f->sent_ms))
        bgap_follower_probe (f);
      return;
    }
  int64_t pause_ms = f->unrelayed_pause_ms;
  if (f->failing && pause_ms < GAP_RETRY_MS)
    pause_ms = GAP_RETRY_MS;
  int64_t at_ms = f->sent_ms + pause_ms;
  if (!event_pending (&f->timer, EV_TIMEOUT, NULL) || at_ms < f->timer_at_ms)
    bgap_follower_arm (f, at_ms - bgap_follower_now_ms ());
}

void
bgap_follower_check_gap (struct bgap_follower *f)
{
  if (f->gap_since_ms == 0 || f->state != FOLLOWING || f->next < f->gap_end)
    return;
  _bgap_follower_report_gap (f, f->gap_end, true);
  f->gap_since_ms = 0;
}

/* Abandons a waiting read and postpones the next one until the relay times
   out.  */
static void
_bgap_follower_defer_read (struct bgap_follower *f)
{
  int64_t remaining_ms
      = f->relayed_ms + f->desc.relay_timeout_ms - bgap_follower_now_ms ();
  if (remaining_ms > 0)
    bgap_follower_abandon_call (f);
  if (!f->busy)
    bgap_follower_arm (f, remaining_ms);
}

bool
bgap_follower_on_relay_page (struct bgap_follower *f,
                             const struct bgap_relay_page *page)
{
  if (!f->relayed)
    return true;
  if (f->state != FOLLOWING || page->from > f->next)
    {
      bgap_follower_on_relay_gap (f, page->next);
      return false;
    }
  /* A relay that is itself behind says nothing about newer records.  */
  if (page->next < f->next)
    return true;
  /* With reads that wait for a record, a page is up to date although the read
     was sent some time ago. Otherwise the relay time-out counts from the time
     when the relay sent the read, so that an old page does not postpone
     reads.  */
  int64_t now_ms = bgap_follower_now_ms ();
  bool is_current
      = f->desc.wait_ms > 0 && now_ms - page->sent_ms <= RELAY_VIEW_AGE_MAX_MS;
  int64_t relayed_ms = is_current ? now_ms : page->sent_ms;
  if (relayed_ms > f->relayed_ms)
    f->relayed_ms = relayed_ms;
  uint64_t next = f->next;
  f->next = page->next;
  if (f->gap_since_ms == 0 || f->next >= f->gap_end)
    _bgap_follower_defer_read (f);
  for (size_t i = 0; i < page->count; i++)
    if (page->records[i].offset >= next)
      f->desc.ops.record (f->desc.ops.context, &page->records[i]);
  bgap_follower_check_gap (f);
  if (f->desc.ops.synced != NULL)
    f->desc.ops.synced (f->desc.ops.context, page->sent_ms, true);
  return true;
}

void
bgap_follower_on_relay_gap (struct bgap_follower *f, uint64_t next)
{
  if (!f->relayed || f->state != FOLLOWING || next <= f->next)
    return;
  _bgap_follower_note_gap (f, next);
  _bgap_follower_read_gap (f);
}
