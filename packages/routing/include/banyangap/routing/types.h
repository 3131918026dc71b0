#ifndef BANYANGAP_ROUTING_TYPES_H
#define BANYANGAP_ROUTING_TYPES_H

/*
 * Handles and enumerations shared by the modules of the routing package.
 *
 *   if (server.id == BGAP_INVALID_ID)
 *     printf ("%s\n", bgap_outcome_name (BGAP_OUTCOME_NOT_RUN));
 */

#include <stdint.h>

#include "banyangap/base/pool.h"

/* Size of the name of a service, server, zone or instance in bytes,
   including the terminating zero.  */
#define BGAP_ROUTING_NAME_SIZE 64

/* Handles; { 0 } is the invalid handle.  */
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
 * enum bgap_class - priority class, most urgent first
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
 * enum bgap_outcome - whether a request was executed, as far as known
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
 * bgap_outcome_name() - value of the header Bgap-Outcome, never NULL
 */
const char *bgap_outcome_name (enum bgap_outcome outcome);

/**
 * bgap_class_name() - "urgent", "normal" or "bulk"; "default" for all others
 */
const char *bgap_class_name (enum bgap_class class_);

#endif
