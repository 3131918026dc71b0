#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "frontend_fixture.h"

void
frontend_fixture_echo (struct frontend_fixture *f, struct bgap_exchange_id id,
                       const struct bgap_frontend_request *request)
{
  char text[4096];
  int size = snprintf (text, sizeof text,
                       "%s %s owner=%s service=%s key=%zu:", request->method,
                       request->target, request->parts.owner,
                       request->parts.service, request->parts.key_size);
  for (size_t i = 0; i < request->parts.key_size; i++)
    size += snprintf (text + size, sizeof text - (size_t)size, "%02x",
                      request->parts.key[i]);
  size += snprintf (text + size, sizeof text - (size_t)size, " body=%.*s;",
                    (int)request->body_size,
                    request->body ? (const char *)request->body : "");
  struct bgap_headers headers = { 0 };
  bgap_headers_add (&headers, "Bgap-Outcome", "answered");
  assert_int_equal (
      bgap_frontend_reply (f->frontend, id, 200, &headers, text, (size_t)size),
      BGAP_OK);
  bgap_headers_shutdown (&headers);
}

static void
_on_request (void *context, struct bgap_exchange_id id,
             const struct bgap_frontend_request *request)
{
  struct frontend_fixture *f = context;
  f->requests++;
  f->arrived = true;
  f->id = id;
  assert_ptr_equal (bgap_frontend_request (f->frontend, id), request);
  assert_null (bgap_headers_find (&request->headers, "Connection"));
  if (!f->defer_reply)
    frontend_fixture_echo (f, id, request);
}

static void
_on_cancel (void *context, struct bgap_exchange_id id)
{
  struct frontend_fixture *f = context;
  f->cancelled++;
  f->caller_gone = true;
  assert_int_equal (id.id, f->id.id);
  assert_null (bgap_frontend_request (f->frontend, id));
  assert_int_equal (bgap_frontend_finish (f->frontend, id),
                    BGAP_ERR_NOT_FOUND);
}

static void
_on_left (void *context, const struct bgap_frontend_request *request)
{
  struct frontend_fixture *f = context;
  f->left++;
  assert_string_equal (request->target, "/o/s/a");
  assert_string_equal (bgap_headers_find (&request->headers, "Host"), "h");
}

void
frontend_fixture_stream (struct frontend_fixture *f)
{
  static char piece[STREAM_PIECE];
  while (f->sent < STREAM_SIZE && !bgap_frontend_is_full (f->frontend, f->id))
    {
      bgap_frontend_write (f->frontend, f->id, piece, sizeof piece);
      f->sent += sizeof piece;
    }
  if (f->sent - f->client.total > f->max_unread)
    f->max_unread = f->sent - f->client.total;
  if (f->sent == STREAM_SIZE)
    bgap_frontend_finish (f->frontend, f->id);
}

static void
_on_resume (void *context, struct bgap_exchange_id id)
{
  struct frontend_fixture *f = context;
  assert_int_equal (id.id, f->id.id);
  assert_false (bgap_frontend_is_full (f->frontend, id));
  frontend_fixture_stream (f);
}

static void
_on_stopped (void *context)
{
  struct frontend_fixture *f = context;
  assert_false (f->stopped);
  f->stopped = true;
}

void
frontend_fixture_start (struct frontend_fixture *f,
                        const struct bgap_frontend_desc *limits)
{
  struct bgap_frontend_desc desc = *limits;
  struct bgap_error err = { 0 };
  *f = (struct frontend_fixture){ .base = event_base_new () };
  desc.base = f->base;
  desc.address = "127.0.0.1:0";
  desc.ops = (struct bgap_frontend_ops){
    .request = _on_request,
    .cancel = _on_cancel,
    .left = _on_left,
    .resume = _on_resume,
    .stopped = _on_stopped,
    .context = f,
  };
  assert_int_equal (bgap_frontend_setup (&f->frontend, &desc, &err), BGAP_OK);
  support_client_start (&f->client, f->base, bgap_frontend_port (f->frontend));
}

void
frontend_fixture_stop (struct frontend_fixture *f)
{
  support_client_stop (&f->client);
  bgap_frontend_shutdown (f->frontend);
  support_base_free (f->base);
}

void
frontend_fixture_expect (struct frontend_fixture *f, const char *text)
{
  support_client_expect (&f->client, f->base, text);
}

void
frontend_fixture_expect_rejection (const char *request, const char *status)
{
  struct frontend_fixture f;
  frontend_fixture_start (&f, &(struct bgap_frontend_desc){ 0 });
  support_client_send (&f.client, request);
  frontend_fixture_expect (&f, status);
  frontend_fixture_expect (&f, "Bgap-Outcome: not-run\r\n");
  support_run (f.base, &f.client.closed);
  assert_false (f.client.reset);
  assert_int_equal (f.requests, 0);
  frontend_fixture_stop (&f);
}
