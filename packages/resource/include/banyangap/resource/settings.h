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
 * @requests_max: requests in progress, queued ones included
 * @readiness_wait_ms: time between turning readiness off and refusing work
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
 * struct bgap_settings - plain values, nothing to free
 * @name: name of the instance, equal to its entry in the host list
 * @deployment: names the streams' deployment in logs and reports
 * @callers_address: listens for callers (HTTP)
 * @peers_address: listens for other instances (ZeroMQ)
 * @operators_address: listens for operators (HTTP)
 * @log_address: log service
 * @host_list_address: host list
 * @log_level: "error", "warn", "info" or "debug"
 * @operator_token_sha256: digest of the operators' token; "" means none, and
 * operators' requests are then refused
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
