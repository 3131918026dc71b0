#include "world_state.h"

static void
apply_append (struct world *w, struct event *event)
{
  bool ok
      = event->append_at == w->record_count && w->record_count < RECORDS_MAX;
  if (ok)
    {
      w->records[w->record_count] = event->assignment;
      w->record_ms[w->record_count] = w->now_ms;
      event->assignment = (struct bgap_assignment){ 0 };
      w->record_count++;
    }
  event->append_result
      = ok ? BGAP_GRANTER_APPENDED : BGAP_GRANTER_NOT_APPENDED;
}

void
world_on_append (struct world *w, struct event *event)
{
  struct event answer = *event;
  answer.kind = EVENT_APPEND_REPLY;
  answer.assignment = (struct bgap_assignment){ 0 };
  if (event->lost)
    {
      apply_append (w, event);
      bgap_assignment_shutdown (&event->assignment);
      return;
    }
  if (w->now_ms < w->instances[event->instance].store_cut_until_ms)
    {
      bgap_assignment_shutdown (&event->assignment);
      answer.append_result = BGAP_GRANTER_APPEND_UNKNOWN;
      answer.at_ms = w->now_ms + 1500;
      world_add_event (w, &answer);
      return;
    }
  if (world_chance (w, 80))
    {
      struct event late = *event;
      late.lost = true;
      late.at_ms = w->now_ms + world_random_between (w, 0, 5000);
      world_add_event (w, &late);
      answer.append_result = BGAP_GRANTER_APPEND_UNKNOWN;
      answer.at_ms = w->now_ms + 1500;
      world_add_event (w, &answer);
      return;
    }
  apply_append (w, event);
  bgap_assignment_shutdown (&event->assignment);
  answer.append_result = event->append_result;
  answer.answer_timeline = w->timeline;
  answer.at_ms = w->now_ms + 5;
  world_add_event (w, &answer);
}

/* The instance learns of a restore. Of the records of the copy it reads the
   newest one.  */
static void
see_timeline (struct instance *instance, const struct world *w,
              uint64_t timeline)
{
  if (timeline <= instance->timeline)
    return;
  instance->timeline = timeline;
  bgap_granter_on_timeline (instance->granter, w->now_ms, timeline);
  instance->records_read = w->record_count > 0 ? w->record_count - 1 : 0;
}

/* An acknowledged record is at the offset of its condition and need not be
   read back.  */
static void
apply_acknowledged (struct world *w, struct instance *instance,
                    const struct event *event)
{
  if (instance->records_read != event->append_at
      || instance->records_read >= w->record_count)
    return;
  bgap_granter_on_assignment (instance->granter, w->now_ms,
                              &w->records[instance->records_read++]);
  bgap_granter_on_view (instance->granter, w->now_ms, event->append_sent_ms);
}

void
world_on_append_reply (struct world *w, const struct event *event)
{
  struct instance *instance = &w->instances[event->instance];
  enum bgap_granter_append_result result = event->append_result;
  see_timeline (instance, w, event->answer_timeline);
  /* The record is in another timeline than the one that it was made for.  */
  if (result == BGAP_GRANTER_APPENDED
      && event->timeline != event->answer_timeline)
    result = BGAP_GRANTER_APPEND_UNKNOWN;
  bgap_granter_on_append (instance->granter, w->now_ms, event->action.call,
                          result);
  if (result == BGAP_GRANTER_APPENDED)
    apply_acknowledged (w, instance, event);
}

void
world_read_store (struct world *w, int i)
{
  struct instance *instance = &w->instances[i];
  if (w->now_ms < instance->store_cut_until_ms
      || w->now_ms < instance->next_read_ms)
    return;
  instance->next_read_ms = w->now_ms + world_random_between (w, 20, 400);
  int64_t sent_ms
      = w->now_ms - world_random_between (w, 1, world_delay_max_ms (w));
  see_timeline (instance, w, w->timeline);
  while (instance->records_read < w->record_count)
    bgap_granter_on_assignment (instance->granter, w->now_ms,
                                &w->records[instance->records_read++]);
  bgap_granter_on_loaded (instance->granter, w->now_ms);
  bgap_granter_on_view (instance->granter, w->now_ms, sent_ms);
}

void
world_cut_store (struct world *w, int i, int64_t for_ms)
{
  w->instances[i].store_cut_until_ms = w->now_ms + for_ms;
}

void
world_restore_store (struct world *w, int64_t age_ms, int64_t down_ms)
{
  while (w->record_count > 0
         && w->record_ms[w->record_count - 1] > w->now_ms - age_ms)
    bgap_assignment_shutdown (&w->records[--w->record_count]);
  w->timeline++;
  w->totals.restores++;
  for (int i = 0; i < WORLD_INSTANCES; i++)
    if (w->instances[i].store_cut_until_ms < w->now_ms + down_ms)
      world_cut_store (w, i, down_ms);
}
