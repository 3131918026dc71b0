#ifndef BANYANGAP_GATEWAY_TESTS_FRONTEND_FIXTURE_H
#define BANYANGAP_GATEWAY_TESTS_FRONTEND_FIXTURE_H

/* Frontend whose handler echoes or streams, with a raw client.  */

#include "banyangap/gateway/frontend.h"
#include "support.h"

#define STREAM_SIZE ((size_t)64 * 1024 * 1024)
#define STREAM_PIECE 16384u

struct frontend_fixture
{
  struct event_base *base;
  struct bgap_frontend *frontend;
  struct support_client client;
  struct bgap_exchange_id id;
  bool defer_reply; /* do not reply at once, else echo the request */
  uint32_t requests;
  uint32_t cancelled;
  uint32_t left; /* requests that were dropped, as their callers had left */
  bool arrived;
  bool caller_gone;
  bool stopped;
  size_t sent;
  size_t max_unread;
};

/* Starts a frontend; it echoes requests unless @defer_reply is set.  */
void frontend_fixture_start (struct frontend_fixture *f,
                             const struct bgap_frontend_desc *limits);

void frontend_fixture_stop (struct frontend_fixture *f);

/* Waits until the client has received @text.  */
void frontend_fixture_expect (struct frontend_fixture *f, const char *text);

/* Sends @request on a new connection and expects it to be rejected with
   @status.  */
void frontend_fixture_expect_rejection (const char *request,
                                        const char *status);

/* Writes the response until the frontend's buffer is full.  */
void frontend_fixture_stream (struct frontend_fixture *f);

/* Replies with the parsed content of the request.  */
void frontend_fixture_echo (struct frontend_fixture *f,
                            struct bgap_exchange_id id,
                            const struct bgap_frontend_request *request);

#endif
