/* Fuzzes the decoders of messages between routers. They must not crash, and
   an accepted message must be equal after encoding and decoding it again.  */

#include <stdlib.h>
#include <string.h>

#include "banyangap/routing/quarantine.h"

#define ITEMS 64

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
_bgap_fuzz_suspicions (const uint8_t *data, size_t size)
{
  struct bgap_routing_suspicion items[ITEMS];
  struct bgap_routing_suspicion again[ITEMS];
  size_t count = ITEMS;
  size_t count_again = ITEMS;
  struct bgap_buffer copy = { 0 };
  if (bgap_routing_decode_suspicions (data, size, items, &count, NULL)
      != BGAP_OK)
    return;
  bgap_routing_encode_suspicions (&copy, items, count);
  if (bgap_routing_decode_suspicions (copy.data, copy.size, again,
                                      &count_again, NULL)
          != BGAP_OK
      || count != count_again)
    abort ();
  for (size_t i = 0; i < count; i++)
    if (items[i].fingerprint != again[i].fingerprint
        || items[i].server != again[i].server || items[i].kind != again[i].kind
        || items[i].remaining_ms != again[i].remaining_ms)
      abort ();
  bgap_buffer_shutdown (&copy);
}

static void
_bgap_fuzz_permits (const uint8_t *data, size_t size)
{
  struct bgap_routing_permits permits;
  struct bgap_routing_permits again;
  struct bgap_buffer copy = { 0 };
  if (bgap_routing_decode_permits (data, size, &permits, NULL) != BGAP_OK)
    return;
  if (bgap_routing_encode_permits (&copy, &permits) != BGAP_OK
      || bgap_routing_decode_permits (copy.data, copy.size, &again, NULL)
             != BGAP_OK
      || again.server != permits.server || again.count != permits.count
      || again.rank != permits.rank || again.wait_ms != permits.wait_ms
      || again.limit_thousandths != permits.limit_thousandths
      || again.limit_age_ms != permits.limit_age_ms
      || again.stamp != permits.stamp
      || again.cold_thousandths != permits.cold_thousandths
      || again.cold_left_ms != permits.cold_left_ms)
    abort ();
  bgap_buffer_shutdown (&copy);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct bgap_routing_load loads[ITEMS];
  size_t count = ITEMS;
  _bgap_fuzz_suspicions (data, size);
  _bgap_fuzz_permits (data, size);
  bgap_routing_decode_loads (data, size, loads, &count, NULL);
  struct bgap_quarantine quarantine;
  const struct bgap_quarantine_desc desc = { .capacity = 4 };
  if (bgap_quarantine_setup (&quarantine, &desc) != BGAP_OK)
    abort ();
  bgap_quarantine_on_message (&quarantine, 1, BGAP_QUARANTINE_SENT, data, size,
                              NULL);
  bgap_quarantine_on_message (&quarantine, 1, BGAP_QUARANTINE_STORED, data,
                              size, NULL);
  if (quarantine.count > desc.capacity)
    abort ();
  bgap_quarantine_shutdown (&quarantine);
  return 0;
}
