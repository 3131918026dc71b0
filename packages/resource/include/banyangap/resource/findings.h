#ifndef BANYANGAP_RESOURCE_FINDINGS_H
#define BANYANGAP_RESOURCE_FINDINGS_H

/*
 * Findings of the parser and the validation, collected into one report.
 *
 *   struct bgap_findings findings = { 0 };
 *   bgap_resource_parse (&set, text, size, "services.yaml", &findings);
 *   bgap_resource_validate (&set, &findings);
 *   bgap_findings_print (&findings, &buffer);
 *   bgap_findings_shutdown (&findings);
 */

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "banyangap/base/buffer.h"
#include "banyangap/base/status.h"

/* Sizes in bytes, terminating zero included.  Longer texts are truncated.  */
#define BGAP_FINDING_FILE_SIZE 128
#define BGAP_FINDING_PATH_SIZE 128
#define BGAP_FINDING_MESSAGE_SIZE 192
#define BGAP_FINDING_REMEDY_SIZE 192

/* Findings kept per report; further ones are only counted.  */
#define BGAP_FINDINGS_MAX 200

/**
 * struct bgap_finding - one error in a text
 * @file: name as given to the parser
 * @line: from 1; 0 if unknown
 * @column: from 1, in characters; 0 if unknown
 * @path: field path, as "service/vandstand.deadline_ms"
 * @message: what is wrong
 * @remedy: how to correct it
 */
struct bgap_finding
{
  char file[BGAP_FINDING_FILE_SIZE];
  uint32_t line;
  uint32_t column;
  char path[BGAP_FINDING_PATH_SIZE];
  char message[BGAP_FINDING_MESSAGE_SIZE];
  char remedy[BGAP_FINDING_REMEDY_SIZE];
};

/**
 * struct bgap_findings - a report; zeroed means empty
 * @dropped: findings beyond BGAP_FINDINGS_MAX, or lost to a failed allocation
 */
struct bgap_findings
{
  struct bgap_finding *items;
  uint32_t count;
  uint32_t capacity;
  uint32_t dropped;
};

/**
 * bgap_findings_add() - append a copy of @finding
 */
void bgap_findings_add (struct bgap_findings *findings,
                        const struct bgap_finding *finding);

/**
 * bgap_findings_empty() - whether the report has no finding at all
 */
bool bgap_findings_empty (const struct bgap_findings *findings);

/**
 * bgap_findings_sort() - sort by file, line, column, path and message
 */
void bgap_findings_sort (struct bgap_findings *findings);

/**
 * bgap_findings_print() - append the report as text, two lines per finding
 *
 * Return: BGAP_OK or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_findings_print (const struct bgap_findings *findings,
                                      struct bgap_buffer *out);

/**
 * bgap_findings_to_json() - encode as array of {file, line, column, path,
 * message, remedy}
 *
 * Return: a new reference, or NULL if out of memory.
 */
json_t *bgap_findings_to_json (const struct bgap_findings *findings);

/**
 * bgap_findings_from_json() - append the findings of an array as written by
 * bgap_findings_to_json()
 *
 * Members that are missing or of another type stay empty.
 */
void bgap_findings_from_json (struct bgap_findings *findings,
                              const json_t *array);

/**
 * bgap_findings_shutdown() - free the memory; the report is empty afterwards
 */
void bgap_findings_shutdown (struct bgap_findings *findings);

#endif
