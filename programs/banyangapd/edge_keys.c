#include <stdio.h>
#include <string.h>

#include "edge_parts.h"
#include "now.h"

/* Key of the record with a message of an instance's router, which holds the
   fingerprints of requests that it suspects of crashing servers.  */
#define ROUTER_MESSAGE_PREFIX "news/"

/* Time for which a read of the internal topic waits for a record. The granter
   knows what it has written itself. Its reads do not wait and have an interval
   instead: they only check whether another instance has taken over, well
   within the maximum age of the granter's view.  */
#define INTERNAL_WAIT_MS 8000
#define GRANTER_READ_INTERVAL_MS 1500

/* Page size of these reads: an assignment of a few hundred ranges has 10 to
   25 KB, and a link may have no more than 10 Mbit/s.  */
#define INTERNAL_PAGE_KB 128

/* Time for which the granter must be missing from the list of instances to
   count as lost; right after an outage of the store the list may be
   incomplete.  */
#define GRANTER_MISSING_MS 100

static struct bgap_event_kind event_assignment
    = { .name = "assignment", .burst = 400 };
static struct bgap_event_kind event_bad_record = { .name = "record-skipped" };
static struct bgap_event_kind event_append = { .name = "append" };

static void
_bgap_keys_set_read_interval (struct bgap_edge *edge)
{
  bool is_granter = false;
  for (const struct bgap_edge_service *service = edge->services;
       service != NULL; service = service->hh.next)
    if (service->granter != NULL && bgap_granter_is_active (service->granter))
      is_granter = true;
  if (is_granter)
    bgap_follower_set_pace (edge->internal, 0, GRANTER_READ_INTERVAL_MS);
  else
    bgap_follower_set_pace (edge->internal, INTERNAL_WAIT_MS, 0);
}

static void
_bgap_keys_on_assignment (struct bgap_edge *edge,
                          const struct bgap_store_record *record)
{
  struct bgap_error err = { 0 };
  struct bgap_assignment assignment = { 0 };
  struct bgap_edge_service *service = bgap_edge_service (
      edge, record->key + strlen (BGAP_EDGE_ASSIGNMENT_PREFIX));
  if (service == NULL || service->granter == NULL)
    return;
  if (bgap_assignment_decode (&assignment, record->value, record->size, &err)
      != BGAP_OK)
    {
      bgap_event (&event_bad_record, "key=%.64s offset=%llu reason=\"%s\"",
                  record->key, (unsigned long long)record->offset,
                  err.message);
      return;
    }
  bool was_active = bgap_granter_is_active (service->granter);
  bgap_granter_on_timeline (service->granter, bgap_now_ms (),
                            bgap_timeline_guard_current (edge->guard));
  bool taken = bgap_granter_on_assignment (service->granter, bgap_now_ms (),
                                           &assignment);
  bgap_event (&event_assignment,
              "service=%s offset=%llu timeline=%llu taken=%d granter=%s "
              "fence=%llu ranges=%u released=%d active=%d was_active=%d "
              "unconfirmed_ms=%lld unconfirmed_left_ms=%lld",
              service->name, (unsigned long long)record->offset,
              (unsigned long long)assignment.timeline, taken,
              assignment.granter, (unsigned long long)assignment.token,
              assignment.count, assignment.released,
              bgap_granter_is_active (service->granter), was_active,
              (long long)assignment.unconfirmed_ms,
              (long long)bgap_granter_unconfirmed_ms (service->granter,
                                                      bgap_now_ms ()));
  bgap_assignment_shutdown (&assignment);
  if (taken)
    bgap_router_holders_changed (&edge->router, service->id,
                                 bgap_now_ms () + BGAP_GRANT_DELAY_MS);
  _bgap_keys_set_read_interval (edge);
  bgap_edge_update_successors (edge);
  bgap_edge_update_relay (edge);
}

static void
_bgap_keys_on_router_message (struct bgap_edge *edge,
                              const struct bgap_store_record *record)
{
  struct bgap_error err = { 0 };
  const char *from = record->key + strlen (ROUTER_MESSAGE_PREFIX);
  const uint8_t *kind = record->value;
  if (strcmp (from, edge->settings.name) == 0 || record->size == 0)
    return;
  enum bgap_status status
      = edge->internal_loading
            ? bgap_router_on_stored (&edge->router, bgap_now_ms (), *kind,
                                     kind + 1, record->size - 1, &err)
            : bgap_router_on_peer (&edge->router, bgap_now_ms (), from, *kind,
                                   kind + 1, record->size - 1, &err);
  if (status != BGAP_OK)
    bgap_event (&event_bad_record, "key=%.64s offset=%llu reason=\"%s\"",
                record->key, (unsigned long long)record->offset, err.message);
}

static void
_bgap_keys_on_record (void *context, const struct bgap_store_record *record)
{
  struct bgap_edge *edge = context;
  if (record->removed)
    return;
  if (strncmp (record->key, BGAP_EDGE_ASSIGNMENT_PREFIX,
               strlen (BGAP_EDGE_ASSIGNMENT_PREFIX))
      == 0)
    _bgap_keys_on_assignment (edge, record);
  else if (strncmp (record->key, ROUTER_MESSAGE_PREFIX,
                    strlen (ROUTER_MESSAGE_PREFIX))
           == 0)
    _bgap_keys_on_router_message (edge, record);
}

static void
_bgap_keys_on_load_started (void *context)
{
  struct bgap_edge *edge = context;
  edge->internal_loading = true;
}

static void
_bgap_keys_on_load_read (void *context,
                         const struct bgap_store_record *records, size_t count)
{
  bgap_edge_relay_load_read (context, BGAP_EDGE_INTERNAL, records, count);
}

static void
_bgap_keys_on_loaded (void *context)
{
  struct bgap_edge *edge = context;
  edge->internal_loading = false;
  for (struct bgap_edge_service *service = edge->services; service != NULL;
       service = service->hh.next)
    if (service->granter != NULL)
      {
        bgap_granter_on_timeline (service->granter, bgap_now_ms (),
                                  bgap_timeline_guard_current (edge->guard));
        bgap_granter_on_loaded (service->granter, bgap_now_ms ());
      }
  bgap_edge_relay_loaded (edge, BGAP_EDGE_INTERNAL);
}

static void
_bgap_keys_on_synced (void *context, int64_t sent_ms, bool relayed)
{
  struct bgap_edge *edge = context;
  edge->internal_synced_ms = sent_ms;
  for (struct bgap_edge_service *service = edge->services; service != NULL;
       service = service->hh.next)
    if (service->granter != NULL)
      bgap_granter_on_view (service->granter, bgap_now_ms (), sent_ms);
  if (!relayed)
    bgap_edge_store_answered (edge);
  bgap_edge_run_actions (edge);
}

static void
_bgap_keys_on_page (void *context, uint64_t from,
                    const struct bgap_store_record *records, size_t count)
{
  bgap_edge_relay_internal (context, from, records, count);
}

static void
_bgap_keys_on_failed (void *context, enum bgap_store_outcome outcome,
                      const char *message)
{
  struct bgap_edge *edge = context;
  bgap_edge_store_failed (edge, edge->desc.topics.internal, outcome, message);
}

static void
_bgap_keys_on_gap (void *context, const struct bgap_follower_gap *gap)
{
  struct bgap_edge *edge = context;
  bgap_edge_report_gap (edge->desc.topics.internal, edge->internal, gap);
}

enum bgap_status
bgap_edge_follow_internal (struct bgap_edge *edge, struct bgap_error *err)
{
  return bgap_follower_setup (
      &edge->internal,
      &(struct bgap_follower_desc){
          .base = edge->base,
          .store = edge->desc.store,
          .topic = edge->desc.topics.internal,
          .wait_ms = INTERNAL_WAIT_MS,
          .relay_timeout_ms = BGAP_EDGE_RELAY_TIMEOUT_MS,
          .page_kb = INTERNAL_PAGE_KB,
          /* Assignments of unknown services cannot be kept.  */
          .deferred = true,
          .ops = { .load_started = _bgap_keys_on_load_started,
                   .record = _bgap_keys_on_record,
                   .load_read = _bgap_keys_on_load_read,
                   .loaded = _bgap_keys_on_loaded,
                   .synced = _bgap_keys_on_synced,
                   .failed = _bgap_keys_on_failed,
                   .gap = _bgap_keys_on_gap,
                   .page_read = _bgap_keys_on_page,
                   .context = edge } },
      err);
}

/* Successor of the granter.  */

void
bgap_edge_update_successors (struct bgap_edge *edge)
{
  int64_t now_ms = bgap_now_ms ();
  bool is_successor = !edge->stop.begun
                      && bgap_membership_is_first (edge->membership)
                      && bgap_membership_listed_ms (edge->membership) != 0;
  bool any_missing = false;
  for (struct bgap_edge_service *service = edge->services; service != NULL;
       service = service->hh.next)
    {
      if (service->granter == NULL)
        continue;
      const char *granter
          = bgap_granter_assignment (service->granter)->granter;
      bool is_former_incarnation
          = strcmp (granter, edge->member) == 0
            && !bgap_granter_is_active (service->granter);
      bool missing = granter[0] != '\0'
                     && (is_former_incarnation
                         || !bgap_membership_has (edge->membership, granter));
      any_missing = any_missing || missing;
      if (missing && edge->granter_missing_since_ms == 0)
        edge->granter_missing_since_ms = now_ms;
      bool lost
          = missing
            && now_ms - edge->granter_missing_since_ms >= GRANTER_MISSING_MS;
      bgap_granter_set_successor (service->granter, now_ms, is_successor,
                                  lost);
    }
  if (!any_missing)
    edge->granter_missing_since_ms = 0;
}

/* Messages of the router.  */

static void
_bgap_keys_on_router_message_appended (
    void *user, const struct bgap_store_appended *result)
{
  (void)user;
  if (result->outcome != BGAP_STORE_OK)
    bgap_event (&event_append, "news outcome=\"%s\"",
                bgap_store_outcome_name (result->outcome));
}

void
bgap_edge_publish_router_message (struct bgap_edge *edge,
                                  const struct bgap_router_action *action)
{
  char key[sizeof ROUTER_MESSAGE_PREFIX + BGAP_REGISTRY_NAME_SIZE];
  struct bgap_buffer bytes = { 0 };
  uint8_t kind = (uint8_t)action->peer_kind;
  snprintf (key, sizeof key, ROUTER_MESSAGE_PREFIX "%s", edge->settings.name);
  if (bgap_buffer_append (&bytes, &kind, 1) != BGAP_OK
      || bgap_buffer_append (&bytes, action->bytes, action->size) != BGAP_OK
      || edge->desc.store->append (
             edge->desc.store->context,
             &(struct bgap_store_append){
                 .topic = edge->desc.topics.internal,
                 .key = key,
                 .value = bytes.data,
                 .size = bytes.size,
                 .done = _bgap_keys_on_router_message_appended,
                 .user = edge })
             != BGAP_OK)
    bgap_event (&event_append, "news outcome=\"not sent\"");
  bgap_buffer_shutdown (&bytes);
}
