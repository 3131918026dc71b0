#ifndef BANYANGAP_LOGSERVICE_TESTS_SUPPORT_H
#define BANYANGAP_LOGSERVICE_TESTS_SUPPORT_H

/* Event loop and canned HTTP server of the platform tests.  */

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

/* Runs the loop until *@done; fails the test after a minute.  */
void support_run (struct event_base *base, const bool *done);

/* Frees the loop after what libevent frees from within it.  */
void support_base_free (struct event_base *base);

struct support_canned;

/* Server on an ephemeral port that answers each request with @bytes and then
   closes the connection.  */
struct support_canned *support_canned_new (struct event_base *base,
                                           const char *bytes, char *address,
                                           size_t address_size);
void support_canned_free (struct support_canned *canned);

/* Address of a port of this host on which nothing listens.  */
void support_closed_address (char *address, size_t address_size);

#endif
