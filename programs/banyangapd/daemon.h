#ifndef BGAPD_DAEMON_H
#define BGAPD_DAEMON_H

/*
 * An instance that uses the log service and the host list, with all its parts
 * on one event loop.
 *
 *   struct bgap_daemon *daemon;
 *   if (bgap_daemon_setup (&settings, &daemon, &err) == BGAP_OK)
 *     bgap_daemon_run (daemon);
 *   bgap_daemon_shutdown (daemon);
 *
 * SIGTERM and SIGINT stop it gracefully; SIGUSR1 writes a dump of its state to
 * standard output.
 */

#include "banyangap/resource/settings.h"

struct bgap_daemon;

/**
 * bgap_daemon_setup() - create all parts and open all addresses
 * @settings: must stay valid until shutdown
 *
 * Return: BGAP_OK, or any error of the parts.
 */
enum bgap_status bgap_daemon_setup (const struct bgap_settings *settings,
                                    struct bgap_daemon **out,
                                    struct bgap_error *err);

/**
 * bgap_daemon_run() - serve until SIGTERM or SIGINT
 */
void bgap_daemon_run (struct bgap_daemon *daemon);

/**
 * bgap_daemon_shutdown() - free everything; NULL is allowed
 */
void bgap_daemon_shutdown (struct bgap_daemon *daemon);

#endif
