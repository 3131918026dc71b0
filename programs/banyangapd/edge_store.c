#include "edge_parts.h"

#include "now.h"

/* The group of all instances. A member that has not joined again within the
   time to live is removed; the platform's minimum is one second.  */
#define INSTANCE_GROUP "banyangap"
#define MEMBER_TTL_MS 1000
#define MEMBER_INTERVAL_MS 350

/* The same for instances of a large fleet on which no other one depends.  */
#define ORDINARY_TTL_MS 6000
#define ORDINARY_INTERVAL_MS 2000

static const struct bgap_membership_pace core_pace = {
  .ttl_ms = MEMBER_TTL_MS,
  .interval_ms = MEMBER_INTERVAL_MS,
};
static const struct bgap_membership_pace ordinary_pace = {
  .ttl_ms = ORDINARY_TTL_MS,
  .interval_ms = ORDINARY_INTERVAL_MS,
  .ordinary = true,
};
/* While calls fail, so that the end of an outage is noticed as soon.  */
static const struct bgap_membership_pace failing_pace = {
  .ttl_ms = ORDINARY_TTL_MS,
  .interval_ms = MEMBER_INTERVAL_MS,
  .ordinary = true,
};

static struct bgap_event_kind event_store = { .name = "store" };
static struct bgap_event_kind event_members = { .name = "instances" };

/* After an outage of the store, calls that were sent during it may never be
   answered, and failed ones need not wait for their next retry.  */
static void
_bgap_store_restart_reads (struct bgap_edge *edge)
{
  bgap_follower_restart (edge->config);
  bgap_follower_restart (edge->internal);
  bgap_follower_retry (edge->config);
  bgap_follower_retry (edge->internal);
  /* The time limits of the server view for registrations that expired in the
     outage start with this read.  */
  bgap_follower_restart (edge->registrations);
  bgap_follower_read_now (edge->registrations);
}

void
bgap_edge_store_answered (struct bgap_edge *edge)
{
  if (!edge->store_failing)
    return;
  edge->store_failing = false;
  bgap_server_view_store_reachable (edge->view, bgap_now_ms ());
  bgap_edge_update_pace (edge);
  bgap_edge_update_followers (edge);
  /* A store that refuses some calls and answers others is overloaded; sending
     all calls again would keep it overloaded.  */
  if (edge->store_outage)
    _bgap_store_restart_reads (edge);
  bgap_event (&event_store, "state=regained after_ms=%lld outage=%d",
              (long long)(bgap_now_ms () - edge->store_failing_since_ms),
              edge->store_outage);
  edge->store_outage = false;
}

void
bgap_edge_store_failed (struct bgap_edge *edge, const char *topic,
                        enum bgap_store_outcome outcome, const char *message)
{
  if (outcome == BGAP_STORE_UNKNOWN)
    edge->store_outage = true;
  if (edge->store_failing)
    return;
  edge->store_failing = true;
  edge->store_failing_since_ms = bgap_now_ms ();
  bgap_server_view_store_failed (edge->view, edge->store_failing_since_ms);
  bgap_edge_update_pace (edge);
  bgap_edge_update_followers (edge);
  bgap_event (&event_store, "state=lost topic=%s outcome=\"%s\" detail=\"%s\"",
              topic, bgap_store_outcome_name (outcome),
              message ? message : "");
}

void
bgap_edge_update_pace (struct bgap_edge *edge)
{
  const struct bgap_membership_pace *pace = &core_pace;
  if (!edge->is_core)
    pace = edge->store_failing ? &failing_pace : &ordinary_pace;
  bgap_membership_set_pace (edge->membership, pace);
  bgap_router_set_listing_ttl (&edge->router, pace->ttl_ms);
}

/* Joins are cheap for the store, so that a failed join shows an outage rather
   than overload, and the next one that succeeds shows that it is over.  */
static void
_bgap_store_on_join (void *context, enum bgap_store_outcome outcome)
{
  struct bgap_edge *edge = context;
  if (outcome != BGAP_STORE_OK)
    {
      bgap_edge_store_failed (edge, INSTANCE_GROUP, outcome, "join");
      edge->store_outage = true;
    }
  else
    {
      bgap_router_confirm_listed (&edge->router, bgap_now_ms ());
      if (edge->store_outage)
        bgap_edge_store_answered (edge);
    }
}

/* The store has come back from a copy. Offsets name other records now, and the
   group is that of the copy. Registrations that are missing count as expired
   in an outage: live servers register again.  */
static void
_bgap_store_on_restored (void *context, uint64_t timeline, uint64_t previous)
{
  struct bgap_edge *edge = context;
  bgap_event (
      &event_store,
      "state=restored timeline=%llu previous=%llu config_next=%llu "
      "servers_next=%llu internal_next=%llu",
      (unsigned long long)timeline, (unsigned long long)previous,
      (unsigned long long)bgap_follower_next_offset (edge->config),
      (unsigned long long)bgap_follower_next_offset (edge->registrations),
      (unsigned long long)bgap_follower_next_offset (edge->internal));
  bgap_server_view_store_failed (edge->view, bgap_now_ms ());
  bgap_edge_relay_restored (edge);
  bgap_follower_restored (edge->config);
  bgap_follower_restored (edge->registrations);
  bgap_follower_restored (edge->internal);
  bgap_membership_restored (edge->membership);
  for (struct bgap_edge_service *service = edge->services; service != NULL;
       service = service->hh.next)
    if (service->granter != NULL)
      bgap_granter_on_timeline (service->granter, bgap_now_ms (), timeline);
}

static void
_bgap_store_on_members (void *context)
{
  struct bgap_edge *edge = context;
  bgap_event (&event_members, "count=%u first=%d",
              bgap_membership_count (edge->membership),
              bgap_membership_is_first (edge->membership));
  bgap_edge_update_successors (edge);
  bgap_edge_update_relay (edge);
  bgap_edge_update_instances (edge);
  bgap_edge_apply_limits (edge);
  bgap_edge_run_actions (edge);
}

enum bgap_status
bgap_edge_open_store (struct bgap_edge *edge, struct bgap_error *err)
{
  enum bgap_status status = bgap_timeline_guard_setup (
      &edge->guard,
      &(struct bgap_timeline_guard_desc){ .store = edge->desc.store,
                                          .restored = _bgap_store_on_restored,
                                          .context = edge },
      err);
  if (status != BGAP_OK)
    return status;
  edge->desc.store = bgap_timeline_guard_ops (edge->guard);
  edge->is_core = true;
  bgap_router_set_listing_ttl (&edge->router, core_pace.ttl_ms);
  status
      = bgap_membership_setup (&edge->membership,
                               &(struct bgap_membership_desc){
                                   .base = edge->base,
                                   .store = edge->desc.store,
                                   .group = INSTANCE_GROUP,
                                   .member = edge->member,
                                   .pace = core_pace,
                                   .ops = { .changed = _bgap_store_on_members,
                                            .join_done = _bgap_store_on_join,
                                            .context = edge } },
                               err);
  if (status == BGAP_OK)
    status = bgap_edge_follow_config (edge, err);
  if (status == BGAP_OK)
    status = bgap_edge_follow_servers (edge, err);
  if (status == BGAP_OK)
    status = bgap_edge_follow_internal (edge, err);
  return status;
}

void
bgap_edge_close_store (struct bgap_edge *edge)
{
  bgap_follower_shutdown (edge->config);
  bgap_follower_shutdown (edge->registrations);
  bgap_follower_shutdown (edge->internal);
  bgap_membership_shutdown (edge->membership);
  bgap_timeline_guard_shutdown (edge->guard);
}
