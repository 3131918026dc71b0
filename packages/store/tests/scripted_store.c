#include "scripted_store.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include <cmocka.h>

/**
 * struct pending - a call that is answered from the event loop
 */
struct pending
{
  struct scripted_store *fake;
  void (*done) (void *user, const struct bgap_store_page *page);
  void *user;
};

static void
on_answer (evutil_socket_t fd, short events, void *context)
{
  struct pending pending = *(struct pending *)context;
  struct scripted_store *fake = pending.fake;
  (void)fd;
  (void)events;
  free (context);
  if (fake->answered == fake->answer_count)
    {
      event_base_loopbreak (fake->base);
      return;
    }
  const struct answer *answer = &fake->answers[fake->answered++];
  if (answer->never)
    return;
  const struct bgap_store_page page = {
    .outcome = answer->outcome,
    .records = answer->records,
    .count = answer->count,
    .end = answer->end,
    .more = answer->more,
    .message = "",
  };
  pending.done (pending.user, &page);
}

static void
schedule_answer (struct scripted_store *fake,
                 void (*done) (void *, const struct bgap_store_page *),
                 void *user)
{
  struct pending *pending = malloc (sizeof *pending);
  const struct timeval now = { 0 };
  assert_non_null (pending);
  *pending = (struct pending){ fake, done, user };
  event_base_once (fake->base, -1, EV_TIMEOUT, on_answer, pending, &now);
}

static enum bgap_status
fake_newest (void *context, const struct bgap_store_newest *call)
{
  struct scripted_store *fake = context;
  fake->loads++;
  schedule_answer (fake, call->done, call->user);
  return BGAP_OK;
}

static enum bgap_status
fake_read (void *context, const struct bgap_store_read *call)
{
  struct scripted_store *fake = context;
  fake->read_from[fake->reads++] = call->from;
  schedule_answer (fake, call->done, call->user);
  return BGAP_OK;
}

static void
on_record (void *context, const struct bgap_store_record *record)
{
  struct scripted_store *fake = context;
  if (fake->seen_count < sizeof fake->seen / sizeof *fake->seen)
    fake->seen[fake->seen_count++] = record->offset;
}

static void
on_synced (void *context, int64_t sent_ms, bool relayed)
{
  struct scripted_store *fake = context;
  (void)sent_ms;
  (void)relayed;
  fake->synced++;
  fake->seen_when_synced = fake->seen_count;
}

static void
on_loaded (void *context)
{
  struct scripted_store *fake = context;
  fake->loaded++;
}

struct bgap_follower *
scripted_store_start (struct scripted_store *fake, uint32_t wait_ms)
{
  struct bgap_follower *follower;
  struct bgap_error err = { 0 };
  fake->base = event_base_new ();
  fake->ops = (struct bgap_store_ops){ .newest = fake_newest,
                                       .read = fake_read,
                                       .context = fake };
  assert_int_equal (bgap_follower_setup (&follower,
                                         &(struct bgap_follower_desc){
                                             .base = fake->base,
                                             .store = &fake->ops,
                                             .topic = "t",
                                             .wait_ms = wait_ms,
                                             .relay_timeout_ms = 100,
                                             .ops = { .record = on_record,
                                                      .loaded = on_loaded,
                                                      .synced = on_synced,
                                                      .context = fake } },
                                         &err),
                    BGAP_OK);
  return follower;
}

void
scripted_store_finish (struct scripted_store *fake,
                       struct bgap_follower *follower)
{
  event_base_dispatch (fake->base);
  bgap_follower_shutdown (follower);
  event_base_free (fake->base);
}

void
scripted_store_follow (struct scripted_store *fake)
{
  scripted_store_finish (fake, scripted_store_start (fake, 0));
}
