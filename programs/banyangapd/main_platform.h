#ifndef BGAPD_MAIN_PLATFORM_H
#define BGAPD_MAIN_PLATFORM_H

/*
 * Runs an instance in platform mode, for the command line option --platform.
 *
 *   exit (bgap_main_platform ("/etc/banyangap/boot.yaml", false));
 */

#include <stdbool.h>

#include "banyangap/base/buffer.h"

/* Exit codes.  */
#define EXIT_FINDINGS 1
#define EXIT_USAGE 2
#define EXIT_SETUP 3

/**
 * bgap_main_read_settings() - append the contents of a settings file to @text
 *
 * Return: BGAP_OK, BGAP_ERR_NOT_FOUND or BGAP_ERR_FULL.
 */
enum bgap_status bgap_main_read_settings (const char *path,
                                          struct bgap_buffer *text);

/**
 * bgap_main_platform() - run an instance in platform mode until it is stopped
 * @path: path of the platform's settings file
 * @check: only check the settings and print the findings
 *
 * Return: an exit code.
 */
int bgap_main_platform (const char *path, bool check);

#endif
