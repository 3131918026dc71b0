#include "configuration.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/base/log.h"
#include "log_follower.h"
#include "message_kinds.h"
#include "now.h"

#define STREAM "config"

/* Interval of the checks whether a peer has a newer configuration and whether
   a snapshot is due.  */
#define CHECK_INTERVAL_MS 500

/* The log counts as unreachable after this time without a successful read.  */
#define LOG_UNREACHABLE_MS 2500

/* A snapshot is written after this number of records, or after this time if
   there was a record at all: 15 min, a quarter of a retention of one hour.  */
#define SNAPSHOT_RECORDS 1000
#define SNAPSHOT_MS ((int64_t)15 * 60 * 1000)

struct bgap_configuration
{
  struct bgap_configuration_desc desc;
  struct bgap_config replay;
  struct bgap_log_follower *follower;
  struct event *timer;
  struct bgap_configuration_event events[BGAP_CONFIGURATION_EVENTS];
  uint32_t event_count;
  int64_t first_offset;
  int64_t snapshot_ms;
};

static void
_bgap_configuration_applied (struct bgap_configuration *configuration)
{
  bgap_members_set_config (configuration->desc.members,
                           bgap_config_version (&configuration->replay, NULL));
  configuration->desc.applied (configuration->desc.context);
}

static void
_bgap_configuration_event_free (struct bgap_configuration_event *event)
{
  bgap_findings_shutdown (&event->findings);
  bgap_buffer_shutdown (&event->changed);
}

/* Stores an event for watches, in place of the oldest one if the array is
   full. Takes over the findings and the text of @from.  */
static void
_bgap_configuration_store_event (struct bgap_configuration *configuration,
                                 struct bgap_config_event *from)
{
  if (configuration->event_count == BGAP_CONFIGURATION_EVENTS)
    {
      configuration->first_offset = configuration->events[0].offset + 1;
      _bgap_configuration_event_free (&configuration->events[0]);
      memmove (&configuration->events[0], &configuration->events[1],
               sizeof configuration->events - sizeof configuration->events[0]);
      configuration->event_count--;
    }
  struct bgap_configuration_event *event
      = &configuration->events[configuration->event_count++];
  *event = (struct bgap_configuration_event){
    .offset = from->offset,
    .result = from->result,
    .findings = from->findings,
    .changed = from->changed,
  };
  snprintf (event->owner, sizeof event->owner, "%s", from->owner);
  snprintf (event->operator_name, sizeof event->operator_name, "%s",
            from->operator);
  from->findings = (struct bgap_findings){ 0 };
  from->changed = (struct bgap_buffer){ 0 };
}

static int64_t
_bgap_configuration_next (void *context)
{
  struct bgap_configuration *configuration = context;
  return bgap_config_next (&configuration->replay);
}

static void
_bgap_configuration_on_record (void *context,
                               const struct bgap_log_record *record)
{
  struct bgap_configuration *configuration = context;
  struct bgap_config_event event = { 0 };
  if (bgap_config_apply (&configuration->replay, record->offset, record->data,
                         record->size, &event)
      != BGAP_OK)
    {
      bgap_log_error ("config", "no memory to apply a configuration record");
      return;
    }
  bool decided = event.result == BGAP_CONFIG_ACCEPTED
                 || event.result == BGAP_CONFIG_REFUSED
                 || event.result == BGAP_CONFIG_STALE;
  if (decided)
    {
      bgap_log_info ("config", "change %s; owner=%s offset=%lld operator=%s",
                     bgap_config_result_name (event.result), event.owner,
                     (long long)event.offset, event.operator);
      _bgap_configuration_store_event (configuration, &event);
    }
  if (event.result == BGAP_CONFIG_BLOCKED)
    bgap_log_error ("config", "record of a later release; offset=%lld",
                    (long long)record->offset);
  if (event.result == BGAP_CONFIG_ACCEPTED
      || event.result == BGAP_CONFIG_INSTALLED)
    _bgap_configuration_applied (configuration);
  bgap_config_event_shutdown (&event);
}

static void
_bgap_configuration_on_truncated (void *context, int64_t first)
{
  struct bgap_configuration *configuration = context;
  bgap_log_warn ("config", "log was truncated; first=%lld", (long long)first);
  bgap_config_truncated (&configuration->replay, first);
  configuration->first_offset = first;
}

static void
_bgap_configuration_on_end (void *context, int64_t end)
{
  struct bgap_configuration *configuration = context;
  struct bgap_error err = { 0 };
  if (bgap_config_check_end (&configuration->replay, end, &err) != BGAP_OK)
    bgap_log_error ("config", "%s", err.message);
}

static void
_bgap_configuration_on_append (void *user,
                               const struct bgap_log_append_result *result)
{
  (void)user;
  if (result->answer != BGAP_ANSWER_OK)
    bgap_log_warn ("config",
                   "log did not confirm a snapshot record; reason=%s",
                   result->message);
}

static void
_bgap_configuration_write_snapshot (struct bgap_configuration *configuration)
{
  struct bgap_buffer data = { 0 };
  int64_t as_of = bgap_config_applied (&configuration->replay);
  char id[32];
  snprintf (id, sizeof id, "%llx", (unsigned long long)bgap_wall_ms ());
  if (bgap_config_snapshot_data (&configuration->replay, &data) == BGAP_OK)
    for (uint32_t part = 0; part < bgap_config_snapshot_parts (data.size);
         part++)
      {
        struct bgap_buffer record = { 0 };
        if (bgap_config_snapshot_record (id, as_of, part, &data, &record)
            == BGAP_OK)
          configuration->desc.log->append (
              configuration->desc.log->context, STREAM, record.data,
              record.size, _bgap_configuration_on_append, configuration);
        bgap_buffer_shutdown (&record);
      }
  bgap_buffer_shutdown (&data);
}

static void
_bgap_configuration_check_snapshot (struct bgap_configuration *configuration,
                                    int64_t now_ms)
{
  const struct bgap_config *replay = &configuration->replay;
  int64_t behind
      = bgap_config_applied (replay) - bgap_config_snapshot_as_of (replay);
  if (configuration->snapshot_ms == 0)
    configuration->snapshot_ms = now_ms;
  /* The records of a snapshot advance the applied offset too.  */
  bool due = behind > SNAPSHOT_RECORDS
             || now_ms - configuration->snapshot_ms > SNAPSHOT_MS;
  if (!due || bgap_config_version (replay, NULL) == BGAP_CONFIG_NO_VERSION)
    return;
  configuration->snapshot_ms = now_ms;
  if (bgap_members_is_responsible (configuration->desc.members, STREAM))
    _bgap_configuration_write_snapshot (configuration);
}

static void
_bgap_configuration_on_timer (evutil_socket_t fd, short what, void *context)
{
  struct bgap_configuration *configuration = context;
  (void)fd;
  (void)what;
  int64_t now_ms = bgap_now_ms ();
  const struct bgap_member *newest
      = bgap_members_newest (configuration->desc.members);
  bool unreachable
      = now_ms - bgap_log_follower_last_ok_ms (configuration->follower)
        > LOG_UNREACHABLE_MS;
  if (unreachable && newest != NULL)
    bgap_peer_send (configuration->desc.peer, newest->name,
                    BGAP_MESSAGE_CONFIG_REQUEST, "", 0);
  if (!unreachable)
    _bgap_configuration_check_snapshot (configuration, now_ms);
}

static const struct bgap_log_follower_ops follower_ops = {
  .next = _bgap_configuration_next,
  .record = _bgap_configuration_on_record,
  .truncated = _bgap_configuration_on_truncated,
  .end = _bgap_configuration_on_end,
};

enum bgap_status
bgap_configuration_setup (const struct bgap_configuration_desc *desc,
                          struct bgap_configuration **out,
                          struct bgap_error *err)
{
  struct bgap_configuration *configuration = calloc (1, sizeof *configuration);
  if (configuration == NULL)
    return bgap_error_set (err, BGAP_ERR_NO_MEMORY,
                           "no memory for the configuration");
  configuration->desc = *desc;
  configuration->first_offset = 1;
  enum bgap_status status = bgap_config_setup (
      &configuration->replay, &(struct bgap_config_desc){ 0 });
  if (status == BGAP_OK)
    status = bgap_log_follower_setup (
        &(struct bgap_log_follower_desc){ .base = desc->base,
                                          .log = desc->log,
                                          .stream = STREAM,
                                          .ops = &follower_ops,
                                          .context = configuration },
        &configuration->follower, err);
  configuration->timer = event_new (
      desc->base, -1, EV_PERSIST, _bgap_configuration_on_timer, configuration);
  if (status != BGAP_OK || configuration->timer == NULL)
    {
      bgap_configuration_shutdown (configuration);
      return bgap_error_set (err, BGAP_ERR_NO_MEMORY,
                             "no memory for the configuration");
    }
  const struct timeval interval = bgap_timeval (CHECK_INTERVAL_MS);
  event_add (configuration->timer, &interval);
  *out = configuration;
  return BGAP_OK;
}

void
bgap_configuration_shutdown (struct bgap_configuration *configuration)
{
  if (configuration == NULL)
    return;
  if (configuration->timer != NULL)
    event_free (configuration->timer);
  bgap_log_follower_free (configuration->follower);
  for (uint32_t i = 0; i < configuration->event_count; i++)
    _bgap_configuration_event_free (&configuration->events[i]);
  bgap_config_shutdown (&configuration->replay);
  free (configuration);
}

const struct bgap_config *
bgap_configuration_replay (const struct bgap_configuration *configuration)
{
  return &configuration->replay;
}

const struct bgap_resource_set *
bgap_configuration_set (const struct bgap_configuration *configuration)
{
  return bgap_config_resources (&configuration->replay);
}

const struct bgap_configuration_event *
bgap_configuration_event (const struct bgap_configuration *configuration,
                          uint32_t index)
{
  if (index >= configuration->event_count)
    return NULL;
  return &configuration->events[index];
}

int64_t
bgap_configuration_first_offset (
    const struct bgap_configuration *configuration)
{
  return configuration->first_offset;
}

void
bgap_configuration_on_request (struct bgap_configuration *configuration,
                               const char *from)
{
  struct bgap_buffer data = { 0 };
  if (bgap_config_snapshot_data (&configuration->replay, &data) == BGAP_OK)
    bgap_peer_send (configuration->desc.peer, from, BGAP_MESSAGE_CONFIG,
                    data.data, data.size);
  bgap_buffer_shutdown (&data);
}

void
bgap_configuration_on_peer (struct bgap_configuration *configuration,
                            const char *from, const void *bytes, size_t size)
{
  struct bgap_error err = { 0 };
  enum bgap_status status
      = bgap_config_install (&configuration->replay, bytes, size, &err);
  if (status == BGAP_ERR_STALE)
    return;
  if (status != BGAP_OK)
    {
      bgap_log_warn ("config",
                     "cannot install the configuration of a peer; from=%s %s",
                     from, err.message);
      return;
    }
  bgap_log_info ("config", "configuration taken from a peer; from=%s", from);
  _bgap_configuration_applied (configuration);
}
