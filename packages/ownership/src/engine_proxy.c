#include "engine_private.h"

#include <stdlib.h>
#include <string.h>

#include "banyangap/ownership/lease.h"

/* Servers for which one instance may hold leases.  */
#define PROXIES_MAX 256

static int32_t
_bgap_engine_proxy_find (const struct bgap_engine *engine, const char *name)
{
  for (uint32_t i = 0; i < engine->holder_count; i++)
    if (strcmp (engine->holder_names[i], name) == 0)
      return (int32_t)i;
  return -1;
}

/* Holder of the lease @name, "<server>@<this instance>", which is created on
   its first use.  */
static struct bgap_holder *
_bgap_engine_proxy (struct bgap_engine *engine, const char *name)
{
  const char *instance = strchr (name, '@');
  if (instance == NULL || strcmp (instance + 1, engine->self) != 0)
    return NULL;
  int32_t known = _bgap_engine_proxy_find (engine, name);
  if (known >= 0)
    return engine->holders[known];
  if (engine->holders == NULL)
    engine->holders = calloc (PROXIES_MAX, sizeof (struct bgap_holder *));
  if (engine->holder_names == NULL)
    engine->holder_names = calloc (PROXIES_MAX, sizeof *engine->holder_names);
  if (!engine->holders || !engine->holder_names
      || engine->holder_count == PROXIES_MAX)
    return NULL;
  struct bgap_holder *holder;
  if (bgap_holder_setup (&holder,
                         &(struct bgap_holder_desc){
                             .incarnation = engine->desc.incarnation })
      != BGAP_OK)
    return NULL;
  memcpy (engine->holder_names[engine->holder_count], name, strlen (name) + 1);
  engine->holders[engine->holder_count++] = holder;
  return holder;
}

void
bgap_engine_proxy_shutdown (struct bgap_engine *engine)
{
  for (uint32_t i = 0; i < engine->holder_count; i++)
    bgap_holder_shutdown (engine->holders[i]);
  free (engine->holders);
  free (engine->holder_names);
}

/* Runs a hello or renewal on the holder it is for; false without a reply.  */
static bool
_bgap_engine_proxy_run (struct bgap_engine *engine,
                        const struct bgap_message *message,
                        struct bgap_buffer *reply)
{
  struct bgap_error err = { 0 };
  struct bgap_holder *holder = _bgap_engine_proxy (engine, message->service);
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
bgap_engine_proxy_message (struct bgap_engine *engine, const char *from,
                           const struct bgap_message *message)
{
  struct bgap_buffer text = { 0 };
  if (message->kind == BGAP_MESSAGE_RENEW_REPLY)
    {
      /* Only the instance that holds a lease answers for it.  */
      const char *instance = strchr (message->service, '@');
      if (message->record_count == 1 && instance
          && strcmp (instance + 1, from) == 0)
        bgap_engine_on_server_reply (engine, message->service,
                                     message->records[0].data,
                                     message->records[0].size, engine->now_ms);
      return;
    }
  if (_bgap_engine_proxy_run (engine, message, &text))
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
  else if (_bgap_engine_proxy_run (engine, message, &text))
    bgap_engine_on_server_reply (engine, message->service, text.data,
                                 text.size, engine->now_ms);
  bgap_buffer_shutdown (&text);
}

static struct bgap_holder *
_bgap_engine_holder (const struct bgap_engine *engine, const char *server)
{
  size_t length = strlen (server);
  for (uint32_t i = 0; i < engine->holder_count; i++)
    if (strncmp (engine->holder_names[i], server, length) == 0
        && engine->holder_names[i][length] == '@')
      return engine->holders[i];
  return NULL;
}

const struct bgap_holder *
bgap_engine_holder (const struct bgap_engine *engine, const char *server)
{
  return _bgap_engine_holder (engine, server);
}

enum bgap_holder_verdict
bgap_engine_begin (struct bgap_engine *engine, const char *server,
                   const char *service, const void *key, size_t key_size,
                   uint64_t token, int64_t now_ms, uint32_t *request)
{
  struct bgap_holder *holder = _bgap_engine_holder (engine, server);
  return holder ? bgap_holder_begin (holder, service, key, key_size, token,
                                     now_ms, request)
                : BGAP_HOLDER_NO_LEASE;
}

void
bgap_engine_end (struct bgap_engine *engine, const char *server,
                 uint32_t request)
{
  struct bgap_holder *holder = _bgap_engine_holder (engine, server);
  if (holder)
    bgap_holder_end (holder, request);
}
