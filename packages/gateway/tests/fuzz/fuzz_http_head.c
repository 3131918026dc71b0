#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "banyangap/gateway/backend.h"
#include "http_head.h"

/* The lowest bit of the first byte selects request or response.  */
int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
_check_framing (const struct bgap_http_head *head)
{
  size_t lengths = 0;
  size_t encodings = 0;
  for (size_t i = 0; i < head->headers.count; i++)
    {
      const struct bgap_header *header = &head->headers.items[i];
      if (strpbrk (header->name, "\r\n: ") != NULL
          || strpbrk (header->value, "\r\n") != NULL)
        abort ();
      lengths += strcasecmp (header->name, "Content-Length") == 0;
      encodings += strcasecmp (header->name, "Transfer-Encoding") == 0;
    }
  if (lengths + encodings > 1
      || (head->framing == BGAP_HTTP_LENGTH) != (lengths == 1)
      || (head->framing == BGAP_HTTP_CHUNKED) != (encodings == 1))
    abort ();
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct bgap_http_head head;
  struct bgap_error err = { 0 };
  if (size == 0)
    return 0;
  enum bgap_http_kind kind
      = data[0] & 1 ? BGAP_HTTP_RESPONSE : BGAP_HTTP_REQUEST;
  struct evbuffer *input = evbuffer_new ();
  evbuffer_add (input, data + 1, size - 1);
  size_t head_size = 0;
  if (bgap_http_head_find (input, 2048, &head_size) != BGAP_OK
      || head_size == 0)
    {
      evbuffer_free (input);
      return 0;
    }
  const char *bytes = (const char *)evbuffer_pullup (input, -1);
  if (bgap_http_head_parse (&head, kind, bytes, head_size, &err) == BGAP_OK)
    {
      _check_framing (&head);
      if (kind == BGAP_HTTP_REQUEST
          && (head.method == NULL || head.target == NULL
              || head.target[0] != '/' || strpbrk (head.target, " \r\n#")))
        abort ();
      if (kind == BGAP_HTTP_RESPONSE
          && (head.status < 100 || head.status > 599))
        abort ();
      const char *refused = bgap_headers_find (&head.headers, "Bgap-Refused");
      if (refused != NULL && bgap_refusal_parse (refused) != BGAP_REFUSAL_NONE
          && strcmp (bgap_refusal_name (bgap_refusal_parse (refused)), refused)
                 != 0)
        abort ();
      bgap_headers_remove_hop_by_hop (&head.headers);
      if (bgap_headers_find (&head.headers, "Connection") != NULL
          || bgap_headers_find (&head.headers, "Transfer-Encoding") != NULL)
        abort ();
    }
  bgap_http_head_shutdown (&head);
  evbuffer_free (input);
  return 0;
}
