#include "banyangap/keyrange/service_times.h"

#include <math.h>
#include <stdbool.h>
#include <stdlib.h>
#include <uthash.h>

#include "banyangap/base/byte_order.h"

/* Half-life of the samples: about a hundred requests at five a second. With
   fewer, errors of the estimate move more keys than the differences between
   the servers.  */
#define HALF_LIFE_MS 12000.0

/* Time after which a server without samples is forgotten.  */
#define ENTRY_TTL_MS 60000

/* Completed requests from which the samples of a server count as much as the
   mean of all servers.  */
#define PRIOR_COMPLETED 20.0

/* Sizes of the fields of an encoded sample in bytes: the hash of the server,
   and each of the two numbers.  */
#define SAMPLE_SERVER_SIZE 8
#define SAMPLE_COUNT_SIZE 2

/**
 * struct server_times - samples of a server
 * @completed, @busy: sums with the weight of their age at @updated_ms
 * @since_ms: time of the first sample
 */
struct server_times
{
  uint64_t server;
  double completed;
  double busy;
  int64_t since_ms;
  int64_t updated_ms;
  UT_hash_handle hh;
};

/**
 * struct bgap_service_times - the table
 * @mean_ms: mean of all servers at @mean_at_ms, 0 if unknown
 */
struct bgap_service_times
{
  struct server_times *servers;
  double mean_ms;
  int64_t mean_at_ms;
};

static uint16_t
_bgap_times_limit (uint32_t value)
{
  return value < UINT16_MAX ? (uint16_t)value : UINT16_MAX;
}

void
bgap_service_time_sample_add (struct bgap_service_time_sample *sample,
                              uint32_t running, uint32_t waiting,
                              uint32_t slots)
{
  uint64_t others = (uint64_t)running + waiting;
  others -= others > 0;
  uint32_t busy = others < slots ? (uint32_t)others : slots;
  if (sample->completed == UINT16_MAX)
    return;
  sample->completed++;
  sample->busy = _bgap_times_limit (sample->busy + busy);
}

enum bgap_status
bgap_service_time_sample_encode (const struct bgap_service_time_sample *sample,
                                 struct bgap_buffer *out)
{
  unsigned char bytes[BGAP_SERVICE_TIME_SAMPLE_SIZE];
  bgap_bytes_put (bytes, sample->server, SAMPLE_SERVER_SIZE);
  bgap_bytes_put (bytes + SAMPLE_SERVER_SIZE, sample->completed,
                  SAMPLE_COUNT_SIZE);
  bgap_bytes_put (bytes + SAMPLE_SERVER_SIZE + SAMPLE_COUNT_SIZE, sample->busy,
                  SAMPLE_COUNT_SIZE);
  return bgap_buffer_append (out, bytes, sizeof bytes);
}

void
bgap_service_time_sample_decode (const unsigned char *bytes,
                                 struct bgap_service_time_sample *sample)
{
  const unsigned char *counts = bytes + SAMPLE_SERVER_SIZE;
  sample->server = bgap_bytes_get (bytes, SAMPLE_SERVER_SIZE);
  sample->completed = (uint16_t)bgap_bytes_get (counts, SAMPLE_COUNT_SIZE);
  sample->busy = (uint16_t)bgap_bytes_get (counts + SAMPLE_COUNT_SIZE,
                                           SAMPLE_COUNT_SIZE);
}

struct bgap_service_times *
bgap_service_times_new (void)
{
  return calloc (1, sizeof (struct bgap_service_times));
}

void
bgap_service_times_free (struct bgap_service_times *times)
{
  struct server_times *server;
  struct server_times *next;
  if (times == NULL)
    return;
  HASH_ITER (hh, times->servers, server, next)
  {
    HASH_DEL (times->servers, server);
    free (server);
  }
  free (times);
}

static void
_bgap_times_forget (struct bgap_service_times *times, int64_t now_ms)
{
  struct server_times *server;
  struct server_times *next;
  HASH_ITER (hh, times->servers, server, next)
  {
    if (now_ms - server->updated_ms < ENTRY_TTL_MS)
      continue;
    HASH_DEL (times->servers, server);
    free (server);
  }
}

static struct server_times *
_bgap_times_add_server (struct bgap_service_times *times, int64_t now_ms,
                        uint64_t id)
{
  struct server_times *server = calloc (1, sizeof *server);
  if (server == NULL)
    return NULL;
  server->server = id;
  server->since_ms = now_ms;
  server->updated_ms = now_ms;
  _bgap_times_forget (times, now_ms);
  HASH_ADD (hh, times->servers, server, sizeof server->server, server);
  return server;
}

void
bgap_service_times_add (struct bgap_service_times *times, int64_t now_ms,
                        const struct bgap_service_time_sample *sample)
{
  struct server_times *server;
  HASH_FIND (hh, times->servers, &sample->server, sizeof sample->server,
             server);
  if (server == NULL)
    server = _bgap_times_add_server (times, now_ms, sample->server);
  if (server == NULL)
    return;
  double weight = exp2 ((double)(server->updated_ms - now_ms) / HALF_LIFE_MS);
  server->completed = server->completed * weight + sample->completed;
  server->busy = server->busy * weight + sample->busy;
  server->updated_ms = now_ms;
}

/* Time that the samples stand for, each part with the weight of its age.  */
static double
_bgap_times_span_ms (const struct server_times *server)
{
  double age_ms = (double)(server->updated_ms - server->since_ms);
  return HALF_LIFE_MS / log (2) * (1 - exp2 (-age_ms / HALF_LIFE_MS));
}

/* Mean service time of a server by its own samples.  */
static double
_bgap_times_own_ms (const struct server_times *server)
{
  double throughput = server->completed / _bgap_times_span_ms (server);
  return server->busy / server->completed / throughput;
}

static bool
_bgap_times_is_known (const struct server_times *server, int64_t now_ms)
{
  return server->completed > 0 && _bgap_times_span_ms (server) > 0
         && now_ms - server->updated_ms < ENTRY_TTL_MS;
}

static double
_bgap_times_mean_ms (const struct bgap_service_times *times, int64_t now_ms)
{
  double sum_ms = 0;
  double completed = 0;
  for (const struct server_times *server = times->servers; server != NULL;
       server = server->hh.next)
    {
      if (!_bgap_times_is_known (server, now_ms))
        continue;
      sum_ms += _bgap_times_own_ms (server) * server->completed;
      completed += server->completed;
    }
  return completed > 0 ? sum_ms / completed : 0;
}

double
bgap_service_times_get (struct bgap_service_times *times, int64_t now_ms,
                        uint64_t id)
{
  const struct server_times *server;
  HASH_FIND (hh, times->servers, &id, sizeof id, server);
  if (server == NULL || !_bgap_times_is_known (server, now_ms))
    return 0;
  /* The mean is kept since the caller asks for all servers at the same time.
   */
  if (times->mean_at_ms != now_ms || times->mean_ms <= 0)
    times->mean_ms = _bgap_times_mean_ms (times, now_ms);
  times->mean_at_ms = now_ms;
  return (_bgap_times_own_ms (server) * server->completed
          + times->mean_ms * PRIOR_COMPLETED)
         / (server->completed + PRIOR_COMPLETED);
}
