#include "holder_private.h"

#include <string.h>

#include "banyangap/base/hash.h"

/* Whether the entry of an in-flight request is still held under its token.  */
static bool
_bgap_holder_request_still_held (const struct bgap_lease *lease,
                                 const struct bgap_holder_request *request)
{
  const struct bgap_scope *entries = &lease->entries;
  const struct bgap_holding *holding
      = &entries->slices[request->hash & (entries->slice_count - 1)];
  if (request->size <= BGAP_KEY_MAX)
    holding = bgap_scope_find (entries, request->key, request->size);
  return holding->token == request->token;
}

void
bgap_holder_update_acked (struct bgap_holder *holder, struct bgap_lease *lease)
{
  uint32_t id = BGAP_INVALID_ID;
  while ((id = bgap_pool_next (&holder->requests, id)) != BGAP_INVALID_ID)
    {
      const struct bgap_holder_request *request
          = bgap_pool_get (&holder->requests, id);
      if (&holder->leases[request->lease] == lease
          && !_bgap_holder_request_still_held (lease, request))
        return;
    }
  lease->acked = lease->entries.basis;
}

/* Whether the scope "<cell>/<service>" of the lease belongs to @service. While
   a service moves between cells it may have two scopes.  */
static bool
_bgap_lease_is_for_service (const struct bgap_lease *lease,
                            const char *service)
{
  const char *slash = strchr (lease->name, '/');
  return slash && strcmp (slash + 1, service) == 0;
}

static enum bgap_holder_verdict
_bgap_holder_check_lease (const struct bgap_lease *lease, const void *key,
                          size_t key_size, const uint64_t *token,
                          int64_t now_ms)
{
  if (now_ms >= lease->end_ms)
    return BGAP_HOLDER_NO_LEASE;
  const struct bgap_holding *holding
      = bgap_scope_find (&lease->entries, key, key_size);
  if (holding == NULL || !bgap_holding_has_holder (holding))
    return BGAP_HOLDER_NOT_HELD;
  return token && holding->token != *token ? BGAP_HOLDER_TOKEN_MISMATCH
                                           : BGAP_HOLDER_OK;
}

static enum bgap_holder_verdict
_bgap_holder_check_service (const struct bgap_holder *holder,
                            const char *service, const void *key,
                            size_t key_size, const uint64_t *token,
                            int64_t now_ms, uint32_t *lease_index)
{
  enum bgap_holder_verdict verdict = BGAP_HOLDER_NO_LEASE;
  for (uint32_t i = 0; i < holder->count; i++)
    {
      const struct bgap_lease *lease = &holder->leases[i];
      if (!_bgap_lease_is_for_service (lease, service))
        continue;
      enum bgap_holder_verdict next
          = _bgap_holder_check_lease (lease, key, key_size, token, now_ms);
      *lease_index = i;
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
  uint32_t lease;
  return _bgap_holder_check_service (holder, service, key, key_size, &token,
                                     now_ms, &lease);
}

enum bgap_holder_verdict
bgap_holder_begin (struct bgap_holder *holder, const char *service,
                   const void *key, size_t key_size, uint64_t token,
                   int64_t now_ms, uint32_t *request)
{
  uint32_t lease;
  enum bgap_holder_verdict verdict = _bgap_holder_check_service (
      holder, service, key, key_size, &token, now_ms, &lease);
  if (verdict != BGAP_HOLDER_OK)
    return verdict;
  uint32_t id = bgap_pool_alloc (&holder->requests);
  struct bgap_holder_request *tracked = bgap_pool_get (&holder->requests, id);
  if (tracked == NULL)
    return BGAP_HOLDER_FULL;
  tracked->lease = lease;
  tracked->token = token;
  tracked->hash = bgap_hash64 (key, key_size);
  tracked->size = key_size;
  if (key_size > 0 && key_size <= BGAP_KEY_MAX)
    memcpy (tracked->key, key, key_size);
  *request = id;
  return BGAP_HOLDER_OK;
}

void
bgap_holder_end (struct bgap_holder *holder, uint32_t request)
{
  const struct bgap_holder_request *tracked
      = bgap_pool_get (&holder->requests, request);
  if (tracked == NULL)
    return;
  uint32_t lease = tracked->lease;
  bgap_pool_free (&holder->requests, request);
  bgap_holder_update_acked (holder, &holder->leases[lease]);
}

bool
bgap_holder_may_serve (const struct bgap_holder *holder, const char *service,
                       const void *key, size_t key_size, int64_t now_ms)
{
  uint32_t lease;
  return _bgap_holder_check_service (holder, service, key, key_size, NULL,
                                     now_ms, &lease)
         == BGAP_HOLDER_OK;
}

int64_t
bgap_holder_lease_end (const struct bgap_holder *holder, const char *service)
{
  int64_t end_ms = 0;
  for (uint32_t i = 0; i < holder->count; i++)
    if (_bgap_lease_is_for_service (&holder->leases[i], service)
        && holder->leases[i].end_ms > end_ms)
      end_ms = holder->leases[i].end_ms;
  return end_ms;
}

const char *
bgap_holder_verdict_name (enum bgap_holder_verdict verdict)
{
  static const char *const names[]
      = { "ok", "no-lease", "not-held", "token", "full" };
  return (unsigned)verdict < sizeof names / sizeof names[0] ? names[verdict]
                                                            : "unknown";
}
