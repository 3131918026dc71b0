#ifndef BANYANGAP_REGISTRY_WIRE_H
#define BANYANGAP_REGISTRY_WIRE_H

/*
 * Names and formats that callers, servers and the store of a platform use, as
 * a table of functions. An implementation only encodes and decodes; it takes
 * no decisions.
 *
 *   const struct bgap_wire_ops *wire = bgap_platform_wire ();
 *   struct bgap_wire_request request;
 *   wire->read_request (&headers, &request);
 */

#include <stdbool.h>
#include <stdint.h>

#include "banyangap/base/buffer.h"
#include "banyangap/gateway/headers.h"
#include "banyangap/registry/route_table.h"
#include "banyangap/registry/server_view.h"

/* Size of a request id, terminating zero included; longer ones count
   as missing.  */
#define BGAP_WIRE_ID_SIZE 128

/**
 * struct bgap_wire_request - fields from the head of a request
 * @id: identifies this attempt of the caller; empty if missing or too long
 * @remaining_ms: how long the caller will wait, 0 if unknown
 * @has_key: whether @key is set
 * @key: key of the request, 0 to 65535
 */
struct bgap_wire_request
{
  char id[BGAP_WIRE_ID_SIZE];
  int64_t remaining_ms;
  bool has_key;
  uint32_t key;
};

/**
 * enum bgap_wire_number - whether a response states a number
 */
enum bgap_wire_number
{
  BGAP_WIRE_NUMBER_NONE,
  BGAP_WIRE_NUMBER_STATED,
  BGAP_WIRE_NUMBER_MALFORMED /* not a decimal number */
};

/**
 * struct bgap_wire_response - fields from the head of a server's response
 * @id_matches: it has the id of the request that was sent
 * @id_differs: it has the id of another request
 * @not_executed: the server did not run the request
 * @misdirected: another server has the address, or the server does not hold
 *   the key
 * @is_signed: it carries a server's signature
 * @has_load: whether @running, @waiting and @slots are set
 * @running, @waiting, @slots: requests that run and wait in the server, and
 *   how many it runs at a time
 * @slowdown_percent: how long work takes on the server's host at this moment,
 *   100 as usual; 0 if not stated or malformed
 * @limit: whether @limit_per_s is set
 * @limit_per_s: requests per second that the server accepts from all
 *   instances together
 * @is_leaving: the server shuts down and wants no new requests
 * @pause: whether @pause_ms is set
 * @pause_ms: time for which the server, which turned the request away, wants
 *   no requests of this instance; the longest one if it states several
 * @warmup: whether @warmup_ms is set
 * @warmup_ms: time until the server is warm, 0 if it is
 * @server: id of the server, empty if unknown
 */
struct bgap_wire_response
{
  bool id_matches;
  bool id_differs;
  bool not_executed;
  bool misdirected;
  bool is_signed;
  bool has_load;
  uint32_t running;
  uint32_t waiting;
  uint32_t slots;
  uint32_t slowdown_percent;
  enum bgap_wire_number limit;
  double limit_per_s;
  bool is_leaving;
  enum bgap_wire_number pause;
  double pause_ms;
  enum bgap_wire_number warmup;
  double warmup_ms;
  char server[BGAP_REGISTRY_NAME_SIZE];
};

/**
 * struct bgap_wire_grant - a grant or release of a range of keys
 * @first, @last: inclusive
 * @token: fencing token, which rises with each change of the holder
 * @lease_ms: how long the server may run requests for the keys
 * @handover: proof of the previous holder that it has stopped, or ""
 */
struct bgap_wire_grant
{
  uint32_t first;
  uint32_t last;
  uint64_t token;
  int64_t lease_ms;
  char handover[128];
};

/**
 * struct bgap_wire_ops - names and formats
 * @decode_routes: decode a configuration; NULL with the reason in @err if it
 *   is malformed
 * @decode_server: decode the registration of the server @id
 * @read_request: read the fields of a caller's request
 * @write_request: set the fields of an attempt: the remaining time and the id
 *   of the intended server
 * @read_response: read the fields of a server's response to the request @id
 * @request_id: name of the field with the id of a request or an order, which
 *   the server returns in its response
 * @grant_path, @release_path: paths to which grants and releases are sent
 * @encode_grant, @encode_release: append the body of a grant or release
 * @read_handover: proof from the response to a release, "" if there is none
 * @retry_after: name of the field that tells a caller when to retry
 */
struct bgap_wire_ops
{
  struct bgap_route_table *(*decode_routes) (const void *bytes, size_t size,
                                             struct bgap_error *err);
  enum bgap_status (*decode_server) (const char *id, const void *bytes,
                                     size_t size,
                                     struct bgap_server_entry *entry,
                                     struct bgap_error *err);
  void (*read_request) (const struct bgap_headers *headers,
                        struct bgap_wire_request *request);
  enum bgap_status (*write_request) (struct bgap_headers *headers,
                                     int64_t remaining_ms, const char *server);
  void (*read_response) (const struct bgap_headers *headers, int status,
                         const char *id, struct bgap_wire_response *response);
  const char *request_id;
  const char *grant_path;
  const char *release_path;
  enum bgap_status (*encode_grant) (const struct bgap_wire_grant *grant,
                                    struct bgap_buffer *out);
  enum bgap_status (*encode_release) (const struct bgap_wire_grant *grant,
                                      struct bgap_buffer *out);
  const char *(*read_handover) (const struct bgap_headers *headers);
  const char *retry_after;
};

#endif
