#ifndef BANYANGAP_KEYRANGE_KEY_OUTAGES_H
#define BANYANGAP_KEYRANGE_KEY_OUTAGES_H

/*
 * Ranges of keys for which requests found no usable holder, and since when.
 *
 *   struct bgap_key_outages outages = { 0 };
 *   int64_t ms = bgap_key_outages_note (&outages, now_ms, range->first);
 *   bgap_key_outages_end (&outages, range->first);
 *   bgap_key_outages_shutdown (&outages);
 *
 * The keys of a lost server get another holder at once, after two seconds or
 * after twelve, depending on what is known of its leases. What has lasted for
 * long is likely to last as long again, so that a request with less time than
 * that is better refused than kept waiting.
 */

#include <stdint.h>

/* Time without a request for the keys after which an outage counts as over: it
   may have ended and begun again unseen.  */
#define BGAP_KEY_OUTAGE_UNSEEN_MS 1000

struct bgap_key_outage;

/**
 * struct bgap_key_outages - the table; zeroed means empty
 */
struct bgap_key_outages
{
  struct bgap_key_outage *outages;
};

/**
 * bgap_key_outages_note() - a request found no usable holder
 * @first: first key of the range
 *
 * Return: milliseconds for which the range has had none, as far as known.
 */
int64_t bgap_key_outages_note (struct bgap_key_outages *outages,
                               int64_t now_ms, uint32_t first);

/**
 * bgap_key_outages_look() - what bgap_key_outages_note() would return, without
 * counting as a request
 */
int64_t bgap_key_outages_look (const struct bgap_key_outages *outages,
                               int64_t now_ms, uint32_t first);

/**
 * bgap_key_outages_end() - a request has found a usable holder
 */
void bgap_key_outages_end (struct bgap_key_outages *outages, uint32_t first);

/**
 * bgap_key_outages_shutdown() - free the entries
 */
void bgap_key_outages_shutdown (struct bgap_key_outages *outages);

#endif
