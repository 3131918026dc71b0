/* Fuzzes the parser and the replay of idempotency records. They must not crash
   or exceed the limits of the table, and an accepted record must be equal
   after writing and parsing it again.  */

#include <stdlib.h>
#include <string.h>

#include "banyangap/routing/idempotency.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
_bgap_fuzz_apply (const uint8_t *data, size_t size)
{
  struct bgap_idempotency table;
  const struct bgap_idempotency_desc desc = {
    .instance = "e0", .incarnation = 1, .keys_max = 4, .body_bytes_max = 64
  };
  if (bgap_idempotency_setup (&table, &desc, NULL) != BGAP_OK)
    abort ();
  bgap_idempotency_on_stream_end (&table, 1);
  bgap_idempotency_on_record (&table, 0, INT64_C (1700000000000), 1, data,
                              size, NULL);
  if (bgap_idempotency_counts (&table).keys > desc.keys_max
      || bgap_idempotency_counts (&table).body_bytes > desc.body_bytes_max)
    abort ();
  bgap_idempotency_shutdown (&table);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct bgap_idempotency_record record;
  struct bgap_idempotency_item item;
  struct bgap_buffer copy = { 0 };
  _bgap_fuzz_apply (data, size);
  if (bgap_idempotency_record_parse (&record, data, size, NULL) != BGAP_OK)
    return 0;
  size_t count = 0;
  bgap_idempotency_record_begin (&copy, "e0");
  while (bgap_idempotency_record_next (&record, &item))
    bgap_idempotency_record_add (&copy, &item, count++ == 0);
  bgap_idempotency_record_end (&copy);
  struct bgap_idempotency_record again;
  struct bgap_idempotency_item second;
  if (bgap_idempotency_record_parse (&again, copy.data, copy.size, NULL)
      != BGAP_OK)
    abort ();
  record.next = 0;
  while (bgap_idempotency_record_next (&record, &item))
    if (!bgap_idempotency_record_next (&again, &second)
        || memcmp (&item.key, &second.key, sizeof item.key) != 0
        || item.attempt.sequence != second.attempt.sequence
        || item.outcome != second.outcome || item.digest != second.digest
        || item.body_size != second.body_size
        || (item.body_size > 0
            && memcmp (item.body, second.body, item.body_size) != 0))
      abort ();
  bgap_idempotency_record_shutdown (&again);
  bgap_idempotency_record_shutdown (&record);
  bgap_buffer_shutdown (&copy);
  return 0;
}
