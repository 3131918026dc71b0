#ifndef BANYANGAP_GATEWAY_TESTS_BACKEND_FIXTURE_H
#define BANYANGAP_GATEWAY_TESTS_BACKEND_FIXTURE_H

/* Backend client with a scripted server, and records of its attempts.  */

#include "banyangap/gateway/backend.h"
#include "support.h"

/* What one attempt has reported.  */
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
};

struct backend_fixture
{
  struct event_base *base;
  struct support_server server;
  struct bgap_backend *backend;
  struct bgap_backend_server_id id;
};

extern const struct bgap_backend_ops backend_fixture_ops;

/* The server's answers by path.  */
void backend_fixture_answer (struct support_server *server,
                             struct bufferevent *bev, const char *request);

/* Starts the server and a client with @connections to it.  */
void backend_fixture_start (struct backend_fixture *f,
                            const struct bgap_backend_desc *limits,
                            uint32_t connections);

void backend_fixture_stop (struct backend_fixture *f);

/* Starts an attempt that is recorded in @o.  */
enum bgap_status backend_fixture_send (struct backend_fixture *f,
                                       const char *path, uint32_t deadline_ms,
                                       struct backend_outcome *o);

/* Runs one attempt to its end.  */
struct backend_outcome backend_fixture_run (struct backend_fixture *f,
                                            const char *path);

#endif
