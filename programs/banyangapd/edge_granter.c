#include <stdio.h>
#include <stdlib.h>

#include "edge_parts.h"
#include "edge_zones.h"
#include "now.h"

static struct bgap_event_kind event_balance = { .name = "balance" };
static struct bgap_event_kind event_spread
    = { .name = "spread", .per_second = 5 };
static struct bgap_event_kind event_lapse
    = { .name = "lease-lapsed", .per_second = 20 };
static struct bgap_event_kind event_confirmed = { .name = "keys-confirmed" };
static struct bgap_event_kind event_append = { .name = "append" };

void
bgap_edge_set_granter_server (struct bgap_edge *edge,
                              struct bgap_edge_service *service,
                              const struct bgap_server_entry *entry)
{
  struct bgap_granter_server server = {
    .started_ms = entry->started_ms,
    .sequence = entry->sequence,
    .slots = entry->slots,
    .draining = entry->draining,
    .evacuated = bgap_edge_is_evacuated (edge, entry),
    .latency_ms = bgap_edge_service_time_ms (service, entry->id),
  };
  struct bgap_server_status status;
  if (bgap_router_server_status (
          &edge->router, bgap_now_ms (),
          bgap_router_find_server (&edge->router, service->id, entry->id),
          &status)
      == BGAP_OK)
    server.cold = status.cold_per_s > 0;
  snprintf (server.id, sizeof server.id, "%s", entry->id);
  bgap_granter_set_server (service->granter, bgap_now_ms (), &server);
}

struct bgap_server_id
bgap_edge_holder (const struct bgap_edge *edge,
                  const struct bgap_edge_service *service, uint32_t key,
                  uint64_t *token)
{
  const struct bgap_key_range *range
      = bgap_granter_holder (service->granter, bgap_now_ms (), key);
  *token = 0;
  if (range == NULL)
    return (struct bgap_server_id){ BGAP_INVALID_ID };
  *token = range->token;
  return bgap_router_find_server (&edge->router, service->id, range->server);
}

uint32_t
bgap_edge_key_range (const struct bgap_edge_service *service, uint32_t key)
{
  const struct bgap_key_range *range
      = bgap_assignment_find (bgap_granter_assignment (service->granter), key);
  return range != NULL ? range->first : key;
}

/* Appends.  */

/**
 * struct bgap_edge_append - an append of an assignment that is in flight
 */
struct bgap_edge_append
{
  LIST_ENTRY (bgap_edge_append) next;
  struct bgap_edge *edge;
  struct bgap_edge_service *service;
  uint32_t call;
  int64_t sent_ms;
  struct bgap_store_record record;
  struct bgap_buffer value;
};

static void
_bgap_granter_free_append (struct bgap_edge_append *append)
{
  bgap_buffer_shutdown (&append->value);
  free (append);
}

void
bgap_edge_free_appends (struct bgap_edge *edge)
{
  while (!LIST_EMPTY (&edge->appends))
    {
      struct bgap_edge_append *append = LIST_FIRST (&edge->appends);
      LIST_REMOVE (append, next);
      _bgap_granter_free_append (append);
    }
}

/* The store has appended the record at the end that this instance expected, so
   that its view was current when the record was sent. A read that is in flight
   is abandoned: without this, the view would be too old for the subscribers
   after two such reads in a row, and each of them would read the store.  */
static void
_bgap_granter_note_view (const struct bgap_edge_append *append)
{
  struct bgap_edge *edge = append->edge;
  if (bgap_follower_is_loading (edge->internal)
      || bgap_follower_next_offset (edge->internal) < append->record.offset
      || edge->internal_synced_ms >= append->sent_ms)
    return;
  edge->internal_synced_ms = append->sent_ms;
}

static void
_bgap_granter_on_appended (void *user,
                           const struct bgap_store_appended *result)
{
  struct bgap_edge_append *append = user;
  struct bgap_edge *edge = append->edge;
  int64_t now_ms = bgap_now_ms ();
  enum bgap_granter_append_result append_result = BGAP_GRANTER_APPEND_UNKNOWN;
  if (result->outcome == BGAP_STORE_OK)
    append_result = BGAP_GRANTER_APPENDED;
  else if (result->outcome != BGAP_STORE_UNKNOWN)
    append_result = BGAP_GRANTER_NOT_APPENDED;
  bgap_event (&event_append,
              "service=%s outcome=\"%s\" offset=%llu took_ms=%lld",
              append->service->name, bgap_store_outcome_name (result->outcome),
              (unsigned long long)result->offset,
              (long long)(now_ms - append->sent_ms));
  bgap_granter_on_append (append->service->granter, now_ms, append->call,
                          append_result);
  if (result->outcome == BGAP_STORE_CONFLICT)
    bgap_follower_restart (edge->internal);
  /* An acknowledged record is at the offset of its condition and need not be
     read back.  */
  append->record.offset = result->offset;
  if (result->outcome == BGAP_STORE_OK)
    {
      bgap_granter_on_view (append->service->granter, now_ms, append->sent_ms);
      _bgap_granter_note_view (append);
      bgap_follower_appended (edge->internal, &append->record);
    }
  LIST_REMOVE (append, next);
  _bgap_granter_free_append (append);
  bgap_edge_run_actions (edge);
}

static enum bgap_status
_bgap_granter_send_append (struct bgap_edge_append *append,
                           const struct bgap_granter_action *action)
{
  struct bgap_edge *edge = append->edge;
  struct bgap_store_record *record = &append->record;
  enum bgap_status status
      = bgap_buffer_append (&append->value, action->bytes, action->size);
  snprintf (record->key, sizeof record->key, BGAP_EDGE_ASSIGNMENT_PREFIX "%s",
            append->service->name);
  record->value = append->value.data;
  record->size = append->value.size;
  if (status != BGAP_OK)
    return status;
  return edge->desc.store->append (
      edge->desc.store->context,
      &(struct bgap_store_append){
          .topic = edge->desc.topics.internal,
          .key = record->key,
          .value = record->value,
          .size = record->size,
          .conditional = true,
          .at = bgap_follower_next_offset (edge->internal),
          .done = _bgap_granter_on_appended,
          .user = append });
}

static void
_bgap_granter_append (struct bgap_edge *edge,
                      struct bgap_edge_service *service,
                      const struct bgap_granter_action *action)
{
  struct bgap_edge_append *append = calloc (1, sizeof *append);
  /* Until a load has ended, the offset at which to append is not known.  */
  if (append != NULL && !bgap_follower_is_loading (edge->internal))
    {
      append->edge = edge;
      append->service = service;
      append->call = action->call;
      append->sent_ms = bgap_now_ms ();
      if (_bgap_granter_send_append (append, action) == BGAP_OK)
        {
          LIST_INSERT_HEAD (&edge->appends, append, next);
          return;
        }
      bgap_buffer_shutdown (&append->value);
    }
  free (append);
  bgap_granter_on_append (service->granter, bgap_now_ms (), action->call,
                          BGAP_GRANTER_NOT_APPENDED);
}

static void
_bgap_granter_log_lapse (const struct bgap_edge_service *service,
                         const struct bgap_granter_action *action)
{
  bgap_event (&event_lapse,
              "service=%s server=%s keys=%u-%u fence=%llu cause=%s "
              "lapsed_ms=%lld overdue_ms=%lld ranges=%u lease_ms=%lld",
              service->name, action->server, action->first, action->last,
              (unsigned long long)action->token,
              bgap_lapse_cause_name (action->cause),
              (long long)action->lapsed_ms, (long long)action->overdue_ms,
              bgap_granter_assignment (service->granter)->count,
              (long long)action->lease_ms);
}

static void
_bgap_granter_log_confirmed (const struct bgap_edge_service *service,
                             const struct bgap_granter_action *action)
{
  bgap_event (&event_confirmed,
              "service=%s fence=%llu restored_ms=%lld ranges=%u",
              service->name, (unsigned long long)action->token,
              (long long)action->restored_ms,
              bgap_granter_assignment (service->granter)->count);
}

static void
_bgap_granter_log_spread (const struct bgap_edge_service *service)
{
  const struct bgap_granter_spread *spread
      = bgap_granter_last_spread (service->granter);
  bgap_event (&event_spread,
              "service=%s server=%s load_percent=%u span=%u-%u "
              "servers_before=%u servers_after=%u ranges=%u keys=%u "
              "counts_age_ms=%lld",
              service->name, spread->server, spread->load_percent,
              spread->first, spread->last, spread->servers_before,
              spread->servers_after, spread->pieces, spread->keys,
              (long long)spread->age_ms);
}

void
bgap_edge_run_granter (struct bgap_edge *edge,
                       struct bgap_edge_service *service)
{
  struct bgap_granter_action action;
  const struct bgap_granter_rebalance *balance
      = bgap_granter_last_rebalance (service->granter);
  uint32_t first = balance->first;
  uint64_t spread = bgap_granter_last_spread (service->granter)->number;
  bgap_granter_set_next_offset (service->granter,
                                bgap_follower_next_offset (edge->internal));
  bgap_granter_tick (service->granter, bgap_now_ms ());
  if (balance->first != first)
    bgap_event (&event_balance,
                "service=%s from=%s load_percent=%u idlest=%s "
                "idlest_percent=%u keys=%u-%u",
                service->name, balance->most_loaded,
                balance->most_loaded_percent, balance->least_loaded,
                balance->least_loaded_percent, balance->first, balance->last);
  if (bgap_granter_last_spread (service->granter)->number != spread)
    _bgap_granter_log_spread (service);
  while (bgap_granter_next_action (service->granter, &action))
    if (action.kind == BGAP_GRANTER_APPEND)
      _bgap_granter_append (edge, service, &action);
    else if (action.kind == BGAP_GRANTER_LAPSED)
      _bgap_granter_log_lapse (service, &action);
    else if (action.kind == BGAP_GRANTER_CONFIRMED)
      _bgap_granter_log_confirmed (service, &action);
    else if (action.kind == BGAP_GRANTER_READ)
      bgap_follower_read_now (edge->internal);
    else
      bgap_edge_order (edge, service, &action);
}
