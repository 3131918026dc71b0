#ifndef BANYANGAP_LOGSERVICE_LOG_CALL_H
#define BANYANGAP_LOGSERVICE_LOG_CALL_H

/*
 * Calls in progress of the log service client, and its queues of appends.
 */

#include <event2/event_struct.h>
#include <stdbool.h>
#include <sys/queue.h>

#include "banyangap/logservice/http_client.h"
#include "banyangap/logservice/log_http.h"

union log_done
{
  void (*append) (void *user, const struct bgap_log_append_result *result);
  void (*read) (void *user, const struct bgap_log_read_result *result);
  void (*bounds) (void *user, const struct bgap_log_bounds_result *result);
};

/**
 * struct log_call - a call in progress
 * @stream, @from, @limit, @wait_ms: of a read
 * @record: of an append, @size bytes
 */
struct log_call
{
  LIST_ENTRY (log_call) next;
  TAILQ_ENTRY (log_call) queued;
  struct bgap_log_http *http;
  struct append_queue *queue;
  struct event timer;
  union log_done done;
  void *user;
  char stream[BGAP_LOG_STREAM_NAME_MAX + 1];
  int64_t from;
  uint32_t limit;
  uint32_t wait_ms;
  size_t size;
  char record[];
};

TAILQ_HEAD (log_call_queue, log_call);
LIST_HEAD (log_call_list, log_call);

/* Queue of the appends of one stream; freed when it becomes empty. If
   @running, the first append is in flight; the others are queued.  */
struct append_queue
{
  LIST_ENTRY (append_queue) next;
  struct log_call_queue calls;
  bool running;
  char stream[BGAP_LOG_STREAM_NAME_MAX + 1];
};

LIST_HEAD (append_queue_list, append_queue);

struct bgap_log_http
{
  struct bgap_log_http_desc desc;
  struct bgap_http_client *client;
  struct log_call_list calls;
  uint32_t call_count;
  struct append_queue_list queues;
};

/**
 * bgap_log_stream_is_valid() - whether @stream is a valid stream name
 */
bool bgap_log_stream_is_valid (const char *stream);

/**
 * bgap_log_call_new() - allocate and register a call with a copy of its record
 *
 * Return: BGAP_OK, BGAP_ERR_FULL or BGAP_ERR_NO_MEMORY.
 */
enum bgap_status bgap_log_call_new (struct bgap_log_http *http,
                                    const void *record, size_t size,
                                    void *user, struct log_call **out);

/**
 * bgap_log_call_free() - unregister and free a call
 */
void bgap_log_call_free (struct log_call *call);

/**
 * bgap_log_classify_response() - derive the outcome of a call from its
 * response
 */
enum bgap_answer
bgap_log_classify_response (const struct bgap_http_response *response);

/**
 * bgap_log_set_response_error() - set the message for a response whose
 * status is not 200
 */
void bgap_log_set_response_error (const struct bgap_http_response *response,
                                  struct bgap_error *err);

/**
 * bgap_log_http_append() - implementation of bgap_log_ops.append
 */
enum bgap_status bgap_log_http_append (
    void *context, const char *stream, const void *record, size_t size,
    void (*done) (void *user, const struct bgap_log_append_result *result),
    void *user);

/**
 * bgap_log_cancel_all() - free all queues and calls without completing them
 */
void bgap_log_cancel_all (struct bgap_log_http *http);

#endif
