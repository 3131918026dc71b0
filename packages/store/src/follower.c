#include <stdlib.h>

#include "follower_state.h"

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
  event_assign (&f->timer, desc->base, -1, 0, bgap_follower_on_timer, f);
  event_assign (&f->probe_timer, desc->base, -1, 0,
                bgap_follower_on_probe_timer, f);
  f->started = !desc->deferred;
  bgap_follower_arm (f, 0);
  *follower = f;
  return BGAP_OK;
}

void
bgap_follower_start (struct bgap_follower *follower)
{
  if (follower->started)
    return;
  follower->started = true;
  bgap_follower_arm (follower, 0);
}

void
bgap_follower_shutdown (struct bgap_follower *follower)
{
  if (follower == NULL)
    return;
  event_del (&follower->timer);
  event_del (&follower->probe_timer);
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
bgap_follower_next_offset (const struct bgap_follower *follower)
{
  return follower->next;
}

struct bgap_follower_counts
bgap_follower_counts (const struct bgap_follower *follower)
{
  struct bgap_follower_counts counts = follower->counts;
  if (follower->gap_since_ms != 0)
    counts.behind_ms = bgap_follower_now_ms () - follower->gap_since_ms;
  return counts;
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
  /* A read that is running would return the record again, so it is abandoned.
     The next read starts when it would have been due anyway, so that frequent
     appends do not postpone reads.  */
  if (f->busy)
    {
      bgap_follower_abandon_call (f);
      bgap_follower_arm (f, f->sent_ms + f->desc.pause_ms
                                - bgap_follower_now_ms ());
    }
  f->next++;
  f->desc.ops.record (f->desc.ops.context, record);
  if (f->desc.ops.page_read != NULL)
    f->desc.ops.page_read (f->desc.ops.context, record->offset, record, 1);
}

void
bgap_follower_reload (struct bgap_follower *follower)
{
  bgap_follower_abandon_call (follower);
  follower->state = LOADING;
  follower->load_begun = false;
  bgap_follower_arm (follower, 0);
}

void
bgap_follower_restored (struct bgap_follower *follower)
{
  follower->next = 0;
  follower->gap_since_ms = 0;
  follower->gap_end = 0;
  follower->relayed_ms = 0;
  bgap_follower_reload (follower);
}

bool
bgap_follower_is_loading (const struct bgap_follower *follower)
{
  return follower->state == LOADING;
}

void
bgap_follower_restart (struct bgap_follower *follower)
{
  if (follower->state != FOLLOWING || !follower->busy)
    return;
  bgap_follower_abandon_call (follower);
  bgap_follower_arm (follower, 0);
}

void
bgap_follower_read_now (struct bgap_follower *follower)
{
  if (!follower->busy)
    bgap_follower_arm (follower, 0);
}

void
bgap_follower_retry (struct bgap_follower *follower)
{
  if (follower->retry_ms > RETRY_FIRST_MS)
    bgap_follower_read_now (follower);
}
