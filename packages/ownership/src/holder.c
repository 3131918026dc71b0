#include "holder_private.h"

#include <stdlib.h>
#include <string.h>

#include "banyangap/base/hash.h"
#include "replica_private.h"

#define DEFAULT_MAX_SCOPES 8
#define DEFAULT_MAX_IN_FLIGHT 256

static void
_bgap_holder_free_entries (struct bgap_scope *scope)
{
  for (uint32_t i = 0; i < scope->key_count; i++)
    free (scope->keys[i].bytes);
  free (scope->keys);
  free (scope->slices);
  *scope = (struct bgap_scope){ 0 };
}

enum bgap_status
bgap_holder_setup (struct bgap_holder **holder,
                   const struct bgap_holder_desc *desc)
{
  if (desc->incarnation == 0)
    return BGAP_ERR_INVALID;
  struct bgap_holder *created = calloc (1, sizeof *created);
  if (created == NULL)
    return BGAP_ERR_NO_MEMORY;
  created->incarnation = desc->incarnation;
  created->capacity = desc->max_scopes ? desc->max_scopes : DEFAULT_MAX_SCOPES;
  created->leases = calloc (created->capacity, sizeof *created->leases);
  struct bgap_pool_desc pool_desc
      = { .item_size = sizeof (struct bgap_holder_request),
          .capacity = desc->max_in_flight ? desc->max_in_flight
                                          : DEFAULT_MAX_IN_FLIGHT };
  if (created->leases == NULL
      || bgap_pool_setup (&created->requests, &pool_desc) != BGAP_OK)
    {
      bgap_holder_shutdown (created);
      return BGAP_ERR_NO_MEMORY;
    }
  *holder = created;
  return BGAP_OK;
}

void
bgap_holder_shutdown (struct bgap_holder *holder)
{
  if (holder == NULL)
    return;
  for (uint32_t i = 0; i < holder->count; i++)
    _bgap_holder_free_entries (&holder->leases[i].entries);
  bgap_pool_shutdown (&holder->requests);
  free (holder->leases);
  free (holder);
}

void
bgap_holder_set_load (struct bgap_holder *holder, uint32_t in_flight,
                      uint32_t slots, uint32_t queued)
{
  holder->in_flight = in_flight;
  holder->slots = slots;
  holder->queued = queued;
}

void
bgap_holder_set_draining (struct bgap_holder *holder, bool draining)
{
  holder->draining = draining;
}

static enum bgap_status
_bgap_holder_append_reply (const struct bgap_holder *holder, const char *scope,
                           uint64_t basis, bool accepted, int64_t now_ms,
                           struct bgap_buffer *out)
{
  struct bgap_renewal_reply reply = {
    .incarnation = holder->incarnation,
    .clock_ms = now_ms,
    .newest_basis = basis,
    .accepted = accepted,
    .draining = holder->draining,
    .in_flight = holder->in_flight,
    .slots = holder->slots,
    .queued = holder->queued,
  };
  memcpy (reply.scope, scope, strlen (scope) + 1);
  return bgap_renewal_reply_print (&reply, out);
}

enum bgap_status
bgap_holder_on_hello (struct bgap_holder *holder, int64_t now_ms,
                      struct bgap_buffer *reply)
{
  return _bgap_holder_append_reply (holder, "", 0, false, now_ms, reply);
}

static struct bgap_lease *
_bgap_holder_find_lease (const struct bgap_holder *holder, const char *scope)
{
  for (uint32_t i = 0; i < holder->count; i++)
    if (strcmp (holder->leases[i].name, scope) == 0)
      return &holder->leases[i];
  return NULL;
}

static enum bgap_status
_bgap_holder_add_key_entry (struct bgap_scope *scope,
                            const struct bgap_renewal_item *item)
{
  bool found;
  uint64_t hash = bgap_hash64 (item->key, item->key_size);
  uint32_t position = bgap_scope_key_position (scope, item->key,
                                               item->key_size, hash, &found);
  struct bgap_holding holding = { .token = item->token };
  if (found)
    return BGAP_ERR_PROTOCOL;
  return bgap_scope_key_insert (scope, position, item->key, item->key_size,
                                hash, &holding);
}

/* Builds the table of held entries from a complete renewal.  */
static enum bgap_status
_bgap_holder_build_entries (const struct bgap_renewal *renewal,
                            struct bgap_scope *scope)
{
  *scope = (struct bgap_scope){ .basis = renewal->basis,
                                .slice_count = renewal->slice_count };
  scope->slices = calloc (renewal->slice_count, sizeof *scope->slices);
  if (scope->slices == NULL)
    return BGAP_ERR_NO_MEMORY;
  for (uint32_t i = 0; i < renewal->item_count; i++)
    {
      const struct bgap_renewal_item *item = &renewal->items[i];
      for (uint32_t j = 0; j < item->count; j++)
        scope->slices[item->first + j].token = item->token;
      if (item->count > 0)
        continue;
      enum bgap_status status = scope->key_count == BGAP_KEYS_MAX
                                    ? BGAP_ERR_PROTOCOL
                                    : _bgap_holder_add_key_entry (scope, item);
      if (status != BGAP_OK)
        {
          _bgap_holder_free_entries (scope);
          return status;
        }
    }
  return BGAP_OK;
}

/* Whether a well-formed renewal may be adopted.  */
static bool
_bgap_holder_may_adopt (const struct bgap_holder *holder,
                        const struct bgap_lease *lease,
                        const struct bgap_renewal *renewal, int64_t now_ms)
{
  uint64_t newest = lease ? lease->entries.basis : 0;
  if (renewal->incarnation != holder->incarnation
      || renewal->clock_echo_ms > now_ms || renewal->basis < newest)
    return false;
  return renewal->complete || (lease && renewal->basis == newest);
}

static enum bgap_status
_bgap_holder_adopt (struct bgap_holder *holder, struct bgap_lease *lease,
                    const struct bgap_renewal *renewal, struct bgap_error *err)
{
  if (lease == NULL && holder->count == holder->capacity)
    return bgap_error_set (err, BGAP_ERR_FULL, "too many scopes");
  if (renewal->complete)
    {
      struct bgap_scope entries;
      enum bgap_status status = _bgap_holder_build_entries (renewal, &entries);
      if (status != BGAP_OK)
        return bgap_error_set (err, status, "the held entries are unusable");
      if (lease == NULL)
        {
          lease = &holder->leases[holder->count++];
          memcpy (lease->name, renewal->scope, sizeof lease->name);
        }
      _bgap_holder_free_entries (&lease->entries);
      lease->entries = entries;
    }
  bgap_holder_update_acked (holder, lease);
  if (renewal->clock_echo_ms + renewal->lease_ms > lease->end_ms)
    lease->end_ms = renewal->clock_echo_ms + renewal->lease_ms;
  return BGAP_OK;
}

enum bgap_status
bgap_holder_on_renew (struct bgap_holder *holder, const void *bytes,
                      size_t size, int64_t now_ms, struct bgap_buffer *reply,
                      struct bgap_error *err)
{
  struct bgap_renewal renewal;
  enum bgap_status status = bgap_renewal_parse (bytes, size, &renewal, err);
  if (status != BGAP_OK)
    return status;
  struct bgap_lease *lease = _bgap_holder_find_lease (holder, renewal.scope);
  bool accepted = _bgap_holder_may_adopt (holder, lease, &renewal, now_ms);
  if (accepted)
    status = _bgap_holder_adopt (holder, lease, &renewal, err);
  if (status == BGAP_OK)
    {
      lease = _bgap_holder_find_lease (holder, renewal.scope);
      status = _bgap_holder_append_reply (holder, renewal.scope,
                                          lease ? lease->acked : 0, accepted,
                                          now_ms, reply);
    }
  bgap_renewal_shutdown (&renewal);
  return status;
}
