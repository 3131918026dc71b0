#ifndef BANYANGAP_REGISTRY_WARMUP_H
#define BANYANGAP_REGISTRY_WARMUP_H

/*
 * Whether a backend server is cold, from what is known of it.
 *
 *   struct bgap_warmup warmup = { 0 };
 *   bgap_warmup_assume (&warmup, now_ms, BGAP_WARMUP_EVACUATED, 20000, false);
 *   bgap_warmup_registered (&warmup, now_ms, 18500, written_after_ms);
 *   if (bgap_warmup_is_cold (&warmup, now_ms))
 *     ... limit its requests until warmup.until_ms ...
 *
 * What the server states applies. Where it may be cold without having stated
 * it, that is assumed until a later registration states how long it is, or for
 * the time that its service states.
 *
 * A statement is read some time after it was written. One that may have been
 * written before the server was known to be cold cannot end the warm-up. By
 * stating a time it can prolong it, and shorten one that is assumed.
 */

#include <stdbool.h>
#include <stdint.h>

/**
 * enum bgap_warmup_source - how it is known that a server is cold
 */
enum bgap_warmup_source
{
  BGAP_WARMUP_NONE,
  BGAP_WARMUP_REGISTERED, /* its registration states it */
  BGAP_WARMUP_ANSWERED,   /* an answer states it */
  BGAP_WARMUP_STARTED,    /* a start other than the known one */
  BGAP_WARMUP_RETURNED,   /* its registration had disappeared */
  BGAP_WARMUP_EVACUATED   /* the evacuation of its zone has ended */
};

/**
 * struct bgap_warmup - zeroed means warm
 * @source: how it became known last
 * @until_ms: end of the warm-up
 * @known_ms: when that became known. A statement that was written before does
 *   not end it.
 * @is_registered: a registration told it; those that are read later are newer
 */
struct bgap_warmup
{
  enum bgap_warmup_source source;
  int64_t until_ms;
  int64_t known_ms;
  bool is_registered;
};

/**
 * bgap_warmup_source_name() - short name, never NULL
 */
const char *bgap_warmup_source_name (enum bgap_warmup_source source);

/**
 * bgap_warmup_is_cold() - whether the server is cold at this time
 */
bool bgap_warmup_is_cold (const struct bgap_warmup *warmup, int64_t now_ms);

/**
 * bgap_warmup_assume() - assume that the server is cold
 * @duration_ms: warm-up of its service; 0: nothing is assumed
 * @is_registered: a registration that has been read gives rise to it
 *
 * An end that is known and later stays.
 */
void bgap_warmup_assume (struct bgap_warmup *warmup, int64_t now_ms,
                         enum bgap_warmup_source source, int64_t duration_ms,
                         bool is_registered);

/**
 * bgap_warmup_registered() - a new registration has been read
 * @left_ms: time until the server is warm, 0 if it is
 * @written_after_ms: it was written after this time
 */
void bgap_warmup_registered (struct bgap_warmup *warmup, int64_t now_ms,
                             int64_t left_ms, int64_t written_after_ms);

/**
 * bgap_warmup_answered() - an answer of the server states @left_ms
 * @asked_ms: when it was asked
 */
void bgap_warmup_answered (struct bgap_warmup *warmup, int64_t now_ms,
                           int64_t left_ms, int64_t asked_ms);

#endif
