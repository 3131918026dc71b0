#ifndef BANYANGAP_RESOURCE_SETTINGS_H
#define BANYANGAP_RESOURCE_SETTINGS_H

/*
 * The settings file of a process: one YAML document, checked like resources.
 *
 *   struct bgap_settings settings;
 *   struct bgap_findings findings = { 0 };
 *   if (bgap_settings_parse (&settings, text, size, file, &findings)
 *       != BGAP_OK)
 *     report (&findings);
 */

#include <stddef.h>
#include <stdint.h>

#include "banyangap/base/status.h"
#include "banyangap/resource/findings.h"
#include "banyangap/resource/types.h"

/**
 * struct bgap_settings_limits - limits of a process
 * @connections_max: connections of callers
 * @requests_max: requests in flight, including queued ones
 * @readiness_wait_ms: time between reporting not ready and refusing work
 * @shutdown_ms: longest wait for running requests at shutdown
 */
struct bgap_settings_limits
{
  uint32_t connections_max;
  uint32_t requests_max;
  uint32_t readiness_wait_ms;
  uint32_t shutdown_ms;
};

/**
 * struct bgap_settings - settings of a process; owns no memory
 * @name: name of the instance, equal to its entry in the host list
 * @deployment: name of the deployment in logs and reports
 * @callers_address: listening address for callers (HTTP)
 * @peers_address: listening address for other instances (ZeroMQ)
 * @operators_address: listening address for operators (HTTP)
 * @log_address: address of the log service
 * @host_list_address: address of the host list
 * @log_level: "error", "warn", "info" or "debug"
 * @operator_token_sha256: digest of the operators' token; "" means none, and
 * requests of operators are then refused
 */
struct bgap_settings
{
  char name[BGAP_RESOURCE_NAME_SIZE];
  char zone[BGAP_RESOURCE_NAME_SIZE];
  char deployment[BGAP_RESOURCE_NAME_SIZE];
  char callers_address[BGAP_RESOURCE_ADDRESS_SIZE];
  char peers_address[BGAP_RESOURCE_ADDRESS_SIZE];
  char operators_address[BGAP_RESOURCE_ADDRESS_SIZE];
  char log_address[BGAP_RESOURCE_ADDRESS_SIZE];
  char host_list_address[BGAP_RESOURCE_ADDRESS_SIZE];
  const char *log_level;
  char operator_token_sha256[BGAP_RESOURCE_DIGEST_SIZE];
  struct bgap_settings_limits limits;
};

/**
 * bgap_settings_parse() - parse and check a settings file
 *
 * Return: BGAP_OK, BGAP_ERR_INVALID if findings were added, or
 * BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_settings_parse (struct bgap_settings *settings,
                                      const char *text, size_t size,
                                      const char *file,
                                      struct bgap_findings *findings);

#endif
