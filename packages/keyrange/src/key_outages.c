#include "banyangap/keyrange/key_outages.h"

#include <stdbool.h>
#include <stdlib.h>
#include <uthash.h>

/**
 * struct bgap_key_outage - a range without a usable holder
 * @first: its first key
 * @since_ms: when a request first found none
 * @seen_ms: when a request last found none
 */
struct bgap_key_outage
{
  uint32_t first;
  int64_t since_ms;
  int64_t seen_ms;
  UT_hash_handle hh;
};

static struct bgap_key_outage *
_bgap_outages_find (const struct bgap_key_outages *outages, uint32_t first)
{
  struct bgap_key_outage *outage;
  HASH_FIND (hh, outages->outages, &first, sizeof first, outage);
  return outage;
}

static void
_bgap_outages_drop (struct bgap_key_outages *outages,
                    struct bgap_key_outage *outage)
{
  HASH_DEL (outages->outages, outage);
  free (outage);
}

/* Ranges are divided and joined, so that entries of former ones stay.  */
static void
_bgap_outages_prune (struct bgap_key_outages *outages, int64_t now_ms)
{
  struct bgap_key_outage *outage;
  struct bgap_key_outage *next;
  HASH_ITER (hh, outages->outages, outage, next)
  {
    if (now_ms - outage->seen_ms >= BGAP_KEY_OUTAGE_UNSEEN_MS)
      _bgap_outages_drop (outages, outage);
  }
}

int64_t
bgap_key_outages_note (struct bgap_key_outages *outages, int64_t now_ms,
                       uint32_t first)
{
  struct bgap_key_outage *outage = _bgap_outages_find (outages, first);
  if (outage == NULL)
    {
      _bgap_outages_prune (outages, now_ms);
      outage = calloc (1, sizeof *outage);
      if (outage == NULL)
        return 0;
      outage->first = first;
      outage->since_ms = now_ms;
      HASH_ADD (hh, outages->outages, first, sizeof outage->first, outage);
    }
  else if (now_ms - outage->seen_ms >= BGAP_KEY_OUTAGE_UNSEEN_MS)
    outage->since_ms = now_ms;
  outage->seen_ms = now_ms;
  return now_ms - outage->since_ms;
}

int64_t
bgap_key_outages_look (const struct bgap_key_outages *outages, int64_t now_ms,
                       uint32_t first)
{
  const struct bgap_key_outage *outage = _bgap_outages_find (outages, first);
  bool is_over = outage == NULL
                 || now_ms - outage->seen_ms >= BGAP_KEY_OUTAGE_UNSEEN_MS;
  return is_over ? 0 : now_ms - outage->since_ms;
}

void
bgap_key_outages_end (struct bgap_key_outages *outages, uint32_t first)
{
  struct bgap_key_outage *outage = _bgap_outages_find (outages, first);
  if (outage != NULL)
    _bgap_outages_drop (outages, outage);
}

void
bgap_key_outages_shutdown (struct bgap_key_outages *outages)
{
  struct bgap_key_outage *outage;
  struct bgap_key_outage *next;
  HASH_ITER (hh, outages->outages, outage, next)
  _bgap_outages_drop (outages, outage);
}
