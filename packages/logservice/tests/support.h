#ifndef BANYANGAP_LOGSERVICE_TESTS_SUPPORT_H
#define BANYANGAP_LOGSERVICE_TESTS_SUPPORT_H

/* Event loop helpers and a server with canned responses for the tests of the
   log service and the host list.  */

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>

/* Runs the loop until *@done is set; fails the test after one minute.  */
void support_run (struct event_base *base, const bool *done);

/* Frees the loop, after running it so that libevent performs its deferred
   frees.  */
void support_base_free (struct event_base *base);

struct support_canned;

/* Server on an ephemeral port that responds to each request with @bytes and
   then closes the connection; if @bytes is empty, it only closes the
   connection.  */
struct support_canned *support_canned_new (struct event_base *base,
                                           const char *bytes, char *address,
                                           size_t address_size);
void support_canned_free (struct support_canned *canned);

/* Gets the address of a local port without a listener.  */
void support_closed_address (char *address, size_t address_size);

#endif
