#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "banyangap/base/clock.h"
#include "commands.h"
#include "output.h"

/* Longest wait that one request asks for. The protocol allows 30000 ms.  */
#define WAIT_MS 10000

/* Interval of the requests while a change is not in force on all instances. */
#define POLL_MS 500

/* Default timeout of apply: a change is in force on all instances within
   12 s.  */
#define VERDICT_TIMEOUT_MS 12000

/* Largest number of changes whose progress is tracked at the same time.  */
#define TRACKED_MAX 64

/**
 * struct bgap_ctl_tracked_change - accepted change that is not yet in force on
 * all instances
 * @offset: of the change's event
 * @in_force: number of instances that have it in force
 */
struct bgap_ctl_tracked_change
{
  int64_t offset;
  int64_t in_force;
};

/**
 * struct bgap_ctl_watch - position in the events of an owner
 * @from: offset of the first event that was not received yet
 * @tracked: changes whose progress is tracked
 */
struct bgap_ctl_watch
{
  const char *owner;
  int64_t from;
  struct bgap_ctl_tracked_change tracked[TRACKED_MAX];
  uint32_t tracked_count;
};

static int64_t
_bgap_ctl_now_ms (void)
{
  const struct bgap_clock *clock = bgap_clock_system ();
  return clock->now_ms (clock->context);
}

static void
_bgap_ctl_sleep_ms (int64_t ms)
{
  const struct timespec pause
      = { .tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000 };
  nanosleep (&pause, NULL);
}

/* Offset to request events from: that of the oldest tracked change, or that of
   the first event that was not received yet.  */
static int64_t
_bgap_ctl_request_offset (const struct bgap_ctl_watch *watch)
{
  int64_t offset = watch->from;
  for (uint32_t i = 0; i < watch->tracked_count; i++)
    if (watch->tracked[i].offset < offset)
      offset = watch->tracked[i].offset;
  return offset;
}

/* Sends one request for events. On status 410 the position advances to the
   oldest event that the instance still keeps, and @json is NULL.  */
static enum bgap_ctl_exit
_bgap_ctl_poll (const struct bgap_ctl_options *options,
                struct bgap_ctl_watch *watch, int64_t wait_ms, json_t **json)
{
  struct bgap_buffer path = { 0 };
  struct bgap_ctl_reply reply;
  *json = NULL;
  if (watch->tracked_count > 0)
    wait_ms = 0;
  bgap_buffer_printf (&path, "/config/watch?owner=");
  bgap_ctl_append_encoded (&path, watch->owner);
  bgap_buffer_printf (&path, "&from=%" PRId64 "&wait_ms=%" PRId64,
                      _bgap_ctl_request_offset (watch), wait_ms);
  const enum bgap_ctl_exit status
      = bgap_ctl_request (options, path.data, NULL, wait_ms, &reply);
  bgap_buffer_shutdown (&path);
  if (status != BGAP_CTL_OK)
    return status;
  if (reply.status == 410)
    {
      const int64_t first = bgap_ctl_number (reply.json, "first");
      json_decref (reply.json);
      fprintf (stderr,
               "banyangapctl: events before offset %" PRId64
               " are no longer kept\n",
               first);
      watch->tracked_count = 0;
      watch->from = first > watch->from ? first : watch->from;
      return BGAP_CTL_OK;
    }
  if (reply.status != 200)
    return bgap_ctl_print_error (&reply);
  *json = reply.json;
  return BGAP_CTL_OK;
}

/* Sleeps before the next request if changes are tracked, or if the instance
   answered at once without new events.  */
static void
_bgap_ctl_pause (const struct bgap_ctl_watch *watch, int64_t from,
                 int64_t sent_ms)
{
  if (watch->tracked_count > 0
      || (watch->from == from && _bgap_ctl_now_ms () - sent_ms < POLL_MS))
    _bgap_ctl_sleep_ms (POLL_MS);
}

/* Updates the progress of an accepted change.

   Return: whether the event is new or its progress has changed.  */
static bool
_bgap_ctl_track (struct bgap_ctl_watch *watch, const json_t *event)
{
  const int64_t offset = bgap_ctl_number (event, "offset");
  const int64_t in_force = bgap_ctl_number (event, "in_force");
  const bool done = strcmp (bgap_ctl_text (event, "state"), "accepted") != 0
                    || in_force >= bgap_ctl_number (event, "instances");
  for (uint32_t i = 0; i < watch->tracked_count; i++)
    {
      struct bgap_ctl_tracked_change *item = &watch->tracked[i];
      if (item->offset != offset)
        continue;
      const bool changed = item->in_force != in_force;
      item->in_force = in_force;
      if (done)
        *item = watch->tracked[--watch->tracked_count];
      return changed || done;
    }
  if (offset < watch->from)
    return false;
  if (!done && watch->tracked_count < TRACKED_MAX)
    watch->tracked[watch->tracked_count++]
        = (struct bgap_ctl_tracked_change){ offset, in_force };
  return true;
}

static void
_bgap_ctl_print_event (const struct bgap_ctl_options *options,
                       const json_t *event, const struct bgap_ctl_files *files)
{
  if (options->json)
    {
      bgap_ctl_print_json (event, false);
      return;
    }
  const char *state = bgap_ctl_text (event, "state");
  printf ("%" PRId64 " %s by %s", bgap_ctl_number (event, "offset"), state,
          bgap_ctl_text (event, "operator"));
  if (strcmp (state, "accepted") == 0)
    printf (", in force on %" PRId64 " of %" PRId64,
            bgap_ctl_number (event, "in_force"),
            bgap_ctl_number (event, "instances"));
  printf ("\n");
  if (strcmp (state, "refused") == 0)
    {
      struct bgap_findings findings = { 0 };
      struct bgap_buffer text = { 0 };
      bgap_findings_from_json (&findings, json_object_get (event, "findings"));
      if (files != NULL)
        bgap_ctl_files_locate (files, &findings);
      bgap_findings_print (&findings, &text);
      fputs (text.data ? text.data : "", stdout);
      bgap_buffer_shutdown (&text);
      bgap_findings_shutdown (&findings);
    }
  else if (strcmp (state, "stale") == 0)
    printf ("accepted instead:\n%s", bgap_ctl_text (event, "changed"));
  fflush (stdout);
}

/* Prints the new and changed events of an answer and advances the position.
   If @offset is positive, only the event at this offset is considered.

   Return: the event at @offset or NULL, owned by @json.  */
static const json_t *
_bgap_ctl_process_events (const struct bgap_ctl_options *options,
                          struct bgap_ctl_watch *watch, const json_t *json,
                          int64_t offset, const struct bgap_ctl_files *files)
{
  const json_t *events = json_object_get (json, "events");
  const json_t *found = NULL;
  for (size_t i = 0; i < json_array_size (events); i++)
    {
      const json_t *event = json_array_get (events, i);
      const int64_t event_offset = bgap_ctl_number (event, "offset");
      if (offset > 0 && event_offset != offset)
        continue;
      if (_bgap_ctl_track (watch, event))
        _bgap_ctl_print_event (options, event, files);
      if (event_offset == offset)
        found = event;
    }
  const int64_t end = bgap_ctl_number (json, "end");
  if (end > watch->from)
    watch->from = end;
  return found;
}

enum bgap_ctl_exit
bgap_ctl_await (const struct bgap_ctl_options *options, const char *owner,
                int64_t offset, const struct bgap_ctl_files *files)
{
  struct bgap_ctl_watch watch = { .owner = owner, .from = offset };
  const int64_t limit_ms
      = options->timeout_ms >= 0 ? options->timeout_ms : VERDICT_TIMEOUT_MS;
  const int64_t deadline_ms = _bgap_ctl_now_ms () + limit_ms;
  enum bgap_ctl_exit verdict = BGAP_CTL_UNREACHABLE;
  for (int64_t left_ms = limit_ms; left_ms > 0;
       left_ms = deadline_ms - _bgap_ctl_now_ms ())
    {
      json_t *json;
      const int64_t from = watch.from;
      const int64_t sent_ms = _bgap_ctl_now_ms ();
      const enum bgap_ctl_exit status = _bgap_ctl_poll (
          options, &watch, left_ms < WAIT_MS ? left_ms : WAIT_MS, &json);
      if (status != BGAP_CTL_OK)
        return verdict == BGAP_CTL_OK ? BGAP_CTL_OK : status;
      const json_t *event
          = _bgap_ctl_process_events (options, &watch, json, offset, files);
      const char *state = bgap_ctl_text (event, "state");
      if (strcmp (state, "refused") == 0)
        verdict = BGAP_CTL_REFUSED;
      else if (strcmp (state, "stale") == 0)
        verdict = BGAP_CTL_STALE;
      else if (strcmp (state, "accepted") == 0)
        verdict = BGAP_CTL_OK;
      json_decref (json);
      if (verdict != BGAP_CTL_UNREACHABLE && watch.tracked_count == 0)
        return verdict;
      _bgap_ctl_pause (&watch, from, sent_ms);
    }
  if (verdict == BGAP_CTL_OK)
    fprintf (stderr, "banyangapctl: accepted, but not yet in force on all "
                     "instances\n");
  else
    fprintf (stderr,
             "banyangapctl: no verdict yet; see watch --from %" PRId64 " %s\n",
             offset, owner);
  return verdict;
}

enum bgap_ctl_exit
bgap_ctl_watch (const struct bgap_ctl_options *options)
{
  struct bgap_ctl_watch watch = {
    .owner = bgap_ctl_owner (options),
    .from = options->from,
  };
  if (watch.owner == NULL)
    return bgap_ctl_usage ("watch needs an owner");
  const int64_t start_ms = _bgap_ctl_now_ms ();
  for (;;)
    {
      int64_t wait_ms = WAIT_MS;
      if (options->timeout_ms >= 0)
        {
          const int64_t left_ms
              = options->timeout_ms - (_bgap_ctl_now_ms () - start_ms);
          if (left_ms <= 0)
            break;
          wait_ms = left_ms < wait_ms ? left_ms : wait_ms;
        }
      json_t *json;
      const int64_t from = watch.from;
      const int64_t sent_ms = _bgap_ctl_now_ms ();
      const enum bgap_ctl_exit status
          = _bgap_ctl_poll (options, &watch, wait_ms, &json);
      if (status != BGAP_CTL_OK)
        {
          fprintf (stderr, "banyangapctl: resume with --from %" PRId64 "\n",
                   _bgap_ctl_request_offset (&watch));
          return status;
        }
      _bgap_ctl_process_events (options, &watch, json, 0, NULL);
      json_decref (json);
      _bgap_ctl_pause (&watch, from, sent_ms);
    }
  fprintf (stderr, "banyangapctl: resume with --from %" PRId64 "\n",
           _bgap_ctl_request_offset (&watch));
  return BGAP_CTL_OK;
}
