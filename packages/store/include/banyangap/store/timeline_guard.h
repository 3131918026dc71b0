#ifndef BANYANGAP_STORE_TIMELINE_GUARD_H
#define BANYANGAP_STORE_TIMELINE_GUARD_H

/*
 * Detects that the store was restored from a copy. It then has lost what it
 * acknowledged after the copy was made, and gives offsets out again: the same
 * offset names another record. Each restore begins a new timeline, whose
 * number is higher than that of the one before.
 *
 *   struct bgap_timeline_guard *guard;
 *   bgap_timeline_guard_setup (&guard, &(struct bgap_timeline_guard_desc){
 *     .store = &store, .restored = on_restored, .context = me }, &err);
 *   const struct bgap_store_ops *ops = bgap_timeline_guard_ops (guard);
 *   ...   call the store through ops
 *   bgap_timeline_guard_shutdown (guard);
 */

#include "banyangap/store/store.h"

/**
 * struct bgap_timeline_guard_desc - options
 * @store: required, not owned
 * @restored: the store answers from @timeline now; called before the callback
 *   of the call whose answer shows it
 */
struct bgap_timeline_guard_desc
{
  const struct bgap_store_ops *store;
  void (*restored) (void *context, uint64_t timeline, uint64_t previous);
  void *context;
};

struct bgap_timeline_guard;

/**
 * bgap_timeline_guard_setup() - create a guard
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status
bgap_timeline_guard_setup (struct bgap_timeline_guard **guard,
                           const struct bgap_timeline_guard_desc *desc,
                           struct bgap_error *err);

/**
 * bgap_timeline_guard_shutdown() - free the guard; NULL is allowed
 *
 * The store's client must have dropped the calls in progress before.
 */
void bgap_timeline_guard_shutdown (struct bgap_timeline_guard *guard);

/**
 * bgap_timeline_guard_ops() - the store, watched by the guard
 */
const struct bgap_store_ops *
bgap_timeline_guard_ops (const struct bgap_timeline_guard *guard);

/**
 * bgap_timeline_guard_current() - newest timeline that was seen, 0 for none
 */
uint64_t bgap_timeline_guard_current (const struct bgap_timeline_guard *guard);

#endif
