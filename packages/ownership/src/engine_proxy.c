#include "engine_private.h"

#include <stdlib.h>
#include <string.h>

#include "banyangap/ownership/lease.h"

/* Maximum number of servers for which one instance holds leases.  */
#define PROXIES_MAX 256

static int32_t
_bgap_engine_proxy_find (const struct bgap_engine *engine, const char *name)
{
  for (uint32_t i = 0; i < engine->proxy_count; i++)
    if (strcmp (engine->proxy_names[i], name) == 0)
      return (int32_t)i;
  return -1;
}

/* Returns the holder @name, "<server>@<this instance>", which is created on
   first use, or NULL.  */
static struct bgap_holder *
_bgap_engine_proxy_get (struct bgap_engine *engine, const char *name)
{
  const char *instance = strchr (name, '@');
  if (instance == NULL || strcmp (instance + 1, engine->self) != 0)
    return NULL;
  int32_t known = _bgap_engine_proxy_find (engine, name);
  if (known >= 0)
    return engine->proxies[known];
  if (engine->proxies == NULL)
    engine->proxies = calloc (PROXIES_MAX, sizeof (struct bgap_holder *));
  if (engine->proxy_names == NULL)
    engine->proxy_names = calloc (PROXIES_MAX, sizeof *engine->proxy_names);
  if (!engine->proxies || !engine->proxy_names
      || engine->proxy_count == PROXIES_MAX)
    return NULL;
  struct bgap_holder *holder;
  if (bgap_holder_setup (&holder,
                         &(struct bgap_holder_desc){
                             .incarnation = engine->desc.incarnation })
      != BGAP_OK)
    return NULL;
  memcpy (engine->proxy_names[engine->proxy_count], name, strlen (name) + 1);
  engine->proxies[engine->proxy_count++] = holder;
  return holder;
}

void
bgap_engine_proxy_shutdown (struct bgap_engine *engine)
{
  for (uint32_t i = 0; i < engine->proxy_count; i++)
    bgap_holder_shutdown (engine->proxies[i]);
  free (engine->proxies);
  free (engine->proxy_names);
}

/* Passes a hello or renewal to its holder; false if there is no reply.  */
static bool
_bgap_engine_proxy_handle (struct bgap_engine *engine,
                           const struct bgap_message *message,
                           struct bgap_buffer *reply)
{
  struct bgap_error err = { 0 };
  struct bgap_holder *holder
      = _bgap_engine_proxy_get (engine, message->service);
  if (holder == NULL)
    return false;
  if (message->kind == BGAP_MESSAGE_HELLO)
    return bgap_holder_on_hello (holder, engine->now_ms, reply) == BGAP_OK;
  return message->kind == BGAP_MESSAGE_RENEW && message->record_count == 1
         && bgap_holder_on_renew (holder, message->records[0].data,
                                  message->records[0].size, engine->now_ms,
                                  reply, &err)
                == BGAP_OK;
}

void
bgap_engine_on_proxy_message (struct bgap_engine *engine, const char *from,
                              const struct bgap_message *message)
{
  struct bgap_buffer text = { 0 };
  if (message->kind == BGAP_MESSAGE_RENEW_REPLY)
    {
      /* Only the instance that holds a lease may reply for it.  */
      const char *instance = strchr (message->service, '@');
      if (message->record_count == 1 && instance
          && strcmp (instance + 1, from) == 0)
        bgap_engine_on_server_reply (engine, message->service,
                                     message->records[0].data,
                                     message->records[0].size, engine->now_ms);
      return;
    }
  if (_bgap_engine_proxy_handle (engine, message, &text))
    {
      struct bgap_bytes body = { text.data, text.size };
      struct bgap_message reply = { .kind = BGAP_MESSAGE_RENEW_REPLY,
                                    .records = &body,
                                    .record_count = 1 };
      memcpy (reply.service, message->service, sizeof reply.service);
      bgap_engine_send (engine, from, &reply);
    }
  bgap_buffer_shutdown (&text);
}

void
bgap_engine_proxy_send (struct bgap_engine *engine, int32_t member,
                        const struct bgap_message *message)
{
  struct bgap_buffer text = { 0 };
  if (member != engine->self_member)
    bgap_engine_send (engine, engine->members[member].name, message);
  else if (_bgap_engine_proxy_handle (engine, message, &text))
    bgap_engine_on_server_reply (engine, message->service, text.data,
                                 text.size, engine->now_ms);
  bgap_buffer_shutdown (&text);
}

static struct bgap_holder *
_bgap_engine_holder (const struct bgap_engine *engine, const char *server)
{
  size_t length = strlen (server);
  for (uint32_t i = 0; i < engine->proxy_count; i++)
    if (strncmp (engine->proxy_names[i], server, length) == 0
        && engine->proxy_names[i][length] == '@')
      return engine->proxies[i];
  return NULL;
}

const struct bgap_holder *
bgap_engine_holder (const struct bgap_engine *engine, const char *server)
{
  return _bgap_engine_holder (engine, server);
}

enum bgap_holder_verdict
bgap_engine_begin_request (struct bgap_engine *engine, const char *server,
                           const char *service, const void *key,
                           size_t key_size, uint64_t token, int64_t now_ms,
                           uint32_t *request)
{
  struct bgap_holder *holder = _bgap_engine_holder (engine, server);
  return holder ? bgap_holder_begin (holder, service, key, key_size, token,
                                     now_ms, request)
                : BGAP_HOLDER_NO_LEASE;
}

void
bgap_engine_end_request (struct bgap_engine *engine, const char *server,
                         uint32_t request)
{
  struct bgap_holder *holder = _bgap_engine_holder (engine, server);
  if (holder)
    bgap_holder_end (holder, request);
}
