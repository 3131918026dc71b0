#ifndef BGAPD_OPERATORS_H
#define BGAPD_OPERATORS_H

/*
 * HTTP interface for operators, described in docs/operator-protocol.md.
 *
 *   bgap_operators_setup (&desc, &operators, &err);
 *   bgap_operators_set_ready (operators, true);
 *   bgap_operators_shutdown (operators);
 */

#include "configuration.h"
#include "requests.h"

/**
 * struct bgap_operators_desc - options; all are required
 */
struct bgap_operators_desc
{
  struct event_base *base;
  const struct bgap_settings *settings;
  const struct bgap_log_ops *log;
  struct bgap_counters *counters;
  struct bgap_peer *peer;
  struct bgap_members *members;
  struct bgap_configuration *configuration;
  struct bgap_cells *cells;
  struct bgap_upstreams *upstreams;
  struct bgap_requests *requests;
  struct bgap_faults *faults;
};

struct bgap_operators;

enum bgap_status bgap_operators_setup (const struct bgap_operators_desc *desc,
                                       struct bgap_operators **out,
                                       struct bgap_error *err);

void bgap_operators_shutdown (struct bgap_operators *operators);

/**
 * bgap_operators_set_ready() - set whether /readyz answers "ready"
 */
void bgap_operators_set_ready (struct bgap_operators *operators, bool ready);

/**
 * bgap_operators_dump() - state of the instance as a JSON object
 *
 * Return: a new reference.
 */
json_t *bgap_operators_dump (const struct bgap_operators *operators);

#endif
