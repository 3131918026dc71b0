#include "output.h"

#include <stdio.h>
#include <stdlib.h>

void
bgap_ctl_print_json (const json_t *value, bool indent)
{
  json_dumpf (value, stdout,
              JSON_ENCODE_ANY | (indent ? JSON_INDENT (2) : JSON_COMPACT));
  putchar ('\n');
  fflush (stdout);
}

void
bgap_ctl_print_findings (const struct bgap_ctl_options *options,
                         const struct bgap_findings *findings)
{
  if (options->json)
    {
      json_t *report
          = json_pack ("{s:o}", "findings", bgap_findings_to_json (findings));
      bgap_ctl_print_json (report, true);
      json_decref (report);
      return;
    }
  struct bgap_buffer text = { 0 };
  bgap_findings_print (findings, &text);
  if (text.size > 0)
    fputs (text.data, stderr);
  bgap_buffer_shutdown (&text);
}

const char *
bgap_ctl_text (const json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));
  return text ? text : "";
}

int64_t
bgap_ctl_number (const json_t *object, const char *name)
{
  return json_integer_value (json_object_get (object, name));
}

enum bgap_ctl_exit
bgap_ctl_usage (const char *message)
{
  fprintf (stderr, "banyangapctl: %s\nTry \"banyangapctl --help\".\n",
           message);
  return BGAP_CTL_USAGE;
}
