#ifndef BANYANGAP_KEYRANGE_SERVICE_TIMES_H
#define BANYANGAP_KEYRANGE_SERVICE_TIMES_H

/*
 * Service times of the servers of a keyed service, from what all instances
 * observe. One instance alone sends too few requests to a server to know them.
 *
 *   struct bgap_service_times *times = bgap_service_times_new ();
 *   struct bgap_service_time_sample sample = { .server = hash };
 *   bgap_service_time_sample_add (&sample, running, waiting, slots);
 *   bgap_service_times_add (times, now_ms, &sample);
 *   double ms = bgap_service_times_get (times, now_ms, hash);
 *   bgap_service_times_free (times);
 *
 * By Little's law the mean service time is the mean number of busy slots
 * divided by the throughput. Both are known from the load that a server
 * reports at the end of each request, also while requests wait: their response
 * times would tell how long they waited, not how fast the server is. The
 * number of busy slots that a request sees when it ends stands for their
 * number at any time.
 */

#include <stddef.h>
#include <stdint.h>

#include "banyangap/base/buffer.h"

/* Size of an encoded sample in bytes.  */
#define BGAP_SERVICE_TIME_SAMPLE_SIZE 12

/**
 * struct bgap_service_time_sample - requests that a server has completed
 * @server: hash of its id
 * @completed: number of requests
 * @busy: sum over them of the slots that were busy with other requests when
 *   they ended
 */
struct bgap_service_time_sample
{
  uint64_t server;
  uint16_t completed;
  uint16_t busy;
};

/**
 * bgap_service_time_sample_add() - count a completed request
 * @running, @waiting, @slots: load that the server reported with its response,
 *   this request included
 */
void bgap_service_time_sample_add (struct bgap_service_time_sample *sample,
                                   uint32_t running, uint32_t waiting,
                                   uint32_t slots);

/**
 * bgap_service_time_sample_encode() - append a sample to a message
 */
enum bgap_status
bgap_service_time_sample_encode (const struct bgap_service_time_sample *sample,
                                 struct bgap_buffer *out);

/**
 * bgap_service_time_sample_decode() - read a sample of
 * BGAP_SERVICE_TIME_SAMPLE_SIZE bytes
 */
void bgap_service_time_sample_decode (const unsigned char *bytes,
                                      struct bgap_service_time_sample *sample);

struct bgap_service_times;

/**
 * bgap_service_times_new() - create an empty table, or return NULL without
 * memory
 */
struct bgap_service_times *bgap_service_times_new (void);

/**
 * bgap_service_times_free() - free the table; NULL is allowed
 */
void bgap_service_times_free (struct bgap_service_times *times);

/**
 * bgap_service_times_add() - add a sample of an instance
 *
 * Older samples count less; servers without samples for a while are forgotten.
 */
void bgap_service_times_add (struct bgap_service_times *times, int64_t now_ms,
                             const struct bgap_service_time_sample *sample);

/**
 * bgap_service_times_get() - mean service time of a server
 * @id: hash of its id
 *
 * The fewer requests it has completed, the closer to the mean of all servers.
 *
 * Return: milliseconds, 0 if nothing is known.
 */
double bgap_service_times_get (struct bgap_service_times *times,
                               int64_t now_ms, uint64_t id);

#endif
