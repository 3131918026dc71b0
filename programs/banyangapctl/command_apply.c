#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "commands.h"
#include "output.h"

/* Reports a conflict: another change was accepted since the version that this
   one is based on. Shows what it changed.  */
static enum bgap_ctl_exit
_bgap_ctl_report_conflict (const struct bgap_ctl_options *options,
                           json_t *reply)
{
  if (options->json)
    {
      json_object_set_new (reply, "state", json_string ("stale"));
      bgap_ctl_print_json (reply, true);
    }
  fprintf (stderr,
           "banyangapctl: another change came first; the newest version is "
           "%lld, this change is based on %lld:\n%s"
           "remedy: merge these changes and apply again, based on %lld\n",
           (long long)bgap_ctl_number (reply, "newest"),
           (long long)options->based_on, bgap_ctl_text (reply, "changed"),
           (long long)bgap_ctl_number (reply, "newest"));
  return BGAP_CTL_STALE;
}

static enum bgap_ctl_exit
_bgap_ctl_report_findings (const struct bgap_ctl_options *options,
                           const struct bgap_ctl_files *files,
                           const json_t *reply)
{
  struct bgap_findings findings = { 0 };
  bgap_findings_from_json (&findings, json_object_get (reply, "findings"));
  bgap_ctl_files_locate (files, &findings);
  bgap_ctl_print_findings (options, &findings);
  fprintf (stderr, "banyangapctl: the instance refused the change\n");
  bgap_findings_shutdown (&findings);
  return BGAP_CTL_REFUSED;
}

static enum bgap_ctl_exit
_bgap_ctl_post (const struct bgap_ctl_options *options,
                const struct bgap_ctl_files *files, const char *owner,
                struct bgap_ctl_reply *reply)
{
  *reply = (struct bgap_ctl_reply){ 0 };
  json_t *body
      = json_pack ("{s:s, s:I, s:s, s:s}", "owner", owner, "based_on",
                   (json_int_t)options->based_on, "documents",
                   files->text.data, "operator", options->operator_name);
  char *text = body ? json_dumps (body, JSON_COMPACT) : NULL;
  json_decref (body);
  if (text == NULL)
    return bgap_ctl_usage ("the files or the operator's name are not UTF-8");
  const enum bgap_ctl_exit status
      = bgap_ctl_request (options, "/config", text, 0, reply);
  free (text);
  if (status == BGAP_CTL_UNREACHABLE)
    fprintf (stderr, "The change may have been published. Applying it again "
                     "with the same --based-on is safe.\n");
  return status;
}

static enum bgap_ctl_exit
_bgap_ctl_publish (const struct bgap_ctl_options *options,
                   const struct bgap_ctl_files *files, const char *owner)
{
  struct bgap_ctl_reply reply;
  enum bgap_ctl_exit status = _bgap_ctl_post (options, files, owner, &reply);
  if (status != BGAP_CTL_OK)
    return status;
  const int64_t offset = bgap_ctl_number (reply.json, "offset");
  switch (reply.status)
    {
    case 202:
      if (!options->json)
        printf ("published at offset %lld\n", (long long)offset);
      else if (options->no_wait)
        bgap_ctl_print_json (reply.json, true);
      fflush (stdout);
      break;
    case 409:
      status = _bgap_ctl_report_conflict (options, reply.json);
      break;
    case 422:
      status = _bgap_ctl_report_findings (options, files, reply.json);
      break;
    default:
      return bgap_ctl_print_error (&reply);
    }
  json_decref (reply.json);
  if (status != BGAP_CTL_OK || options->no_wait)
    return status;
  return bgap_ctl_await (options, owner, offset, files);
}

static enum bgap_ctl_exit
_bgap_ctl_dry_run (const struct bgap_ctl_options *options,
                   const struct bgap_ctl_files *files, const char *owner)
{
  struct bgap_buffer changes = { 0 };
  int64_t version;
  enum bgap_ctl_exit status
      = bgap_ctl_compare (options, files, &owner, &version, &changes);
  if (status == BGAP_CTL_OK && options->json)
    {
      json_t *report = json_pack ("{s:s, s:I, s:I, s:s}", "owner", owner,
                                  "version", (json_int_t)version, "based_on",
                                  (json_int_t)options->based_on, "changes",
                                  changes.data ? changes.data : "");
      bgap_ctl_print_json (report, true);
      json_decref (report);
    }
  else if (status == BGAP_CTL_OK)
    fputs (changes.data ? changes.data : "", stdout);
  bgap_buffer_shutdown (&changes);
  if (status != BGAP_CTL_OK || version == options->based_on)
    return status;
  fprintf (stderr,
           "banyangapctl: the version in force is %lld, this change is based "
           "on %lld\n",
           (long long)version, (long long)options->based_on);
  return BGAP_CTL_STALE;
}

enum bgap_ctl_exit
bgap_ctl_apply (const struct bgap_ctl_options *options)
{
  if (options->based_on < 0)
    return bgap_ctl_usage ("apply needs --based-on; \"get\" and \"diff\" show "
                           "the version, and 0 stands for a new owner");
  struct bgap_ctl_files files;
  enum bgap_ctl_exit status = bgap_ctl_load (options, &files);
  const char *owner = options->owner ? options->owner : files.owner;
  if (status == BGAP_CTL_OK && *owner == '\0')
    status = bgap_ctl_usage ("the files name no single owner; use --owner");
  if (status == BGAP_CTL_OK)
    status = options->dry_run ? _bgap_ctl_dry_run (options, &files, owner)
                              : _bgap_ctl_publish (options, &files, owner);
  bgap_ctl_files_shutdown (&files);
  return status;
}
