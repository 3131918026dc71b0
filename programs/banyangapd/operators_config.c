#include <stdlib.h>
#include <string.h>

#include "banyangap/base/json.h"
#include "now.h"
#include "operators_private.h"

/* Longest time for which a watch waits.  */
#define WATCH_MAX_MS 30000

/* A change that the log has not confirmed yet.  */
struct bgap_operators_append
{
  LIST_ENTRY (bgap_operators_append) next;
  struct bgap_operators *operators;
  struct bgap_admin_id id;
};

static void
_bgap_operators_on_append (void *user,
                           const struct bgap_log_append_result *result)
{
  struct bgap_operators_append *pending = user;
  if (result->answer == BGAP_ANSWER_OK)
    bgap_operators_reply (
        pending->operators, pending->id, 202,
        json_pack ("{s:I}", "offset", (json_int_t)result->offset));
  else
    bgap_operators_reply_error (pending->operators, pending->id, 503,
                                "the log did not confirm the change");
  LIST_REMOVE (pending, next);
  free (pending);
}

void
bgap_operators_drop_appends (struct bgap_operators *operators)
{
  while (!LIST_EMPTY (&operators->appends))
    {
      struct bgap_operators_append *pending = LIST_FIRST (&operators->appends);
      LIST_REMOVE (pending, next);
      free (pending);
    }
}

static void
_bgap_operators_append (struct bgap_operators *operators,
                        struct bgap_admin_id id,
                        const struct bgap_buffer *record)
{
  const struct bgap_log_ops *log = operators->desc.log;
  struct bgap_operators_append *pending = calloc (1, sizeof *pending);
  if (pending == NULL)
    {
      bgap_operators_reply_error (operators, id, 503, "no memory");
      return;
    }
  pending->operators = operators;
  pending->id = id;
  if (log->append (log->context, "config", record->data, record->size,
                   _bgap_operators_on_append, pending)
      == BGAP_OK)
    {
      LIST_INSERT_HEAD (&operators->appends, pending, next);
      return;
    }
  free (pending);
  bgap_operators_reply_error (operators, id, 503,
                              "the log takes no changes now");
}

static void
_bgap_operators_submit (struct bgap_operators *operators,
                        struct bgap_admin_id id, const json_t *body)
{
  const char *owner;
  const char *documents;
  const char *name;
  int64_t based_on;
  struct bgap_error err = { 0 };
  if (bgap_json_string (body, "owner", &owner, &err) != BGAP_OK
      || bgap_json_string (body, "documents", &documents, &err) != BGAP_OK
      || bgap_json_string (body, "operator", &name, &err) != BGAP_OK
      || bgap_json_int (body, "based_on", &based_on, &err) != BGAP_OK)
    {
      bgap_operators_reply_error (operators, id, 400, err.message);
      return;
    }
  const struct bgap_config *replay
      = bgap_configuration_replay (operators->desc.configuration);
  struct bgap_config_event event = { 0 };
  enum bgap_status status
      = bgap_config_check (replay, owner, based_on, documents, &event);
  struct bgap_buffer record = { 0 };
  if (status != BGAP_OK)
    bgap_operators_reply_error (operators, id, 503, "no memory");
  else if (event.result == BGAP_CONFIG_STALE)
    bgap_operators_reply (
        operators, id, 409,
        json_pack ("{s:I, s:s}", "newest", (json_int_t)event.version,
                   "changed", event.changed.data ? event.changed.data : ""));
  else if (event.result != BGAP_CONFIG_ACCEPTED)
    bgap_operators_reply (operators, id, 422,
                          json_pack ("{s:o}", "findings",
                                     bgap_findings_to_json (&event.findings)));
  else if (bgap_config_encode (owner, based_on, documents, name, &record)
           != BGAP_OK)
    bgap_operators_reply_error (operators, id, 400,
                                "the documents are not UTF-8");
  else
    _bgap_operators_append (operators, id, &record);
  bgap_buffer_shutdown (&record);
  bgap_config_event_shutdown (&event);
}

void
bgap_operators_post_config (void *context, struct bgap_admin_id id,
                            const struct bgap_admin_request *request)
{
  struct bgap_operators *operators = context;
  struct bgap_error err = { 0 };
  json_t *body = NULL;
  if (!bgap_operators_allowed (operators, id, request))
    return;
  if (bgap_json_parse (request->body, request->body_size, &body, &err)
      != BGAP_OK)
    {
      bgap_operators_reply_error (operators, id, 400, err.message);
      return;
    }
  _bgap_operators_submit (operators, id, body);
  json_decref (body);
}

void
bgap_operators_get_config (void *context, struct bgap_admin_id id,
                           const struct bgap_admin_request *request)
{
  struct bgap_operators *operators = context;
  char owner[BGAP_RESOURCE_NAME_SIZE];
  if (!bgap_operators_allowed (operators, id, request)
      || !bgap_operators_parameter (operators, id, request, "owner", owner,
                                    sizeof owner))
    return;
  const struct bgap_config *replay
      = bgap_configuration_replay (operators->desc.configuration);
  const char *documents = bgap_config_documents (replay, owner);
  if (documents == NULL)
    {
      bgap_operators_reply_error (operators, id, 404,
                                  "the owner has no configuration");
      return;
    }
  bgap_operators_reply (
      operators, id, 200,
      json_pack ("{s:I, s:s}", "version",
                 (json_int_t)bgap_config_version (replay, owner), "documents",
                 documents));
}

static json_t *
_bgap_operators_event_to_json (const struct bgap_operators *operators,
                               const struct bgap_configuration_event *event,
                               uint32_t *in_force)
{
  uint32_t instances = 0;
  *in_force = bgap_members_count_in_force (operators->desc.members,
                                           event->offset, &instances);
  if (event->result != BGAP_CONFIG_ACCEPTED)
    *in_force = 0;
  return json_pack ("{s:I, s:s, s:s, s:o, s:s, s:i, s:i}", "offset",
                    (json_int_t)event->offset, "state",
                    bgap_config_result_name (event->result), "operator",
                    event->operator_name, "findings",
                    bgap_findings_to_json (&event->findings), "changed",
                    event->changed.data ? event->changed.data : "", "in_force",
                    (int)*in_force, "instances", (int)instances);
}

/* Events of the watch's owner from its offset on. @in_force gets the number of
   instances that have the newest event in force.  */
static json_t *
_bgap_operators_events_to_json (const struct bgap_operators *operators,
                                const struct bgap_operators_watch *watch,
                                uint32_t *in_force)
{
  const struct bgap_configuration *configuration
      = operators->desc.configuration;
  json_t *events = json_array ();
  *in_force = 0;
  for (uint32_t i = 0;; i++)
    {
      const struct bgap_configuration_event *event
          = bgap_configuration_event (configuration, i);
      if (event == NULL)
        return events;
      if (event->offset >= watch->from
          && strcmp (event->owner, watch->owner) == 0)
        json_array_append_new (events, _bgap_operators_event_to_json (
                                           operators, event, in_force));
    }
}

/* Answers a watch that has new events, or any watch if @force is set.

   Return: whether the watch was answered.  */
static bool
_bgap_operators_answer_watch (struct bgap_operators *operators,
                              struct bgap_operators_watch *watch, bool force)
{
  uint32_t in_force = 0;
  json_t *events
      = _bgap_operators_events_to_json (operators, watch, &in_force);
  bool changed_events
      = json_array_size (events) > 0 && in_force != watch->in_force;
  if (!changed_events && !force)
    {
      json_decref (events);
      return false;
    }
  const struct bgap_config *replay
      = bgap_configuration_replay (operators->desc.configuration);
  bgap_operators_reply (
      operators, watch->id, 200,
      json_pack ("{s:I, s:o}", "end",
                 (json_int_t)bgap_config_applied (replay) + 1, "events",
                 events));
  watch->used = false;
  return true;
}

void
bgap_operators_watch_config (void *context, struct bgap_admin_id id,
                             const struct bgap_admin_request *request)
{
  struct bgap_operators *operators = context;
  struct bgap_operators_watch watch = { .used = true, .id = id };
  char from[32];
  char wait[32];
  if (!bgap_operators_allowed (operators, id, request)
      || !bgap_operators_parameter (operators, id, request, "owner",
                                    watch.owner, sizeof watch.owner)
      || !bgap_operators_parameter (operators, id, request, "from", from,
                                    sizeof from)
      || !bgap_operators_parameter (operators, id, request, "wait_ms", wait,
                                    sizeof wait))
    return;
  watch.from = strtoll (from, NULL, 10);
  long long wait_ms = strtoll (wait, NULL, 10);
  watch.deadline_ms
      = bgap_now_ms () + (wait_ms < WATCH_MAX_MS ? wait_ms : WATCH_MAX_MS);
  int64_t first
      = bgap_configuration_first_offset (operators->desc.configuration);
  if (watch.from < first)
    {
      bgap_operators_reply (operators, id, 410,
                            json_pack ("{s:I}", "first", (json_int_t)first));
      return;
    }
  /* Events that an instance has in force are shown at once. Else the watch
     waits until @in_force differs from its value now.  */
  json_decref (
      _bgap_operators_events_to_json (operators, &watch, &watch.in_force));
  bool force = wait_ms <= 0 || watch.in_force > 0;
  if (_bgap_operators_answer_watch (operators, &watch, force))
    return;
  for (uint32_t i = 0; i < BGAP_OPERATORS_WATCHES; i++)
    if (!operators->watches[i].used)
      {
        operators->watches[i] = watch;
        return;
      }
  bgap_operators_reply_error (operators, id, 503, "too many watches");
}

void
bgap_operators_check_watches (struct bgap_operators *operators)
{
  int64_t now_ms = bgap_now_ms ();
  for (uint32_t i = 0; i < BGAP_OPERATORS_WATCHES; i++)
    if (operators->watches[i].used)
      _bgap_operators_answer_watch (operators, &operators->watches[i],
                                    now_ms
                                        >= operators->watches[i].deadline_ms);
}
