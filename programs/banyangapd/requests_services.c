#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "banyangap/base/log.h"
#include "now.h"
#include "requests_private.h"

/* A service in the router, with the settings that need a replacement.  */
struct bgap_requests_service
{
  char name[BGAP_UPSTREAM_NAME_SIZE];
  struct bgap_service_id id;
  bool keyed;
  bool repeat_never;
  int64_t idempotency_window_ms;
  bool configured;
  UT_hash_handle hh;
};

static enum bgap_class
_bgap_requests_class (enum bgap_resource_class value)
{
  static const enum bgap_class classes[] = {
    [BGAP_RESOURCE_CLASS_URGENT] = BGAP_CLASS_URGENT,
    [BGAP_RESOURCE_CLASS_NORMAL] = BGAP_CLASS_NORMAL,
    [BGAP_RESOURCE_CLASS_BULK] = BGAP_CLASS_BULK,
  };
  return classes[value];
}

static void
_bgap_requests_remove_service (struct bgap_requests *requests,
                               struct bgap_requests_service *service)
{
  bgap_idempotency_streams_remove (requests->idempotency_streams,
                                   service->name);
  bgap_router_remove_service (&requests->router, bgap_now_ms (), service->id);
  HASH_DEL (requests->services, service);
  free (service);
}

/* Return: whether a setting differs that the router cannot change in place. */
static bool
_bgap_requests_must_replace (const struct bgap_requests_service *service,
                             const struct bgap_service_desc *desc)
{
  return service->keyed != desc->keyed
         || service->repeat_never != desc->repeat_never
         || service->idempotency_window_ms != desc->idempotency_window_ms;
}

static struct bgap_requests_service *
_bgap_requests_get_service (struct bgap_requests *requests,
                            const struct bgap_service_desc *desc)
{
  struct bgap_requests_service *service;
  HASH_FIND_STR (requests->services, desc->name, service);
  if (service != NULL && _bgap_requests_must_replace (service, desc))
    {
      _bgap_requests_remove_service (requests, service);
      service = NULL;
    }
  if (service != NULL)
    return service;
  service = calloc (1, sizeof *service);
  if (service == NULL)
    return NULL;
  snprintf (service->name, sizeof service->name, "%s", desc->name);
  service->keyed = desc->keyed;
  service->repeat_never = desc->repeat_never;
  service->idempotency_window_ms = desc->idempotency_window_ms;
  HASH_ADD_STR (requests->services, name, service);
  return service;
}

static void
_bgap_requests_set_service (struct bgap_requests *requests,
                            const struct bgap_resource_service *resource)
{
  char name[BGAP_UPSTREAM_NAME_SIZE];
  struct bgap_error err = { 0 };
  int size
      = snprintf (name, sizeof name, "%s.%s", resource->owner, resource->name);
  if (size >= (int)sizeof name)
    {
      bgap_log_error ("routing", "service name is too long; service=%s",
                      resource->name);
      return;
    }
  const struct bgap_service_desc desc = {
    .name = name,
    .keyed = resource->keyed,
    .repeat_never = resource->repeat == BGAP_RESOURCE_REPEAT_NEVER,
    .class_ = _bgap_requests_class (resource->class),
    .deadline_ms = resource->deadline_ms,
    .queue_limit = resource->queue_limit,
    .retry_percent = resource->retry_budget_percent,
    .idempotency_window_ms = (int64_t)resource->repeat_window_s * 1000,
  };
  struct bgap_requests_service *service
      = _bgap_requests_get_service (requests, &desc);
  if (service == NULL)
    return;
  service->configured = true;
  if (bgap_router_set_service (&requests->router, bgap_now_ms (), &desc,
                               &service->id, &err)
      != BGAP_OK)
    {
      bgap_log_error ("routing",
                      "router refused the service; service=%s reason=%s", name,
                      err.message);
      return;
    }
  if (desc.repeat_never)
    bgap_idempotency_streams_add (requests->idempotency_streams, name,
                                  service->id);
}

void
bgap_requests_sync_services (struct bgap_requests *requests,
                             const struct bgap_resource_set *set)
{
  struct bgap_requests_service *service;
  struct bgap_requests_service *next;
  HASH_ITER (hh, requests->services, service, next)
  service->configured = false;
  for (uint32_t i = 0; i < set->service_count; i++)
    _bgap_requests_set_service (requests, &set->services[i]);
  HASH_ITER (hh, requests->services, service, next)
  {
    if (!service->configured)
      _bgap_requests_remove_service (requests, service);
  }
  bgap_requests_run (requests);
}

void
bgap_requests_free_services (struct bgap_requests *requests)
{
  struct bgap_requests_service *service;
  struct bgap_requests_service *next;
  HASH_ITER (hh, requests->services, service, next)
  {
    HASH_DEL (requests->services, service);
    free (service);
  }
}
