/* Open-loop HTTP load generator for a target that is already running. Requests
   are scheduled at a fixed rate, whether or not earlier ones have completed.
   The latency of a request is measured from its scheduled start and includes
   the wait for a connection. Only loopback targets are accepted.  */

#include <event2/event.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <time.h>

#include "banyangap/base/random.h"
#include "banyangap/gateway/backend.h"
#include "load_options.h"
#include "load_report.h"

/* Limit on the requests of one run. It bounds the memory for latencies, which
   take 4 bytes each.  */
#define REQUESTS_MAX 50000000

/* Limit on requests that wait for a connection. Further ones are counted as
   dropped.  */
#define QUEUE_MAX 100000

#define PATH_SIZE 512

#define TICK_INTERVAL_US 1000

enum request_kind
{
  REQUEST_KEYED_READ,
  REQUEST_WRITE,
  REQUEST_PLAIN_READ
};

struct load;

struct request
{
  STAILQ_ENTRY (request) next;
  struct load *load;
  int64_t scheduled_us;
  enum request_kind kind;
  uint64_t key;
  int status;
};

struct load
{
  struct load_options options;
  struct event_base *base;
  struct event *tick;
  struct bgap_backend *backend;
  struct bgap_backend_server_id server;
  struct bgap_random random;
  char body[BODY_SIZE_MAX];
  STAILQ_HEAD (, request) queue;
  size_t queue_length;
  int64_t start_us;
  uint64_t planned;
  uint64_t scheduled;
  uint64_t outstanding;
  struct load_report report;
};

static int64_t
_bgap_load_now_us (clockid_t id)
{
  struct timespec ts = { 0 };
  clock_gettime (id, &ts);
  return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

static void _bgap_load_send_queued (struct load *load);

static void
_bgap_load_finish_request (struct request *request, bool is_complete)
{
  struct load *load = request->load;
  int64_t us = _bgap_load_now_us (CLOCK_MONOTONIC) - request->scheduled_us;
  if (is_complete)
    {
      load->report.latencies_us[load->report.complete++]
          = us < 0 ? 0 : (us > UINT32_MAX ? UINT32_MAX : (uint32_t)us);
      load->report.statuses[request->status]++;
      if (request->status >= 200 && request->status < 300)
        load->report.successes++;
    }
  free (request);
  load->outstanding--;
  _bgap_load_send_queued (load);
}

static void
_bgap_load_on_head (void *user, struct bgap_backend_attempt_id id, int status,
                    const struct bgap_headers *headers)
{
  struct request *request = user;
  const char *text = bgap_headers_find (headers, "Bgap-Outcome");
  int outcome = 0;
  (void)id;
  request->status = status;
  while (outcome < LOAD_OUTCOME_MISSING
         && (text == NULL || strcmp (text, load_outcome_names[outcome]) != 0))
    outcome++;
  request->load->report.outcomes[outcome]++;
}

static void
_bgap_load_on_complete (void *user, struct bgap_backend_attempt_id id)
{
  (void)id;
  _bgap_load_finish_request (user, true);
}

static void
_bgap_load_on_refused (void *user, struct bgap_backend_attempt_id id,
                       enum bgap_refusal refusal)
{
  struct request *request = user;
  (void)id;
  (void)refusal;
  request->load->report.refusals++;
  _bgap_load_finish_request (request, false);
}

static void
_bgap_load_on_failed (void *user, struct bgap_backend_attempt_id id,
                      const struct bgap_backend_failure *failure)
{
  struct request *request = user;
  (void)id;
  request->load->report.failures[failure->kind]++;
  _bgap_load_finish_request (request, false);
}

static const struct bgap_backend_ops ops = {
  .head = _bgap_load_on_head,
  .complete = _bgap_load_on_complete,
  .refused = _bgap_load_on_refused,
  .failed = _bgap_load_on_failed,
};

/* Replaces the first {key} of the pattern with a key name.  */
static void
_bgap_load_format_path (char path[PATH_SIZE], const char *pattern,
                        uint64_t key)
{
  const char *placeholder = strstr (pattern, "{key}");
  if (placeholder == NULL)
    snprintf (path, PATH_SIZE, "%s", pattern);
  else
    snprintf (path, PATH_SIZE, "%.*sk%llu%s", (int)(placeholder - pattern),
              pattern, (unsigned long long)key, placeholder + 5);
}

/* Formats a random UUIDv7 (RFC 9562).  */
static void
_bgap_load_format_uuid7 (struct bgap_random *random, char text[37])
{
  uint64_t ms = (uint64_t)_bgap_load_now_us (CLOCK_REALTIME) / 1000;
  uint64_t a = bgap_random_next (random);
  uint64_t b = bgap_random_next (random);
  snprintf (text, 37, "%08llx-%04llx-7%03llx-%04llx-%012llx",
            (unsigned long long)(ms >> 16 & 0xffffffff),
            (unsigned long long)(ms & 0xffff), (unsigned long long)(a & 0xfff),
            (unsigned long long)(0x8000 | (a >> 16 & 0x3fff)),
            (unsigned long long)(b & 0xffffffffffff));
}

static enum bgap_status
_bgap_load_send (struct load *load, struct request *request)
{
  const struct load_options *o = &load->options;
  const char *const patterns[]
      = { o->read_path, o->write_path, o->plain_path };
  struct bgap_headers headers = { 0 };
  struct bgap_backend_attempt_id id;
  char path[PATH_SIZE];
  char text[37];
  bool is_write = request->kind == REQUEST_WRITE;
  _bgap_load_format_path (path, patterns[request->kind], request->key);
  if (is_write)
    {
      _bgap_load_format_uuid7 (&load->random, text);
      bgap_headers_add (&headers, "Idempotency-Key", text);
    }
  snprintf (text, sizeof text, "%ld", o->deadline_ms);
  bgap_headers_add (&headers, "Bgap-Deadline-Ms", text);
  enum bgap_status status = bgap_backend_send (
      load->backend, load->server,
      &(struct bgap_backend_request){
          .method = is_write ? "POST" : "GET",
          .target = path,
          .headers = &headers,
          .body = load->body,
          .body_size = is_write ? (size_t)o->body_size : 0,
          .deadline_ms = (uint32_t)o->deadline_ms * 2,
          .ops = &ops,
          .user = request },
      &id);
  bgap_headers_shutdown (&headers);
  return status;
}

static void
_bgap_load_send_queued (struct load *load)
{
  struct request *request;
  while ((request = STAILQ_FIRST (&load->queue)) != NULL
         && bgap_backend_free_connections (load->backend, load->server) > 0)
    {
      STAILQ_REMOVE_HEAD (&load->queue, next);
      load->queue_length--;
      if (_bgap_load_send (load, request) == BGAP_OK)
        continue;
      load->report.dropped++;
      load->outstanding--;
      free (request);
    }
}

static void
_bgap_load_enqueue (struct load *load)
{
  const struct load_options *o = &load->options;
  struct request *request = calloc (1, sizeof *request);
  uint64_t n = load->scheduled++;
  if (request == NULL || load->queue_length >= QUEUE_MAX)
    {
      free (request);
      load->report.dropped++;
      return;
    }
  long percent = (long)bgap_random_below (&load->random, 100);
  request->load = load;
  request->scheduled_us
      = load->start_us + (int64_t)(n * 1000000 / (uint64_t)o->rate);
  request->key = bgap_random_below (&load->random, (uint64_t)o->keys);
  request->kind = REQUEST_PLAIN_READ;
  if (percent < o->keyed_reads)
    request->kind = REQUEST_KEYED_READ;
  else if (percent < o->keyed_reads + o->writes)
    request->kind = REQUEST_WRITE;
  STAILQ_INSERT_TAIL (&load->queue, request, next);
  load->queue_length++;
  load->outstanding++;
}

static void
_bgap_load_on_tick (evutil_socket_t fd, short events, void *user)
{
  struct load *load = user;
  (void)fd;
  (void)events;
  int64_t elapsed = _bgap_load_now_us (CLOCK_MONOTONIC) - load->start_us;
  uint64_t due = (uint64_t)elapsed * (uint64_t)load->options.rate / 1000000;
  if (due > load->planned)
    due = load->planned;
  while (load->scheduled < due)
    _bgap_load_enqueue (load);
  _bgap_load_send_queued (load);
  if (load->scheduled == load->planned && load->outstanding == 0)
    event_base_loopexit (load->base, NULL);
}

static int
_bgap_load_fail (const char *message)
{
  fprintf (stderr, "bench_load: %s\n", message);
  return 1;
}

int
main (int argc, char **argv)
{
  static struct load load = {
    .options = LOAD_OPTIONS_DEFAULT,
  };
  const struct load_options *o = &load.options;
  load_options_parse (argc, argv, &load.options);
  if (strncmp (o->target, "127.", 4) != 0
      && strncmp (o->target, "[::1]:", 6) != 0)
    return _bgap_load_fail (
        "--target must be a loopback address, 127.x.x.x or [::1]");
  load.planned = (uint64_t)o->rate * (uint64_t)o->seconds;
  if (load.planned == 0 || load.planned > REQUESTS_MAX || o->keys == 0
      || o->connections == 0 || o->deadline_ms == 0)
    return _bgap_load_fail ("--rate, --seconds, --keys, --connections and "
                            "--deadline-ms must not be 0, and --rate times "
                            "--seconds must not exceed 50000000");
  load.report.latencies_us
      = calloc (load.planned, sizeof *load.report.latencies_us);
  struct event_config *config = event_config_new ();
  /* Without this flag, timers have a resolution of 1 ms.  */
  event_config_set_flag (config, EVENT_BASE_FLAG_PRECISE_TIMER);
  load.base = event_base_new_with_config (config);
  event_config_free (config);
  load.random.state = (uint64_t)o->seed;
  memset (load.body, 'x', sizeof load.body);
  STAILQ_INIT (&load.queue);
  if (load.report.latencies_us == NULL || load.base == NULL)
    return _bgap_load_fail ("out of memory");
  struct bgap_error err = { 0 };
  const struct bgap_backend_desc desc = { .base = load.base };
  if (bgap_backend_setup (&load.backend, &desc, &err) != BGAP_OK
      || bgap_backend_add_server (load.backend, o->target,
                                  (uint32_t)o->connections, &load.server, &err)
             != BGAP_OK)
    return _bgap_load_fail (err.message);
  const struct timeval tick = { .tv_usec = TICK_INTERVAL_US };
  load.tick = event_new (load.base, -1, EV_PERSIST, _bgap_load_on_tick, &load);
  event_add (load.tick, &tick);
  load.start_us = _bgap_load_now_us (CLOCK_MONOTONIC);
  event_base_dispatch (load.base);
  printf ("%-24s %ld requests/s for %ld s on %ld connections\n", "load",
          o->rate, o->seconds, o->connections);
  load_report_print (
      &load.report,
      (double)(_bgap_load_now_us (CLOCK_MONOTONIC) - load.start_us) / 1e6);
  event_free (load.tick);
  bgap_backend_shutdown (load.backend);
  event_base_free (load.base);
  free (load.report.latencies_us);
  return 0;
}
