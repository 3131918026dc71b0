#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "banyangap/base/clock.h"
#include "commands.h"
#include "output.h"

/* Longest wait that one request asks for; the protocol allows 30000.  */
#define WAIT_MS 10000

/* Pause between requests while a change is not in force everywhere.  */
#define POLL_MS 500

/* A change is in force everywhere within 12 s.  */
#define VERDICT_TIMEOUT_MS 12000

/* Events whose progress is followed at the same time.  */
#define FOLLOWED_MAX 64

/**
 * struct bgap_ctl_followed - accepted change that is not in force everywhere
 */
struct bgap_ctl_followed
{
  int64_t offset;
  int64_t in_force;
};

/**
 * struct bgap_ctl_watch - position in the events of an owner
 * @from: offset of the next event that was not seen
 */
struct bgap_ctl_watch
{
  const char *owner;
  int64_t from;
  struct bgap_ctl_followed followed[FOLLOWED_MAX];
  uint32_t followed_count;
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

/* Offset to ask from: the oldest change that is still followed.  */
static int64_t
_bgap_ctl_oldest (const struct bgap_ctl_watch *watch)
{
  int64_t oldest = watch->from;
  for (uint32_t i = 0; i < watch->followed_count; i++)
    if (watch->followed[i].offset < oldest)
      oldest = watch->followed[i].offset;
  return oldest;
}

/* Asks for events once; 410 moves the position to the oldest event left.  */
static enum bgap_ctl_exit
_bgap_ctl_poll (const struct bgap_ctl_options *options,
                struct bgap_ctl_watch *watch, int64_t wait_ms, json_t **json)
{
  struct bgap_buffer path = { 0 };
  struct bgap_ctl_reply reply;
  *json = NULL;
  if (watch->followed_count > 0)
    wait_ms = 0;
  bgap_buffer_printf (&path, "/config/watch?owner=");
  bgap_ctl_append_encoded (&path, watch->owner);
  bgap_buffer_printf (&path, "&from=%" PRId64 "&wait_ms=%" PRId64,
                      _bgap_ctl_oldest (watch), wait_ms);
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
      watch->followed_count = 0;
      watch->from = first > watch->from ? first : watch->from;
      return BGAP_CTL_OK;
    }
  if (reply.status != 200)
    return bgap_ctl_print_error (&reply);
  *json = reply.json;
  return BGAP_CTL_OK;
}

/* Waits before the next request if progress is followed, or if the instance
   answered at once and without anything new.  */
static void
_bgap_ctl_pause (const struct bgap_ctl_watch *watch, int64_t from,
                 int64_t asked_ms)
{
  if (watch->followed_count > 0
      || (watch->from == from && _bgap_ctl_now_ms () - asked_ms < POLL_MS))
    _bgap_ctl_sleep_ms (POLL_MS);
}

/* Remembers the progress of an accepted change.

   Return: whether it is news.  */
static bool
_bgap_ctl_follow (struct bgap_ctl_watch *watch, const json_t *event)
{
  const int64_t offset = bgap_ctl_number (event, "offset");
  const int64_t in_force = bgap_ctl_number (event, "in_force");
  const bool done = strcmp (bgap_ctl_text (event, "state"), "accepted") != 0
                    || in_force >= bgap_ctl_number (event, "instances");
  for (uint32_t i = 0; i < watch->followed_count; i++)
    {
      struct bgap_ctl_followed *item = &watch->followed[i];
      if (item->offset != offset)
        continue;
      const bool news = item->in_force != in_force;
      item->in_force = in_force;
      if (done)
        *item = watch->followed[--watch->followed_count];
      return news || done;
    }
  if (offset < watch->from)
    return false;
  if (!done && watch->followed_count < FOLLOWED_MAX)
    watch->followed[watch->followed_count++]
        = (struct bgap_ctl_followed){ offset, in_force };
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

/* Prints what is new and moves on.

   Return: the event at @offset if it was among them, owned by @json.  */
static const json_t *
_bgap_ctl_take (const struct bgap_ctl_options *options,
                struct bgap_ctl_watch *watch, const json_t *json,
                int64_t offset, const struct bgap_ctl_files *files)
{
  const json_t *events = json_object_get (json, "events");
  const json_t *found = NULL;
  for (size_t i = 0; i < json_array_size (events); i++)
    {
      const json_t *event = json_array_get (events, i);
      const int64_t at = bgap_ctl_number (event, "offset");
      if (offset > 0 && at != offset)
        continue;
      if (_bgap_ctl_follow (watch, event))
        _bgap_ctl_print_event (options, event, files);
      if (at == offset)
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
      const int64_t asked_ms = _bgap_ctl_now_ms ();
      const enum bgap_ctl_exit status = _bgap_ctl_poll (
          options, &watch, left_ms < WAIT_MS ? left_ms : WAIT_MS, &json);
      if (status != BGAP_CTL_OK)
        return verdict == BGAP_CTL_OK ? BGAP_CTL_OK : status;
      const json_t *event
          = _bgap_ctl_take (options, &watch, json, offset, files);
      const char *state = bgap_ctl_text (event, "state");
      if (strcmp (state, "refused") == 0)
        verdict = BGAP_CTL_REFUSED;
      else if (strcmp (state, "stale") == 0)
        verdict = BGAP_CTL_STALE;
      else if (strcmp (state, "accepted") == 0)
        verdict = BGAP_CTL_OK;
      json_decref (json);
      if (verdict != BGAP_CTL_UNREACHABLE && watch.followed_count == 0)
        return verdict;
      _bgap_ctl_pause (&watch, from, asked_ms);
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
      const int64_t asked_ms = _bgap_ctl_now_ms ();
      const enum bgap_ctl_exit status
          = _bgap_ctl_poll (options, &watch, wait_ms, &json);
      if (status != BGAP_CTL_OK)
        {
          fprintf (stderr, "banyangapctl: resume with --from %" PRId64 "\n",
                   _bgap_ctl_oldest (&watch));
          return status;
        }
      _bgap_ctl_take (options, &watch, json, 0, NULL);
      json_decref (json);
      _bgap_ctl_pause (&watch, from, asked_ms);
    }
  fprintf (stderr, "banyangapctl: resume with --from %" PRId64 "\n",
           _bgap_ctl_oldest (&watch));
  return BGAP_CTL_OK;
}
