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
 *   bgap_timeline_guard_learn (guard, timeline_of_another_instance);
 *   bgap_timeline_guard_shutdown (guard);
 *
 * An answer from an earlier timeline than the newest one, and the answer to a
 * read that was sent in one, is reported as refused. An append that was made
 * for an earlier timeline than the one that answers is reported as unknown:
 * its condition may hold for another record than the one that was meant.
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
 * bgap_timeline_guard_learn() - another instance has seen @timeline; calls
 * restored if it is newer
 */
void bgap_timeline_guard_learn (struct bgap_timeline_guard *guard,
                                uint64_t timeline);

/**
 * bgap_timeline_guard_current() - newest timeline that was seen, 0 for none
 */
uint64_t bgap_timeline_guard_current (const struct bgap_timeline_guard *guard);

#endif
