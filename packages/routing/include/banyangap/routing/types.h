#ifndef BANYANGAP_ROUTING_TYPES_H
#define BANYANGAP_ROUTING_TYPES_H

/*
 * Handles and enumerations shared by the parts of the routing package.
 *
 *   if (server.id == BGAP_INVALID_ID)
 *     printf ("%s\n", bgap_outcome_name (BGAP_OUTCOME_NOT_RUN));
 */

#include <stdint.h>

#include "banyangap/base/pool.h"

/* Size of the name of a service, server, zone or instance in bytes,
   terminating zero included.  */
#define BGAP_ROUTING_NAME_SIZE 64

/* Handles; { 0 } names nothing.  */
struct bgap_service_id
{
  uint32_t id;
};

struct bgap_server_id
{
  uint32_t id;
};

struct bgap_request_id
{
  uint32_t id;
};

struct bgap_attempt_id
{
  uint32_t id;
};

/**
 * enum bgap_class - order in the queue, most urgent first
 */
enum bgap_class
{
  BGAP_CLASS_DEFAULT, /* the class of the service, else normal */
  BGAP_CLASS_URGENT,
  BGAP_CLASS_NORMAL,
  BGAP_CLASS_BULK,
  BGAP_CLASS_COUNT
};

/**
 * enum bgap_outcome - what is known about the execution of a request
 */
enum bgap_outcome
{
  BGAP_OUTCOME_NONE,
  BGAP_OUTCOME_ANSWERED,
  BGAP_OUTCOME_NOT_RUN, /* it certainly did not run */
  BGAP_OUTCOME_UNKNOWN, /* it may have run */
  BGAP_OUTCOME_COUNT
};

/**
 * bgap_outcome_name() - text of the header Bgap-Outcome, never NULL
 */
const char *bgap_outcome_name (enum bgap_outcome outcome);

/**
 * bgap_class_name() - "urgent", "normal" or "bulk"; "default" for the rest
 */
const char *bgap_class_name (enum bgap_class class_);

#endif
