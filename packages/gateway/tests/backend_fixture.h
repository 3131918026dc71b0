#ifndef BANYANGAP_GATEWAY_TESTS_BACKEND_FIXTURE_H
#define BANYANGAP_GATEWAY_TESTS_BACKEND_FIXTURE_H

/* Backend client with a scripted server, and recorded results of attempts.  */

#include "banyangap/gateway/backend.h"
#include "support.h"

/* Callbacks that one attempt has received, and how to react to them.  */
struct backend_outcome
{
  struct backend_fixture *fixture;
  struct bgap_backend_attempt_id id;
  bool ended;
  bool complete;
  bool failed;
  int status;
  uint64_t size;
  char text[256];
  enum bgap_refusal refusal;
  struct bgap_backend_failure failure;
  bool pause_at_head;
  bool cancel_in_body;
  bool got_body;
  bool hold_back;
  uint32_t asked; /* calls of ops.may_send */
};

struct backend_fixture
{
  struct event_base *base;
  struct support_server server;
  struct bgap_backend *backend;
  struct bgap_backend_server_id id;
};

extern const struct bgap_backend_ops backend_fixture_ops;

/* Sends the scripted response for the path of @request, or none.  */
void backend_fixture_respond (struct support_server *server,
                              struct bufferevent *bev, const char *request);

/* Starts the server and a client with up to @connections to it.  */
void backend_fixture_start (struct backend_fixture *f,
                            const struct bgap_backend_desc *limits,
                            uint32_t connections);

void backend_fixture_stop (struct backend_fixture *f);

/* Starts an attempt whose callbacks are recorded in @o.  */
enum bgap_status backend_fixture_send (struct backend_fixture *f,
                                       const char *path, uint32_t deadline_ms,
                                       struct backend_outcome *o);

/* Runs one attempt to its end.  */
struct backend_outcome backend_fixture_run (struct backend_fixture *f,
                                            const char *path);

#endif
