#ifndef BGAPD_FAULTS_H
#define BGAPD_FAULTS_H

/*
 * Counts failed requests per owner: one entry per service, server and kind.
 *
 *   bgap_faults_add (faults, &(struct bgap_fault){ .owner = "zafu",
 *     .service = "listing", .server = "listing-3", .kind = "broken",
 *     .message = "connection lost" });
 *   json_t *report = bgap_faults_report (faults, "zafu");
 */

#include <jansson.h>
#include <stdint.h>

#include "banyangap/base/status.h"

/* Largest number of entries. A new one then replaces the entry whose last
   failure is the oldest.  */
#define BGAP_FAULTS_MAX 512

/**
 * struct bgap_fault - a failure; texts are copied, and truncated if too long
 * @server: may be empty
 * @kind: short name of the kind of failure
 */
struct bgap_fault
{
  const char *owner;
  const char *service;
  const char *server;
  const char *kind;
  const char *message;
};

struct bgap_faults;

/**
 * bgap_faults_setup() - create an empty table
 */
enum bgap_status bgap_faults_setup (struct bgap_faults **out);

void bgap_faults_shutdown (struct bgap_faults *faults);

/**
 * bgap_faults_add() - count a failure
 */
void bgap_faults_add (struct bgap_faults *faults,
                      const struct bgap_fault *fault);

/**
 * bgap_faults_report() - JSON array of the entries of an owner
 *
 * Return: a new reference.
 */
json_t *bgap_faults_report (const struct bgap_faults *faults,
                            const char *owner);

#endif
