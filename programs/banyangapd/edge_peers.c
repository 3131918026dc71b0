#include <stdio.h>
#include <string.h>

#include "edge_parts.h"
#include "now.h"

/* Interval of the reports of keys. The granter estimates the load by the
   reports of one interval (granter_spread.c), and spreads hot keys within a
   second.  */
#define REPORT_INTERVAL_MS 200

/* Interval of the reports of service times, which change slowly.  */
#define SERVICE_TIMES_INTERVAL_MS 1000

static struct bgap_event_kind event_bad_message
    = { .name = "message-skipped" };

/* Handles the keys of a report, two bytes each, the high byte first.  */
static bool
_bgap_peers_on_keys (struct bgap_edge_service *service,
                     const unsigned char *data, size_t size)
{
  if (size % 2 != 0)
    return false;
  for (size_t i = 0; i < size; i += 2)
    bgap_granter_count_request (service->granter,
                                (uint32_t)data[i] << 8 | data[i + 1]);
  return true;
}

/* Handles a report to a granter. It holds the length of the service's name in
   one byte, the name, and what is reported.  */
static bool
_bgap_peers_on_report (struct bgap_edge *edge, uint8_t kind,
                       const unsigned char *data, size_t size)
{
  char name[BGAP_REGISTRY_NAME_SIZE] = "";
  size_t name_size = size > 0 ? data[0] : 0;
  size_t head_size = 1 + name_size;
  if (size < head_size || name_size >= sizeof name)
    return false;
  memcpy (name, data + 1, name_size);
  struct bgap_edge_service *service = bgap_edge_service (edge, name);
  if (service == NULL || service->granter == NULL)
    return true;
  if (kind == BGAP_EDGE_MESSAGE_SERVICE_TIMES)
    return bgap_edge_on_service_times (service, data + head_size,
                                       size - head_size);
  return _bgap_peers_on_keys (service, data + head_size, size - head_size);
}

static void
_bgap_peers_on_message (void *context, const char *from, uint8_t kind,
                        const void *bytes, size_t size)
{
  struct bgap_edge *edge = context;
  bool valid = false;
  if (kind == BGAP_EDGE_MESSAGE_KEYS
      || kind == BGAP_EDGE_MESSAGE_SERVICE_TIMES)
    valid = _bgap_peers_on_report (edge, kind, bytes, size);
  else if (kind == BGAP_EDGE_MESSAGE_RELAY)
    valid = bgap_edge_on_relay (edge, bytes, size);
  else if (kind == BGAP_EDGE_MESSAGE_ROUTER
           || kind == BGAP_EDGE_MESSAGE_LIMITS)
    valid = bgap_edge_on_permits (edge, from, kind, bytes, size);
  else if (kind == BGAP_EDGE_MESSAGE_LEAVING)
    valid = bgap_edge_on_leaving_message (edge, from, bytes, size);
  if (!valid)
    bgap_event (&event_bad_message, "from=%.64s kind=%u bytes=%zu", from, kind,
                size);
}

enum bgap_status
bgap_edge_open_peers (struct bgap_edge *edge, struct bgap_error *err)
{
  return bgap_peer_setup (
      &(struct bgap_peer_desc){ .base = edge->base,
                                .name = edge->settings.name,
                                .address = edge->settings.peers_address,
                                .on_message = _bgap_peers_on_message,
                                .context = edge },
      &edge->peer, err);
}

void
bgap_edge_count_key (struct bgap_edge *edge, struct bgap_edge_service *service,
                     uint32_t key)
{
  struct bgap_edge_key_sample *sample = &service->sample;
  (void)edge;
  if (bgap_granter_is_active (service->granter))
    {
      bgap_granter_count_request (service->granter, key);
      return;
    }
  if (sample->count < BGAP_EDGE_SAMPLED_KEYS_MAX)
    sample->keys[sample->count++] = (uint16_t)key;
  else
    sample->keys[sample->seen % BGAP_EDGE_SAMPLED_KEYS_MAX] = (uint16_t)key;
  sample->seen++;
}

static bool
_bgap_peers_connect (struct bgap_edge *edge, const char *granter)
{
  struct bgap_error err = { 0 };
  struct bgap_edge_member member;
  return bgap_edge_member_parse (granter, &member)
         && bgap_peer_set (edge->peer, granter, member.address, &err)
                == BGAP_OK;
}

/* Sends a report to the granter. A lost one is not sent again; the next one
   follows.  */
static void
_bgap_peers_send (struct bgap_edge *edge,
                  const struct bgap_edge_service *service, uint8_t kind,
                  const struct bgap_buffer *bytes)
{
  const char *granter = bgap_granter_assignment (service->granter)->granter;
  if (_bgap_peers_connect (edge, granter))
    (void)bgap_peer_send (edge->peer, granter, kind, bytes->data, bytes->size);
}

static enum bgap_status
_bgap_peers_begin (const struct bgap_edge_service *service,
                   struct bgap_buffer *out)
{
  const unsigned char name_size = (unsigned char)strlen (service->name);
  enum bgap_status status = bgap_buffer_append (out, &name_size, 1);
  if (status == BGAP_OK)
    status = bgap_buffer_append (out, service->name, name_size);
  return status;
}

static void
_bgap_peers_report_keys (struct bgap_edge *edge,
                         struct bgap_edge_service *service)
{
  struct bgap_buffer bytes = { 0 };
  struct bgap_edge_key_sample *sample = &service->sample;
  enum bgap_status status = _bgap_peers_begin (service, &bytes);
  for (uint32_t i = 0; status == BGAP_OK && i < sample->count; i++)
    {
      const unsigned char key[] = { (unsigned char)(sample->keys[i] >> 8),
                                    (unsigned char)sample->keys[i] };
      status = bgap_buffer_append (&bytes, key, sizeof key);
    }
  sample->count = 0;
  sample->seen = 0;
  if (status == BGAP_OK)
    _bgap_peers_send (edge, service, BGAP_EDGE_MESSAGE_KEYS, &bytes);
  bgap_buffer_shutdown (&bytes);
}

static void
_bgap_peers_report_service_times (struct bgap_edge *edge,
                                  struct bgap_edge_service *service)
{
  struct bgap_buffer bytes = { 0 };
  if (_bgap_peers_begin (service, &bytes) == BGAP_OK
      && bgap_edge_encode_service_times (service, &bytes) == BGAP_OK)
    _bgap_peers_send (edge, service, BGAP_EDGE_MESSAGE_SERVICE_TIMES, &bytes);
  bgap_buffer_shutdown (&bytes);
}

void
bgap_edge_report_keys (struct bgap_edge *edge, int64_t now_ms)
{
  bool service_times_due
      = now_ms - edge->service_times_reported_ms >= SERVICE_TIMES_INTERVAL_MS;
  if (now_ms - edge->keys_reported_ms < REPORT_INTERVAL_MS)
    return;
  edge->keys_reported_ms = now_ms;
  if (service_times_due)
    edge->service_times_reported_ms = now_ms;
  for (struct bgap_edge_service *service = edge->services; service != NULL;
       service = service->hh.next)
    {
      if (service->granter == NULL
          || bgap_granter_is_active (service->granter))
        continue;
      if (service->sample.count > 0)
        _bgap_peers_report_keys (edge, service);
      if (service_times_due && service->server_sample.count > 0)
        _bgap_peers_report_service_times (edge, service);
    }
}
