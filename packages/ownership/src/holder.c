#include "banyangap/ownership/holder.h"

#include <stdlib.h>
#include <string.h>

#include "banyangap/base/hash.h"
#include "replica_private.h"

#define DEFAULT_SCOPES 8

/**
 * struct _lease - lease for one scope
 * @name: "<cell>/<service>"
 * @entries: held entries; key entries without a token are held elsewhere
 * @end_ms: end of the lease on this holder's clock
 */
struct _lease
{
  char name[BGAP_SCOPE_NAME_SIZE];
  struct bgap_scope entries;
  int64_t end_ms;
};

struct bgap_holder
{
  uint64_t incarnation;
  struct _lease *leases;
  uint32_t count;
  uint32_t capacity;
  uint32_t in_flight;
  uint32_t slots;
  uint32_t queued;
  bool draining;
};

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
  created->capacity = desc->scopes ? desc->scopes : DEFAULT_SCOPES;
  created->leases = calloc (created->capacity, sizeof *created->leases);
  if (created->leases == NULL)
    {
      free (created);
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
_bgap_holder_reply (const struct bgap_holder *holder, const char *scope,
                    uint64_t basis, bool accepted, int64_t now_ms,
                    struct bgap_buffer *out)
{
  struct bgap_renew_reply reply = {
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
  return bgap_renew_reply_print (&reply, out);
}

enum bgap_status
bgap_holder_on_hello (struct bgap_holder *holder, int64_t now_ms,
                      struct bgap_buffer *reply)
{
  return _bgap_holder_reply (holder, "", 0, false, now_ms, reply);
}

static struct _lease *
_bgap_holder_lease (const struct bgap_holder *holder, const char *scope)
{
  for (uint32_t i = 0; i < holder->count; i++)
    if (strcmp (holder->leases[i].name, scope) == 0)
      return &holder->leases[i];
  return NULL;
}

static enum bgap_status
_bgap_holder_add_key (struct bgap_scope *scope,
                      const struct bgap_lease_item *item)
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

/* Builds the held entries of a complete renewal.  */
static enum bgap_status
_bgap_holder_entries (const struct bgap_renew *renew, struct bgap_scope *scope)
{
  *scope = (struct bgap_scope){ .basis = renew->basis,
                                .slice_count = renew->slice_count };
  scope->slices = calloc (renew->slice_count, sizeof *scope->slices);
  if (scope->slices == NULL)
    return BGAP_ERR_NO_MEMORY;
  for (uint32_t i = 0; i < renew->item_count; i++)
    {
      const struct bgap_lease_item *item = &renew->items[i];
      for (uint32_t j = 0; j < item->count; j++)
        scope->slices[item->first + j].token = item->token;
      if (item->count > 0)
        continue;
      enum bgap_status status = scope->key_count == BGAP_KEYS_MAX
                                    ? BGAP_ERR_PROTOCOL
                                    : _bgap_holder_add_key (scope, item);
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
_bgap_holder_acceptable (const struct bgap_holder *holder,
                         const struct _lease *lease,
                         const struct bgap_renew *renew, int64_t now_ms)
{
  uint64_t newest = lease ? lease->entries.basis : 0;
  if (renew->incarnation != holder->incarnation
      || renew->clock_echo_ms > now_ms || renew->basis < newest)
    return false;
  return renew->complete || (lease && renew->basis == newest);
}

static enum bgap_status
_bgap_holder_adopt (struct bgap_holder *holder, struct _lease *lease,
                    const struct bgap_renew *renew, struct bgap_error *err)
{
  if (lease == NULL && holder->count == holder->capacity)
    return bgap_error_set (err, BGAP_ERR_FULL, "too many scopes");
  if (renew->complete)
    {
      struct bgap_scope entries;
      enum bgap_status status = _bgap_holder_entries (renew, &entries);
      if (status != BGAP_OK)
        return bgap_error_set (err, status, "the held entries are unusable");
      if (lease == NULL)
        {
          lease = &holder->leases[holder->count++];
          memcpy (lease->name, renew->scope, sizeof lease->name);
        }
      _bgap_holder_free_entries (&lease->entries);
      lease->entries = entries;
    }
  if (renew->clock_echo_ms + renew->lease_ms > lease->end_ms)
    lease->end_ms = renew->clock_echo_ms + renew->lease_ms;
  return BGAP_OK;
}

enum bgap_status
bgap_holder_on_renew (struct bgap_holder *holder, const void *bytes,
                      size_t size, int64_t now_ms, struct bgap_buffer *reply,
                      struct bgap_error *err)
{
  struct bgap_renew renew;
  enum bgap_status status = bgap_renew_parse (bytes, size, &renew, err);
  if (status != BGAP_OK)
    return status;
  struct _lease *lease = _bgap_holder_lease (holder, renew.scope);
  bool accepted = _bgap_holder_acceptable (holder, lease, &renew, now_ms);
  if (accepted)
    status = _bgap_holder_adopt (holder, lease, &renew, err);
  if (status == BGAP_OK)
    {
      lease = _bgap_holder_lease (holder, renew.scope);
      status = _bgap_holder_reply (holder, renew.scope,
                                   lease ? lease->entries.basis : 0, accepted,
                                   now_ms, reply);
    }
  bgap_renew_shutdown (&renew);
  return status;
}

/* Whether the scope "<cell>/<service>" is of @service. During a change of
   cells a service may have two scopes.  */
static bool
_bgap_holder_of_service (const struct _lease *lease, const char *service)
{
  const char *slash = strchr (lease->name, '/');
  return slash && strcmp (slash + 1, service) == 0;
}

static enum bgap_holder_verdict
_bgap_holder_judge (const struct _lease *lease, const void *key,
                    size_t key_size, const uint64_t *token, int64_t now_ms)
{
  if (now_ms >= lease->end_ms)
    return BGAP_HOLDER_NO_LEASE;
  const struct bgap_holding *holding
      = bgap_scope_find (&lease->entries, key, key_size);
  if (holding == NULL || !bgap_holding_held (holding))
    return BGAP_HOLDER_NOT_HELD;
  return token && holding->token != *token ? BGAP_HOLDER_TOKEN
                                           : BGAP_HOLDER_OK;
}

static enum bgap_holder_verdict
_bgap_holder_find (const struct bgap_holder *holder, const char *service,
                   const void *key, size_t key_size, const uint64_t *token,
                   int64_t now_ms)
{
  enum bgap_holder_verdict verdict = BGAP_HOLDER_NO_LEASE;
  for (uint32_t i = 0; i < holder->count; i++)
    {
      const struct _lease *lease = &holder->leases[i];
      if (!_bgap_holder_of_service (lease, service))
        continue;
      enum bgap_holder_verdict next
          = _bgap_holder_judge (lease, key, key_size, token, now_ms);
      if (next == BGAP_HOLDER_OK)
        return next;
      if (next > verdict)
        verdict = next;
    }
  return verdict;
}

enum bgap_holder_verdict
bgap_holder_check (const struct bgap_holder *holder, const char *service,
                   const void *key, size_t key_size, uint64_t token,
                   int64_t now_ms)
{
  return _bgap_holder_find (holder, service, key, key_size, &token, now_ms);
}

bool
bgap_holder_holds (const struct bgap_holder *holder, const char *service,
                   const void *key, size_t key_size, int64_t now_ms)
{
  return _bgap_holder_find (holder, service, key, key_size, NULL, now_ms)
         == BGAP_HOLDER_OK;
}

int64_t
bgap_holder_lease_end (const struct bgap_holder *holder, const char *service)
{
  int64_t end_ms = 0;
  for (uint32_t i = 0; i < holder->count; i++)
    if (_bgap_holder_of_service (&holder->leases[i], service)
        && holder->leases[i].end_ms > end_ms)
      end_ms = holder->leases[i].end_ms;
  return end_ms;
}

const char *
bgap_holder_verdict_name (enum bgap_holder_verdict verdict)
{
  static const char *const names[] = { "ok", "no-lease", "not-held", "token" };
  return (unsigned)verdict < sizeof names / sizeof names[0] ? names[verdict]
                                                            : "unknown";
}
