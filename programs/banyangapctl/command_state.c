#include <stdio.h>
#include <string.h>

#include "commands.h"
#include "output.h"

/* Prints a line "name: value" per member; names of nested members are
   dotted paths.  */
static void
_bgap_ctl_print_members (const json_t *object, const char *prefix)
{
  const char *name;
  const json_t *value;
  json_object_foreach ((json_t *)object, name, value)
  {
    if (json_is_object (value))
      {
        struct bgap_buffer path = { 0 };
        bgap_buffer_printf (&path, "%s%s.", prefix, name);
        _bgap_ctl_print_members (value, path.data ? path.data : "");
        bgap_buffer_shutdown (&path);
        continue;
      }
    printf ("%s%s: ", prefix, name);
    if (json_is_string (value))
      puts (json_string_value (value));
    else
      bgap_ctl_print_json (value, false);
  }
}

static enum bgap_ctl_exit
_bgap_ctl_show (const struct bgap_ctl_options *options, const char *path)
{
  json_t *json;
  const enum bgap_ctl_exit status = bgap_ctl_get (options, path, &json);
  if (status != BGAP_CTL_OK)
    return status;
  if (options->json)
    bgap_ctl_print_json (json, true);
  else
    _bgap_ctl_print_members (json, "");
  json_decref (json);
  return BGAP_CTL_OK;
}

enum bgap_ctl_exit
bgap_ctl_dump (const struct bgap_ctl_options *options)
{
  json_t *json;
  const enum bgap_ctl_exit status = bgap_ctl_get (options, "/dump", &json);
  if (status != BGAP_CTL_OK)
    return status;
  bgap_ctl_print_json (json, true);
  json_decref (json);
  return BGAP_CTL_OK;
}

enum bgap_ctl_exit
bgap_ctl_explain (const struct bgap_ctl_options *options)
{
  const char *target = options->args[0];
  const char *slash = strchr (target, '/');
  const char *key = slash ? strchr (slash + 1, '/') : NULL;
  if (key == NULL || slash == target || key == slash + 1)
    return bgap_ctl_usage ("explain needs OWNER/SERVICE/KEY");
  struct bgap_buffer service = { 0 };
  struct bgap_buffer path = { 0 };
  bgap_buffer_printf (&service, "%.*s", (int)(key - target), target);
  bgap_buffer_printf (&path, "/explain?service=");
  bgap_ctl_append_encoded (&path, service.data);
  bgap_buffer_printf (&path, "&key=");
  bgap_ctl_append_encoded (&path, key + 1);
  const enum bgap_ctl_exit status = _bgap_ctl_show (options, path.data);
  bgap_buffer_shutdown (&service);
  bgap_buffer_shutdown (&path);
  return status;
}

static void
_bgap_ctl_print_faults (const json_t *json)
{
  const json_t *faults = json_object_get (json, "faults");
  for (size_t i = 0; i < json_array_size (faults); i++)
    {
      const json_t *fault = json_array_get (faults, i);
      printf ("%s %s %s: %s (%lld times)\n", bgap_ctl_text (fault, "service"),
              bgap_ctl_text (fault, "server"), bgap_ctl_text (fault, "kind"),
              bgap_ctl_text (fault, "message"),
              (long long)bgap_ctl_number (fault, "count"));
    }
  if (json_array_size (faults) == 0)
    puts ("no faults");
}

enum bgap_ctl_exit
bgap_ctl_faults (const struct bgap_ctl_options *options)
{
  json_t *json;
  const enum bgap_ctl_exit status
      = bgap_ctl_get_by_owner (options, "faults", "/faults", &json);
  if (status != BGAP_CTL_OK)
    return status;
  if (options->json)
    bgap_ctl_print_json (json, true);
  else
    _bgap_ctl_print_faults (json);
  json_decref (json);
  return BGAP_CTL_OK;
}

enum bgap_ctl_exit
bgap_ctl_version (const struct bgap_ctl_options *options)
{
  json_t *instance = NULL;
  enum bgap_ctl_exit status = BGAP_CTL_OK;
  if (options->address != NULL)
    status = bgap_ctl_get (options, "/status", &instance);
  if (options->json)
    {
      json_t *report = json_pack ("{s:s, s:O?}", "banyangapctl", BGAP_VERSION,
                                  "instance", instance);
      bgap_ctl_print_json (report, true);
      json_decref (report);
    }
  else
    {
      printf ("banyangapctl %s\n", BGAP_VERSION);
      if (instance != NULL)
        printf ("instance %s %s\n", bgap_ctl_text (instance, "instance"),
                bgap_ctl_text (instance, "version"));
    }
  json_decref (instance);
  return status;
}
