#include <string.h>

#include "banyangap/base/hash.h"
#include "banyangap/routing/cold_limit.h"
#include "router_parts.h"

/* Time after which an instance that the store has removed from its list, since
   it made no call, hands out no more permits for cold servers. Others know
   that it departed, and take its place DEPARTED_FULL_MS later.  */
#define REMOVED_VALID_MS 1500

/* Time for which an instance that precedes this one must have left the list
   before this one hands out more than a standby.  */
#define DEPARTED_FULL_MS 4000

/* Time for which this instance must have been listed before it hands out any,
   so that those that did so before have read that it is listed. Members join
   every 2 s at least, and read the list not more often than every 20 ms for
   each member.  */
#define SETTLE_MS 4000
#define SETTLE_PER_INSTANCE_MS 20

/* Listing.  */

static bool
_bgap_cold_is_listed (const struct bgap_router_state *state, int64_t now_ms)
{
  return state->listed_since_ms != 0
         && now_ms - state->listed_ms
                < state->listing_ttl_ms + REMOVED_VALID_MS;
}

void
bgap_router_set_listing_ttl (struct bgap_router *router, int64_t ttl_ms)
{
  router->state->listing_ttl_ms = ttl_ms;
}

void
bgap_router_confirm_listed (struct bgap_router *router, int64_t now_ms)
{
  struct bgap_router_state *state = router->state;
  /* Another instance may have taken over meanwhile.  */
  if (!_bgap_cold_is_listed (state, now_ms))
    state->listed_since_ms = 0;
  state->listed_ms = now_ms;
  bgap_router_note_listed (state, now_ms);
}

void
bgap_router_note_listed (struct bgap_router_state *state, int64_t now_ms)
{
  bool is_listed = false;
  for (uint32_t i = 0; i < state->instance_count; i++)
    is_listed
        = is_listed
          || (!state->instances[i].departed
              && strcmp (state->instances[i].name, state->instance) == 0);
  if (!is_listed)
    state->listed_since_ms = 0;
  else if (state->listed_since_ms == 0)
    state->listed_since_ms = now_ms;
}

/* Permits for others.  */

/* Whether an instance that precedes this one as the issuer of a server has
   left the list only a short time ago.  */
static bool
_bgap_cold_has_recent_predecessor (const struct bgap_router_state *state,
                                   int64_t now_ms, uint64_t server)
{
  uint64_t own = bgap_rendezvous_weight (server, state->instance);
  for (uint32_t i = 0; i < state->instance_count; i++)
    {
      const struct bgap_router_peer_instance *instance = &state->instances[i];
      if (instance->departed
          && now_ms - instance->departed_ms < DEPARTED_FULL_MS
          && bgap_rendezvous_weight (server, instance->name) > own)
        return true;
    }
  return false;
}

double
bgap_router_cold_share (const struct bgap_router_state *state, int64_t now_ms,
                        uint64_t server,
                        const struct bgap_router_issuers *issuers)
{
  int64_t settle_ms
      = SETTLE_MS + SETTLE_PER_INSTANCE_MS * (int64_t)state->instance_count;
  if (!_bgap_cold_is_listed (state, now_ms)
      || now_ms - state->listed_since_ms < settle_ms)
    return 0;
  if (strcmp (issuers->first, state->instance) == 0)
    return _bgap_cold_has_recent_predecessor (state, now_ms, server)
               ? BGAP_COLD_STANDBY_SHARE
               : 1;
  if (issuers->second != NULL
      && strcmp (issuers->second, state->instance) == 0)
    return BGAP_COLD_STANDBY_SHARE;
  return 0;
}

/* Permits for this instance alone.  */

/* Returns the number of the current time slot, see cold_limit.h. Sets @left_ms
   to the time until this instance may use a slot of its own, 0 if it may
   now.  */
static int64_t
_bgap_cold_slot (const struct bgap_router_state *state, int64_t now_ms,
                 uint64_t server, int64_t *left_ms)
{
  uint32_t index = 0;
  int64_t count = state->instance_count;
  int64_t wall_ms = now_ms + state->wall_offset_ms;
  int64_t slot = wall_ms / BGAP_COLD_SLOT_MS;
  int64_t into_ms = wall_ms % BGAP_COLD_SLOT_MS;
  for (uint32_t i = 0; i < state->instance_count; i++)
    index += strcmp (state->instances[i].name, state->instance) < 0;
  int64_t first = (int64_t)((index + server) % (uint64_t)count);
  int64_t ahead = (first - slot % count + count) % count;
  if (ahead == 0 && into_ms >= BGAP_COLD_SLOT_OPEN_MS)
    ahead = count;
  *left_ms = ahead > 0 ? ahead * BGAP_COLD_SLOT_MS - into_ms : 0;
  return slot;
}

void
bgap_router_take_own_permit (struct bgap_router_state *state, int64_t now_ms,
                             struct bgap_server *server)
{
  struct bgap_rate_limit *limit = &server->rate_limit;
  int64_t left_ms = BGAP_ISSUER_ASK_TTL_MS;
  int64_t slot = 0;
  uint32_t granted = 0;
  /* A new process does not know whether the former one has used the slot, and
     two instances without a list would use the same one.  */
  bool may_use = state->instance_count > 0 && state->wall_offset_ms != 0
                 && state->listed_since_ms != 0
                 && now_ms - state->listed_since_ms > BGAP_COLD_SLOT_OPEN_MS;
  if (may_use)
    slot = _bgap_cold_slot (state, now_ms, server->hash_full, &left_ms);
  if (may_use && left_ms == 0)
    {
      granted = server->own_permit_slot != slot && limit->asked > 0;
      server->own_permit_slot = granted ? slot : server->own_permit_slot;
      left_ms = (int64_t)state->instance_count * BGAP_COLD_SLOT_MS;
    }
  bgap_rate_limit_answered (limit, now_ms, granted, left_ms, 0);
}
