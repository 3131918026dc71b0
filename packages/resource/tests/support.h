#ifndef BANYANGAP_RESOURCE_TESTS_SUPPORT_H
#define BANYANGAP_RESOURCE_TESTS_SUPPORT_H

#include <stddef.h>

#include "banyangap/base/buffer.h"
#include "banyangap/resource/config.h"
#include "banyangap/resource/set.h"

/**
 * support_read() - append the content of a file; fails the test if it cannot
 */
void support_read (const char *path, struct bgap_buffer *out);

/**
 * support_load() - parse a file into a set and validate the set
 */
enum bgap_status support_load (struct bgap_resource_set *set, const char *path,
                               struct bgap_findings *findings);

/**
 * support_check_golden() - compare a report with golden/NAME.txt
 */
void support_check_golden (struct bgap_findings *findings, const char *name);

/**
 * support_owner() - append the documents of an owner with one keyed service,
 * "s"
 * @servers: number of its servers, named OWNER-0, OWNER-1 and so on
 */
void support_owner (struct bgap_buffer *out, const char *owner,
                    unsigned servers, unsigned deadline_ms);

/**
 * support_setup() - initialise an empty replay with the default limits
 */
void support_setup (struct bgap_config *config);

/**
 * support_apply() - apply a record; fails the test if memory runs out
 */
enum bgap_config_result support_apply (struct bgap_config *config,
                                       int64_t offset,
                                       const struct bgap_buffer *record);

/**
 * support_change() - encode a change to the documents of support_owner()
 * @out: gets the record; its former content is replaced
 */
void support_change (struct bgap_buffer *out, const char *owner,
                     int64_t based_on, unsigned servers, unsigned deadline_ms);

/**
 * support_apply_change() - encode such a change and apply it at the next
 * offset
 */
enum bgap_config_result support_apply_change (struct bgap_config *config,
                                              const char *owner,
                                              int64_t based_on,
                                              unsigned servers,
                                              unsigned deadline_ms);

#endif
