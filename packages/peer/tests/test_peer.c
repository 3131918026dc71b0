#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <event2/event.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>
#include <zmq.h>

#include "banyangap/peer/peer.h"

/* Time limit for receiving messages, in seconds.  */
#define TIMEOUT_S 10

struct inbox
{
  struct event_base *base;
  int wanted;
  int count;
  char from[BGAP_PEER_NAME_SIZE];
  uint8_t kind;
  char payload[64];
};

static void
_receive (void *context, const char *from, uint8_t kind, const void *bytes,
          size_t size)
{
  struct inbox *inbox = context;
  snprintf (inbox->from, sizeof inbox->from, "%s", from);
  inbox->kind = kind;
  snprintf (inbox->payload, sizeof inbox->payload, "%.*s", (int)size,
            (const char *)bytes);
  if (++inbox->count >= inbox->wanted)
    event_base_loopbreak (inbox->base);
}

static struct bgap_peer *
_open (struct event_base *base, const char *name, char *address, size_t size,
       struct inbox *inbox)
{
  struct bgap_peer *peer = NULL;
  struct bgap_error err = { 0 };
  for (int port = 24000 + getpid () % 5000; peer == NULL; port++)
    {
      assert_true (port < 32000);
      snprintf (address, size, "127.0.0.1:%d", port);
      bgap_peer_setup (&(struct bgap_peer_desc){ .base = base,
                                                 .name = name,
                                                 .address = address,
                                                 .on_message = _receive,
                                                 .queue_limit = 1000,
                                                 .context = inbox },
                       &peer, &err);
    }
  return peer;
}

/* Runs the loop until a message arrives, or for the pause between two
   messages.  */
static void
_run (struct inbox *inbox)
{
  const struct timeval pause = { .tv_usec = 100000 };
  inbox->wanted = inbox->count + 1;
  event_base_loopexit (inbox->base, &pause);
  event_base_dispatch (inbox->base);
}

/* Sends numbered messages until one arrives, then waits for the last one. A
   message can be lost while the connection is not established yet, but none
   after the first that arrives, and none arrives twice.  */
static void
_send_and_wait (struct bgap_peer *from, const char *to, struct inbox *inbox)
{
  char text[16] = "";
  int sent = 0;
  inbox->count = 0;
  for (int i = 0; i < TIMEOUT_S * 10 && inbox->count == 0; i++)
    {
      snprintf (text, sizeof text, "%d", sent + 1);
      sent += bgap_peer_send (from, to, 7, text, strlen (text)) == BGAP_OK;
      _run (inbox);
    }
  snprintf (text, sizeof text, "%d", sent);
  for (int i = 0; i < TIMEOUT_S * 10 && strcmp (inbox->payload, text) != 0;
       i++)
    _run (inbox);
  assert_string_equal (inbox->payload, text);
  assert_in_range (inbox->count, 1, sent);
}

/* Guards against lost frames, a wrong sender name, and messages that do not
   reach a peer after it was replaced at another address.  */
static void
test_messages_reach_a_replaced_peer (void **state)
{
  (void)state;
  struct event_base *base = event_base_new ();
  struct inbox inbox = { .base = base };
  char address_a[64];
  char address_b[64];
  struct bgap_error err = { 0 };
  struct bgap_peer *a = _open (base, "a", address_a, sizeof address_a, &inbox);
  struct bgap_peer *b = _open (base, "b", address_b, sizeof address_b, &inbox);
  assert_int_equal (bgap_peer_send (a, "b", 7, "", 0), BGAP_ERR_NOT_FOUND);
  assert_int_equal (bgap_peer_set (a, "b", address_b, &err), BGAP_OK);
  _send_and_wait (a, "b", &inbox);
  assert_string_equal (inbox.from, "a");
  assert_int_equal (inbox.kind, 7);

  bgap_peer_shutdown (b);
  b = _open (base, "b", address_b, sizeof address_b, &inbox);
  assert_int_equal (bgap_peer_set (a, "b", address_b, &err), BGAP_OK);
  _send_and_wait (a, "b", &inbox);

  bgap_peer_shutdown (a);
  bgap_peer_shutdown (b);
  event_base_free (base);
}

/* Guards against a burst larger than one read batch whose remainder is never
   read: the descriptor of the socket is edge-triggered and does not become
   readable again.  */
static void
test_burst_is_read_completely (void **state)
{
  (void)state;
  struct event_base *base = event_base_new ();
  struct inbox inbox = { .base = base };
  char address_a[64];
  char address_b[64];
  struct bgap_error err = { 0 };
  struct bgap_peer *a = _open (base, "a", address_a, sizeof address_a, &inbox);
  struct bgap_peer *b = _open (base, "b", address_b, sizeof address_b, &inbox);
  assert_int_equal (bgap_peer_set (a, "b", address_b, &err), BGAP_OK);
  _send_and_wait (a, "b", &inbox);

  int sent = 0;
  inbox.count = 0;
  for (int i = 0; i < 400; i++)
    if (bgap_peer_send (a, "b", 1, "x", 1) == BGAP_OK)
      sent++;
  assert_int_equal (sent, 400);
  inbox.wanted = sent;
  const struct timeval limit = { .tv_sec = TIMEOUT_S };
  event_base_loopexit (base, &limit);
  event_base_dispatch (base);
  assert_int_equal (inbox.count, sent);

  bgap_peer_shutdown (a);
  bgap_peer_shutdown (b);
  event_base_free (base);
}

/* Guards against a message with wrong frames being passed to the handler.  */
static void
test_malformed_messages_are_counted (void **state)
{
  (void)state;
  struct event_base *base = event_base_new ();
  struct inbox inbox = { .base = base, .wanted = 1 };
  char address[64];
  char endpoint[80];
  struct bgap_peer *a = _open (base, "a", address, sizeof address, &inbox);
  void *zmq = zmq_ctx_new ();
  void *socket = zmq_socket (zmq, ZMQ_PUSH);
  snprintf (endpoint, sizeof endpoint, "tcp://%s", address);
  assert_int_equal (zmq_connect (socket, endpoint), 0);
  zmq_send (socket, "one frame", 9, 0);
  zmq_send (socket, "", 0, ZMQ_SNDMORE);
  zmq_send (socket, "k", 1, ZMQ_SNDMORE);
  zmq_send (socket, "no name", 7, 0);
  for (int i = 0; i < 4; i++)
    zmq_send (socket, "n", 1, i < 3 ? ZMQ_SNDMORE : 0);
  zmq_send (socket, "n", 1, ZMQ_SNDMORE);
  zmq_send (socket, "k", 1, ZMQ_SNDMORE);
  zmq_send (socket, "good", 4, 0);
  const struct timeval limit = { .tv_sec = TIMEOUT_S };
  event_base_loopexit (base, &limit);
  event_base_dispatch (base);
  assert_int_equal (inbox.count, 1);
  assert_string_equal (inbox.payload, "good");
  assert_int_equal (bgap_peer_counts (a)->malformed, 3);
  zmq_close (socket);
  zmq_ctx_term (zmq);
  bgap_peer_shutdown (a);
  event_base_free (base);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_messages_reach_a_replaced_peer),
    cmocka_unit_test (test_burst_is_read_completely),
    cmocka_unit_test (test_malformed_messages_are_counted),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
