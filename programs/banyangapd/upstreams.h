#ifndef BGAPD_UPSTREAMS_H
#define BGAPD_UPSTREAMS_H

/*
 * Table of the configured backend servers, and calls to them. Each server has
 * two connection pools: one for callers' requests, and a small one for hellos
 * and lease renewals, so that a busy server still gets its renewals.
 *
 *   bgap_upstreams_setup (&desc, &upstreams, &err);
 *   bgap_upstreams_sync (upstreams, set);
 *   struct bgap_upstream *upstream
 *     = bgap_upstreams_find (upstreams, "styrelsen.mosearkiv-1");
 *   bgap_upstream_call (upstreams, upstream, &call, &id);
 *   bgap_upstreams_shutdown (upstreams);
 */

#include <event2/event.h>
#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "banyangap/base/counters.h"
#include "banyangap/gateway/headers.h"
#include "banyangap/resource/set.h"

/* Size of "<owner>.<name>" in bytes, terminating zero included; the limit of
   the ownership and routing packages.  */
#define BGAP_UPSTREAM_NAME_SIZE 64

/**
 * struct bgap_upstream - one backend server
 * @name: "<owner>.<server>"
 * @service: "<owner>.<service>"
 * @resource: the server's resource
 * @entry_hosts_max: number of entry hosts that share the server's connections
 * @keyed: the service is keyed
 * @router_id: handle in the router, set by the user of the table
 * @request_pool: private
 * @control_pool: private
 * @probes_failed: number of successive probes that could not connect, set by
 *   the probes
 * @lost: the server counts as lost, set by the probes
 * @stale: private; not in the configuration that is being applied
 */
struct bgap_upstream
{
  char name[BGAP_UPSTREAM_NAME_SIZE];
  char service[BGAP_UPSTREAM_NAME_SIZE];
  struct bgap_resource_server resource;
  uint32_t entry_hosts_max;
  bool keyed;
  uint32_t router_id;
  uint32_t request_pool;
  uint32_t control_pool;
  uint32_t probes_failed;
  bool lost;
  bool stale;
  UT_hash_handle hh;
};

/**
 * enum bgap_call_end - how a call ended
 */
enum bgap_call_end
{
  BGAP_CALL_COMPLETE,
  BGAP_CALL_FENCED,
  BGAP_CALL_SHED,
  BGAP_CALL_DRAINING,
  BGAP_CALL_NO_CONNECT, /* the request was not sent */
  BGAP_CALL_BROKEN,
  BGAP_CALL_TIMEOUT
};

/**
 * struct bgap_call_ops - callbacks of a call
 * @head: status and headers of the answer
 * @body: a piece of the answer's body
 * @end: the call has ended; called exactly once, from the event loop, unless
 *   the call is cancelled
 */
struct bgap_call_ops
{
  void (*head) (void *user, int status, const struct bgap_headers *headers);
  void (*body) (void *user, const void *bytes, size_t size);
  void (*end) (void *user, enum bgap_call_end end);
};

/**
 * struct bgap_call - a call to start
 * @control: use the connection pool for hellos and renewals
 * @forwarder: name of the instance to send the request to instead of the
 *   server, or NULL
 * @body: must stay valid until the call has ended
 */
struct bgap_call
{
  bool control;
  const char *forwarder;
  const char *method;
  const char *target;
  const struct bgap_headers *headers;
  const void *body;
  size_t body_size;
  uint32_t deadline_ms;
  const struct bgap_call_ops *ops;
  void *user;
};

/**
 * struct bgap_upstreams_desc - options
 * @added: called after a server was added or its resource was applied again
 * @removed: called before a server is removed
 */
struct bgap_upstreams_desc
{
  struct event_base *base;
  struct bgap_counters *counters;
  void (*added) (void *context, struct bgap_upstream *upstream);
  void (*removed) (void *context, struct bgap_upstream *upstream);
  void *context;
};

struct bgap_upstreams;

enum bgap_status bgap_upstreams_setup (const struct bgap_upstreams_desc *desc,
                                       struct bgap_upstreams **out,
                                       struct bgap_error *err);

/**
 * bgap_upstreams_shutdown() - cancel all calls, without callbacks, and free
 * the table; NULL is allowed
 */
void bgap_upstreams_shutdown (struct bgap_upstreams *upstreams);

/**
 * bgap_upstreams_sync() - add, change and remove servers as configured
 */
void bgap_upstreams_sync (struct bgap_upstreams *upstreams,
                          const struct bgap_resource_set *set);

struct bgap_upstream *
bgap_upstreams_find (const struct bgap_upstreams *upstreams, const char *name);

/**
 * bgap_upstreams_first() - first server; its @hh.next is the next one
 */
struct bgap_upstream *
bgap_upstreams_first (const struct bgap_upstreams *upstreams);

/**
 * bgap_upstreams_set_forwarder() - add an instance that forwards requests to
 * servers that do not check grants, or change its address
 */
void bgap_upstreams_set_forwarder (struct bgap_upstreams *upstreams,
                                   const char *name, const char *address);

/**
 * bgap_upstream_call() - start a call
 * @id: gets the handle of the call
 *
 * Return: BGAP_OK, or an error, after which nothing was sent and no callback
 * follows.
 */
enum bgap_status bgap_upstream_call (struct bgap_upstreams *upstreams,
                                     const struct bgap_upstream *upstream,
                                     const struct bgap_call *call,
                                     uint32_t *id);

/**
 * bgap_upstreams_cancel() - cancel a call; no callback follows
 */
void bgap_upstreams_cancel (struct bgap_upstreams *upstreams, uint32_t id);

/**
 * bgap_upstreams_pause() - pause or resume reading of the response
 */
void bgap_upstreams_pause (struct bgap_upstreams *upstreams, uint32_t id,
                           bool paused);

#endif
