#include "options.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>

#ifndef BGAP_VERSION
#define BGAP_VERSION "unknown"
#endif

/* Keys of options without a short form; beyond the range of characters.  */
enum bgap_ctl_key
{
  KEY_BASED_ON = 256,
  KEY_DEADLINE,
  KEY_DRY_RUN,
  KEY_FROM,
  KEY_JSON,
  KEY_KEY,
  KEY_METHOD,
  KEY_NO_WAIT,
  KEY_OPERATOR,
  KEY_OUTPUT,
  KEY_TIMEOUT,
  KEY_TOKEN,
};

static const struct argp_option argp_options[] = {
  { "address", 'a', "IP:PORT", 0,
    "Operators' address of any instance (default: BANYANGAP_ADDRESS)", 0 },
  { "token", KEY_TOKEN, "TOKEN", 0,
    "Token (default: BANYANGAP_TOKEN, which other users cannot see)", 0 },
  { "owner", 'o', "OWNER", 0, "Owner, if the files do not name exactly one",
    0 },
  { "operator", KEY_OPERATOR, "NAME", 0,
    "Name recorded with a change (default: USER)", 0 },
  { "based-on", KEY_BASED_ON, "VERSION", 0,
    "apply: version that the change was made from; 0 for a new owner", 0 },
  { "dry-run", KEY_DRY_RUN, NULL, 0, "apply: show, do not publish", 0 },
  { "no-wait", KEY_NO_WAIT, NULL, 0, "apply: do not wait for the verdict", 0 },
  { "from", KEY_FROM, "OFFSET", 0, "watch: resume from an offset", 0 },
  { "timeout", KEY_TIMEOUT, "SECONDS", 0,
    "apply: longest wait for the verdict (default 12); watch: stop after this "
    "time (default: never)",
    0 },
  { "output", KEY_OUTPUT, "FORMAT", 0, "text (default) or json", 0 },
  { "json", KEY_JSON, NULL, 0, "The same as --output json", 0 },
  { "method", KEY_METHOD, "METHOD", 0, "route: method (default: GET)", 0 },
  { "key", KEY_KEY, "KEY", 0, "route: key of the request, 0 to 65535", 0 },
  { "deadline", KEY_DEADLINE, "MS", 0,
    "route: time for which the caller waits (default: the route's)", 0 },
  { 0 },
};

static const char doc[]
    = "Checks, publishes and observes the resources of a deployment.\v"
      "Commands:\n"
      "  check PATH...          validate files or folders\n"
      "  diff PATH...           differences to the version in force\n"
      "  apply PATH...          publish all resources of an owner\n"
      "  get OWNER              resources in force\n"
      "  watch OWNER            changes: accepted, refused, in force on N of "
      "M\n"
      "  dump                   whole state of an instance\n"
      "  explain OWNER/SERVICE/KEY  who owns a key and why\n"
      "  route HOST PATH [IP:PORT...]  where instances in platform mode "
      "would send a\n"
      "                         request now, and why; nothing is sent\n"
      "  faults OWNER           faults of an owner's services\n"
      "  version                versions of this program and the instance\n"
      "\n"
      "Examples:\n"
      "  banyangapctl check examples/styrelsen\n"
      "  export BANYANGAP_ADDRESS=127.0.0.1:21120\n"
      "  banyangapctl diff examples/styrelsen\n"
      "  banyangapctl apply --based-on 17 examples/styrelsen\n"
      "  banyangapctl watch --from 18 styrelsen\n"
      "  banyangapctl explain styrelsen/mosearkiv/map-4711\n"
      "  banyangapctl route --key 4711 api.example /r/1 127.0.0.1:9464\n"
      "\n"
      "Exit status: 0 ok, 1 findings or refused, 2 wrong usage, 3 another "
      "change came first, 4 no instance answered.";

static int64_t
_bgap_ctl_parse_number (struct argp_state *state, const char *text,
                        int64_t max)
{
  char *end;
  const long long value = strtoll (text, &end, 10);
  if (*text == '\0' || *end != '\0' || value < 0 || value > max)
    argp_error (state, "\"%s\" is not a number from 0 to %lld", text,
                (long long)max);
  return value;
}

/* Largest timeout in seconds: one day.  */
#define TIMEOUT_S_MAX 86400

/* Largest deadline in milliseconds: one day.  */
#define DEADLINE_MS_MAX 86400000

/* Largest key of a request in platform mode.  */
#define ROUTE_KEY_MAX 65535

static error_t
_bgap_ctl_parse_option (int key, char *arg, struct argp_state *state)
{
  struct bgap_ctl_options *options = state->input;
  switch (key)
    {
    case 'a':
      options->address = arg;
      return 0;
    case 'o':
      options->owner = arg;
      return 0;
    case KEY_TOKEN:
      options->token = arg;
      return 0;
    case KEY_OPERATOR:
      options->operator_name = arg;
      return 0;
    case KEY_BASED_ON:
      options->based_on = _bgap_ctl_parse_number (state, arg, INT64_MAX / 2);
      return 0;
    case KEY_DRY_RUN:
      options->dry_run = true;
      return 0;
    case KEY_NO_WAIT:
      options->no_wait = true;
      return 0;
    case KEY_FROM:
      options->from = _bgap_ctl_parse_number (state, arg, INT64_MAX / 2);
      return 0;
    case KEY_TIMEOUT:
      options->timeout_ms
          = _bgap_ctl_parse_number (state, arg, TIMEOUT_S_MAX) * 1000;
      return 0;
    case KEY_JSON:
      options->json = true;
      return 0;
    case KEY_METHOD:
      options->method = arg;
      return 0;
    case KEY_KEY:
      options->key = _bgap_ctl_parse_number (state, arg, ROUTE_KEY_MAX);
      return 0;
    case KEY_DEADLINE:
      options->deadline_ms
          = _bgap_ctl_parse_number (state, arg, DEADLINE_MS_MAX);
      return 0;
    case KEY_OUTPUT:
      if (strcmp (arg, "json") != 0 && strcmp (arg, "text") != 0)
        argp_error (state, "unknown output format \"%s\"", arg);
      options->json = strcmp (arg, "json") == 0;
      return 0;
    case ARGP_KEY_ARGS:
      options->command = state->argv[state->next];
      options->args = state->argv + state->next + 1;
      options->arg_count = state->argc - state->next - 1;
      return 0;
    case ARGP_KEY_NO_ARGS:
      argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

void
bgap_ctl_options_parse (struct bgap_ctl_options *options, int argc,
                        char **argv)
{
  static const struct argp argp = { .options = argp_options,
                                    .parser = _bgap_ctl_parse_option,
                                    .args_doc = "COMMAND [ARGUMENT...]",
                                    .doc = doc };
  const char *user = getenv ("USER");
  argp_program_version = "banyangapctl " BGAP_VERSION;
  argp_err_exit_status = BGAP_CTL_USAGE;
  *options = (struct bgap_ctl_options){
    .address = getenv ("BANYANGAP_ADDRESS"),
    .token = getenv ("BANYANGAP_TOKEN"),
    .operator_name = user ? user : "unknown",
    .based_on = -1,
    .timeout_ms = -1,
    .key = -1,
    .deadline_ms = -1,
  };
  argp_parse (&argp, argc, argv, 0, NULL, options);
}
