#ifndef BANYANGAP_BASE_COUNTERS_H
#define BANYANGAP_BASE_COUNTERS_H

/*
 * Registry of named counters and gauges, printed in the Prometheus text
 * exposition format.
 *
 *   struct bgap_counters counters;
 *   bgap_counters_setup (&counters, &(struct bgap_counters_desc){ 0 });
 *   uint64_t *requests = bgap_counters_get (&counters,
 *     "bgap_requests_total", "service=\"listing\"");
 *   ++*requests;
 *   bgap_counters_print (&counters, &buffer);
 *   bgap_counters_shutdown (&counters);
 */

#include <stdint.h>

#include "banyangap/base/buffer.h"
#include "banyangap/base/status.h"

/* Sizes in bytes, terminating zero included.  */
#define BGAP_COUNTER_NAME_SIZE 64
#define BGAP_COUNTER_LABELS_SIZE 128

/**
 * struct bgap_counters_desc - options
 * @capacity: maximum number of counters; 0 means 512
 */
struct bgap_counters_desc
{
  uint32_t capacity;
};

struct bgap_counter;

/**
 * struct bgap_counters - the registry; fields are private
 */
struct bgap_counters
{
  struct bgap_counter *items;
  uint32_t count;
  uint32_t capacity;
  uint64_t overflow;
};

/**
 * bgap_counters_setup() - allocate the registry
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_counters_setup (struct bgap_counters *counters,
                                      const struct bgap_counters_desc *desc);

/**
 * bgap_counters_shutdown() - free the registry
 */
void bgap_counters_shutdown (struct bgap_counters *counters);

/**
 * bgap_counters_get() - find or add a counter
 * @labels: text between the braces, or "" for none
 *
 * The pointer stays valid until shutdown; look it up once and cache it.
 *
 * Return: the value, never NULL; when the registry is full, a shared value
 * that is printed as bgap_counters_overflow_total.
 */
uint64_t *bgap_counters_get (struct bgap_counters *counters, const char *name,
                             const char *labels);

/**
 * bgap_counters_print() - append all counters as text
 */
enum bgap_status bgap_counters_print (const struct bgap_counters *counters,
                                      struct bgap_buffer *out);

#endif
