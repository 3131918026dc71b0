#include <string.h>

#include "banyangap/base/hash.h"
#include "edge_parts.h"
#include "now.h"

/* Interval at which an active granter learns the service times.  */
#define APPLY_INTERVAL_MS 1000

static uint64_t
_bgap_times_server (const char *id)
{
  return bgap_hash64 (id, strlen (id));
}

static struct bgap_service_time_sample *
_bgap_times_sample (struct bgap_edge_server_sample *samples, uint64_t server)
{
  for (uint32_t i = 0; i < samples->count; i++)
    if (samples->servers[i].server == server)
      return &samples->servers[i];
  if (samples->count == BGAP_EDGE_SAMPLED_SERVERS_MAX)
    return NULL;
  struct bgap_service_time_sample *sample
      = &samples->servers[samples->count++];
  *sample = (struct bgap_service_time_sample){ .server = server };
  return sample;
}

void
bgap_edge_count_completed (struct bgap_edge_service *service,
                           const struct bgap_edge_server *server,
                           const struct bgap_wire_response *response)
{
  if (service->service_times == NULL || !response->has_load)
    return;
  struct bgap_service_time_sample *sample = _bgap_times_sample (
      &service->server_sample, _bgap_times_server (server->id));
  if (sample != NULL)
    bgap_service_time_sample_add (sample, response->running, response->waiting,
                                  response->slots);
}

enum bgap_status
bgap_edge_encode_service_times (struct bgap_edge_service *service,
                                struct bgap_buffer *out)
{
  enum bgap_status status = BGAP_OK;
  const struct bgap_edge_server_sample *samples = &service->server_sample;
  for (uint32_t i = 0; status == BGAP_OK && i < samples->count; i++)
    status = bgap_service_time_sample_encode (&samples->servers[i], out);
  service->server_sample.count = 0;
  return status;
}

bool
bgap_edge_on_service_times (struct bgap_edge_service *service,
                            const unsigned char *bytes, size_t size)
{
  if (size % BGAP_SERVICE_TIME_SAMPLE_SIZE != 0)
    return false;
  if (service->service_times == NULL)
    return true;
  for (size_t i = 0; i < size; i += BGAP_SERVICE_TIME_SAMPLE_SIZE)
    {
      struct bgap_service_time_sample sample;
      bgap_service_time_sample_decode (bytes + i, &sample);
      bgap_service_times_add (service->service_times, bgap_now_ms (), &sample);
    }
  return true;
}

double
bgap_edge_service_time_ms (const struct bgap_edge_service *service,
                           const char *server)
{
  return service->service_times != NULL
             ? bgap_service_times_get (service->service_times, bgap_now_ms (),
                                       _bgap_times_server (server))
             : 0;
}

static void
_bgap_times_apply_own (struct bgap_edge_service *service)
{
  for (uint32_t i = 0; i < service->server_sample.count; i++)
    bgap_service_times_add (service->service_times, bgap_now_ms (),
                            &service->server_sample.servers[i]);
  service->server_sample.count = 0;
}

void
bgap_edge_apply_service_times (struct bgap_edge *edge, int64_t now_ms)
{
  if (now_ms - edge->service_times_applied_ms < APPLY_INTERVAL_MS)
    return;
  edge->service_times_applied_ms = now_ms;
  for (struct bgap_edge_service *service = edge->services; service != NULL;
       service = service->hh.next)
    if (service->service_times != NULL
        && bgap_granter_is_active (service->granter))
      _bgap_times_apply_own (service);
  for (const struct bgap_edge_server *server = edge->servers; server != NULL;
       server = server->hh.next)
    if (server->known != NULL && server->service->service_times != NULL
        && bgap_granter_is_active (server->service->granter))
      bgap_edge_set_granter_server (edge, server->service,
                                    &server->known->entry);
}
