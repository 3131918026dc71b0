#ifndef BANYANGAP_ROUTING_URGENCY_H
#define BANYANGAP_ROUTING_URGENCY_H

/*
 * Which part of the servers' queues requests of a class of urgency may use.
 *
 *   struct bgap_urgency urgency = { 0 };
 *   bgap_urgency_note (&urgency, now_ms, BGAP_CLASS_BULK);
 *   uint32_t percent
 *     = bgap_urgency_queue_percent (&urgency, now_ms, BGAP_CLASS_BULK);
 *
 * A server runs its queue in order of arrival, so that a burst of the least
 * urgent requests of a service would delay the urgent ones of all instances.
 * While a service gets more urgent requests, less urgent ones are therefore
 * sent only to servers with a free slot or a short queue. The others wait in
 * the instance, where more urgent ones overtake them. Each instance decides
 * alone, from the load that the servers report.
 */

#include <stdint.h>

#include "banyangap/routing/types.h"
#include "banyangap/routing/window_count.h"

/**
 * struct bgap_urgency - recent requests of a service; zeroed means none
 * @arrivals: by class
 */
struct bgap_urgency
{
  struct bgap_window_count arrivals[BGAP_CLASS_COUNT];
};

/**
 * bgap_urgency_note() - count a request
 */
void bgap_urgency_note (struct bgap_urgency *urgency, int64_t now_ms,
                        enum bgap_class class_);

/**
 * bgap_urgency_queue_percent() - part of the queue of a server that requests
 * of a class may use
 *
 * Return: percent, 100 if there are no more urgent requests in the service.
 */
uint32_t bgap_urgency_queue_percent (const struct bgap_urgency *urgency,
                                     int64_t now_ms, enum bgap_class class_);

#endif
