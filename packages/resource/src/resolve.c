#include "banyangap/resource/set.h"

/* Default idempotency window: callers stop retrying well before.  */
#define REPEAT_WINDOW_S_DEFAULT 3600

/* Largest derived queue limit, equal to the maximum of the field.  */
#define QUEUE_LIMIT_MAX 100000

static uint32_t
_bgap_resolve_slice_count (uint32_t servers)
{
  const uint64_t wanted = (uint64_t)servers * BGAP_RESOURCE_SLICES_PER_SERVER;
  uint32_t slices = 1;
  while (slices < wanted && slices < BGAP_RESOURCE_SLICES_MAX)
    slices *= 2;
  return slices;
}

void
bgap_resource_resolve (struct bgap_resource_set *set)
{
  for (uint32_t i = 0; i < set->service_count; i++)
    {
      struct bgap_resource_service *service = &set->services[i];
      uint64_t slots = 0;
      const uint32_t servers = bgap_resource_count_servers (
          set, service->owner, service->name, &slots);
      if (service->keyed && service->slices == 0)
        service->slices = _bgap_resolve_slice_count (servers);
      if (service->queue_limit == 0)
        {
          const uint64_t limit = slots * BGAP_RESOURCE_QUEUED_PER_SLOT;
          service->queue_limit
              = limit < QUEUE_LIMIT_MAX ? (uint32_t)limit : QUEUE_LIMIT_MAX;
        }
      if (service->queue_limit == 0)
        service->queue_limit = 1;
      if (service->repeat == BGAP_RESOURCE_REPEAT_NEVER
          && service->repeat_window_s == 0)
        service->repeat_window_s = REPEAT_WINDOW_S_DEFAULT;
    }
}
