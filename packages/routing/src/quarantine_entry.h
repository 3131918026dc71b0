#ifndef BGAP_QUARANTINE_ENTRY_H
#define BGAP_QUARANTINE_ENTRY_H

/*
 * Entry of the quarantine table: the broken attempts of one fingerprint.
 *
 *   bgap_quarantine_entry_add (entry, &attempt);
 *   if (bgap_quarantine_entry_confirm (entry, now_ms, server))
 *     if (bgap_quarantine_entry_proof (entry, &first, &second))
 *       ...   the request crashed one server, was sent again and crashed
 *             another one
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

#include "banyangap/routing/quarantine.h"

/* Number of broken attempts kept for a fingerprint. A request has two at
   most, and two are a proof.  */
#define BGAP_QUARANTINE_BROKEN_MAX 4

/**
 * struct bgap_quarantine_broken - a broken attempt, or a peer's report of one
 * @number: position in the order of broken attempts that this router saw; an
 *   attempt whose stamp is at least this was sent later
 * @crashed: the server has crashed, as far as known
 */
struct bgap_quarantine_broken
{
  uint64_t number;
  struct bgap_quarantine_attempt attempt;
  bool crashed;
};

/**
 * struct bgap_quarantine_entry - a fingerprint that was not answered since
 * @until_ms: when it is forgotten
 * @quarantined: its requests are refused
 * @trial_at_ms: when the next request may be sent as a trial nevertheless
 * @trial_interval_ms: wait after this trial
 * @last: the last decision
 */
struct bgap_quarantine_entry
{
  uint64_t fingerprint;
  int64_t until_ms;
  struct bgap_quarantine_broken broken[BGAP_QUARANTINE_BROKEN_MAX];
  uint32_t broken_count;
  bool quarantined;
  int64_t trial_at_ms;
  int64_t trial_interval_ms;
  struct bgap_quarantine_event last;
  UT_hash_handle hh;
};

/**
 * bgap_quarantine_entry_add() - add a broken attempt
 *
 * If there is no room, it replaces the oldest one whose server has not
 * crashed, else the last one.
 */
void bgap_quarantine_entry_add (struct bgap_quarantine_entry *entry,
                                const struct bgap_quarantine_broken *broken);

/**
 * bgap_quarantine_entry_confirm() - note that a server has crashed
 * @since_ms: attempts that broke before have another cause
 *
 * Return: the first attempt for which this is new, or NULL.
 */
const struct bgap_quarantine_broken *
bgap_quarantine_entry_confirm (struct bgap_quarantine_entry *entry,
                               int64_t since_ms, uint64_t server);

/**
 * bgap_quarantine_entry_is_suspect() - whether a server that it was sent to
 * has crashed
 */
bool
bgap_quarantine_entry_is_suspect (const struct bgap_quarantine_entry *entry);

/**
 * bgap_quarantine_entry_proof() - find a crash, an attempt that was sent after
 * it, and the crash of another server under that attempt
 *
 * Return: false if there are none; the pointers are then not set.
 */
bool
bgap_quarantine_entry_proof (const struct bgap_quarantine_entry *entry,
                             const struct bgap_quarantine_broken **first,
                             const struct bgap_quarantine_broken **second);

#endif
