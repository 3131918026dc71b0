#include <stdio.h>

#include "commands.h"
#include "output.h"

static double
_bgap_route_real (const json_t *object, const char *name)
{
  return json_number_value (json_object_get (object, name));
}

static void
_bgap_route_append_number (struct bgap_buffer *path, const char *name,
                           int64_t number)
{
  if (number >= 0)
    bgap_buffer_printf (path, "&%s=%lld", name, (long long)number);
}

static void
_bgap_route_append_path (const struct bgap_ctl_options *options,
                         struct bgap_buffer *path)
{
  bgap_buffer_printf (path, "/route?host=");
  bgap_ctl_append_encoded (path, options->args[0]);
  bgap_buffer_printf (path, "&path=");
  bgap_ctl_append_encoded (path, options->args[1]);
  if (options->method != NULL)
    {
      bgap_buffer_printf (path, "&method=");
      bgap_ctl_append_encoded (path, options->method);
    }
  _bgap_route_append_number (path, "key", options->key);
  _bgap_route_append_number (path, "deadline_ms", options->deadline_ms);
}

static void
_bgap_route_print_request (const json_t *json)
{
  const json_t *route = json_object_get (json, "route");
  const json_t *targets = json_object_get (route, "targets");
  printf ("instance %s, configuration %lld (%lld ms old), registrations %lld "
          "ms old\n",
          bgap_ctl_text (json, "instance"),
          (long long)bgap_ctl_number (json, "config_version"),
          (long long)bgap_ctl_number (json, "config_age_ms"),
          (long long)bgap_ctl_number (json, "registrations_age_ms"));
  printf ("  route %s (%s%s) to service %s", bgap_ctl_text (route, "name"),
          bgap_ctl_text (route, "host"), bgap_ctl_text (route, "prefix"),
          bgap_ctl_text (json, "service"));
  for (size_t i = 0;
       json_array_size (targets) > 1 && i < json_array_size (targets); i++)
    {
      const json_t *target = json_array_get (targets, i);
      printf ("%s%s %lld", i == 0 ? "; split: " : ", ",
              bgap_ctl_text (target, "service"),
              (long long)bgap_ctl_number (target, "weight"));
    }
  putchar ('\n');
  if (json_object_get (json, "class") == NULL)
    return;
  printf ("  class %s, at most %lld attempts, deadline %lld ms, expected cost "
          "%.0f ms, %lld of %lld waiting\n",
          bgap_ctl_text (json, "class"),
          (long long)bgap_ctl_number (json, "attempts_max"),
          (long long)bgap_ctl_number (json, "deadline_ms"),
          _bgap_route_real (json, "cost_ms"),
          (long long)bgap_ctl_number (json, "waiting"),
          (long long)bgap_ctl_number (json, "queue_limit"));
}

static void
_bgap_route_print_key (const json_t *key)
{
  if (key == NULL)
    return;
  printf ("  key %lld in %lld to %lld: %s, holder %s, token %lld%s",
          (long long)bgap_ctl_number (key, "key"),
          (long long)bgap_ctl_number (key, "first"),
          (long long)bgap_ctl_number (key, "last"),
          bgap_ctl_text (key, "state"), bgap_ctl_text (key, "holder"),
          (long long)bgap_ctl_number (key, "token"),
          json_is_true (json_object_get (key, "holder_usable"))
              ? ""
              : ", gets no requests");
  if (bgap_ctl_number (key, "outage_ms") > 0)
    printf (", requests found no holder for %lld ms",
            (long long)bgap_ctl_number (key, "outage_ms"));
  putchar ('\n');
}

static void
_bgap_route_print_candidate (const json_t *json)
{
  const char *excluded = bgap_ctl_text (json, "excluded");
  printf ("  %-20s %-8s expected %.0f ms, work %.0f ms, %lld+%lld requests, "
          "%lld slots",
          bgap_ctl_text (json, "server"), bgap_ctl_text (json, "zone"),
          _bgap_route_real (json, "expected_ms"),
          _bgap_route_real (json, "work_ms"),
          (long long)bgap_ctl_number (json, "in_flight"),
          (long long)bgap_ctl_number (json, "others"),
          (long long)bgap_ctl_number (json, "slots"));
  if (bgap_ctl_number (json, "load_age_ms") >= 0)
    printf (", load %lld %% (%lld ms old)",
            (long long)bgap_ctl_number (json, "load_percent"),
            (long long)bgap_ctl_number (json, "load_age_ms"));
  else
    printf (", no load report");
  if (bgap_ctl_number (json, "cold_ms") > 0)
    printf (", cold for %lld ms, %lld permits",
            (long long)bgap_ctl_number (json, "cold_ms"),
            (long long)bgap_ctl_number (json, "permits"));
  if (excluded[0] != '\0')
    printf (": %s", excluded);
  if (bgap_ctl_number (json, "excluded_ms") > 0)
    printf (" for %lld ms", (long long)bgap_ctl_number (json, "excluded_ms"));
  putchar ('\n');
}

static void
_bgap_route_print (const json_t *json)
{
  const json_t *decision = json_object_get (json, "decision");
  const json_t *candidates = json_object_get (json, "candidates");
  const char *reason = bgap_ctl_text (decision, "reason");
  const char *server = bgap_ctl_text (decision, "server");
  _bgap_route_print_request (json);
  _bgap_route_print_key (json_object_get (json, "key"));
  for (size_t i = 0; i < json_array_size (candidates); i++)
    _bgap_route_print_candidate (json_array_get (candidates, i));
  printf ("  decision: %s", bgap_ctl_text (decision, "step"));
  if (server[0] != '\0')
    printf (" %s %s",
            bgap_ctl_number (decision, "position") > 0 ? "for" : "to", server);
  if (bgap_ctl_number (decision, "position") > 0)
    printf (", place %lld, wait %.0f ms",
            (long long)bgap_ctl_number (decision, "position"),
            _bgap_route_real (decision, "wait_ms"));
  if (_bgap_route_real (decision, "expected_ms") > 0)
    printf (", expected after %.0f ms",
            _bgap_route_real (decision, "expected_ms"));
  if (reason[0] != '\0')
    printf (" with %lld: %s, retry after %lld ms",
            (long long)bgap_ctl_number (decision, "status"), reason,
            (long long)bgap_ctl_number (decision, "retry_after_ms"));
  putchar ('\n');
}

/* Asks one instance; appends its answer to @answers if that is not NULL.  */
static enum bgap_ctl_exit
_bgap_route_ask (const struct bgap_ctl_options *options, const char *address,
                 const char *path, json_t *answers)
{
  struct bgap_ctl_options one = *options;
  json_t *json;
  one.address = address;
  const enum bgap_ctl_exit status = bgap_ctl_get (&one, path, &json);
  if (status != BGAP_CTL_OK)
    return status;
  if (answers != NULL)
    json_array_append (answers, json);
  else
    _bgap_route_print (json);
  json_decref (json);
  return BGAP_CTL_OK;
}

enum bgap_ctl_exit
bgap_ctl_route (const struct bgap_ctl_options *options)
{
  struct bgap_buffer path = { 0 };
  enum bgap_ctl_exit worst = BGAP_CTL_OK;
  json_t *answers = options->json ? json_array () : NULL;
  if (options->args[0][0] == '\0' || options->args[1][0] != '/')
    {
      json_decref (answers);
      return bgap_ctl_usage ("route needs HOST and a PATH with a slash");
    }
  _bgap_route_append_path (options, &path);
  for (int i = 2; i < options->arg_count || i == 2; i++)
    {
      const char *address
          = options->arg_count > 2 ? options->args[i] : options->address;
      const enum bgap_ctl_exit status
          = _bgap_route_ask (options, address, path.data, answers);
      worst = status > worst ? status : worst;
    }
  if (answers != NULL)
    bgap_ctl_print_json (answers, true);
  json_decref (answers);
  bgap_buffer_shutdown (&path);
  return worst;
}
