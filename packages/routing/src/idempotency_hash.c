#include "idempotency_state.h"

/* The macros of uthash expand to more statements than the lint limit.  */
/* NOLINTBEGIN(readability-function-size) */

struct bgap_idempotency_entry *
bgap_idempotency_find_entry (struct bgap_idempotency_state *state,
                             const struct bgap_uuid7 *key)
{
  struct bgap_idempotency_entry *entry = NULL;
  HASH_FIND (hh, state->entries, key, sizeof *key, entry);
  return entry;
}

void
bgap_idempotency_hash_add_entry (struct bgap_idempotency_state *state,
                                 struct bgap_idempotency_entry *entry)
{
  HASH_ADD (hh, state->entries, key, sizeof entry->key, entry);
}

void
bgap_idempotency_hash_remove_entry (struct bgap_idempotency_state *state,
                                    struct bgap_idempotency_entry *entry)
{
  HASH_DEL (state->entries, entry);
}

struct bgap_idempotency_waiter *
bgap_idempotency_find_waiter (struct bgap_idempotency_state *state,
                              uint32_t request)
{
  struct bgap_idempotency_waiter *waiter = NULL;
  HASH_FIND (hh, state->waiters, &request, sizeof request, waiter);
  return waiter;
}

void
bgap_idempotency_hash_add_waiter (struct bgap_idempotency_state *state,
                                  struct bgap_idempotency_waiter *waiter)
{
  HASH_ADD (hh, state->waiters, request, sizeof waiter->request, waiter);
}

void
bgap_idempotency_hash_remove_waiter (struct bgap_idempotency_state *state,
                                     struct bgap_idempotency_waiter *waiter)
{
  HASH_DEL (state->waiters, waiter);
}

/* NOLINTEND(readability-function-size) */
