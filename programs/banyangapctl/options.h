#ifndef BANYANGAPCTL_OPTIONS_H
#define BANYANGAPCTL_OPTIONS_H

/*
 * Command line of banyangapctl.
 */

#include <stdbool.h>
#include <stdint.h>

/**
 * enum bgap_ctl_exit - exit statuses of the program
 */
enum bgap_ctl_exit
{
  BGAP_CTL_OK = 0,
  BGAP_CTL_REFUSED = 1,     /* findings, or refused by the instance */
  BGAP_CTL_USAGE = 2,       /* wrong command line */
  BGAP_CTL_STALE = 3,       /* conflict with a change accepted before */
  BGAP_CTL_UNREACHABLE = 4, /* no instance answered, or not in time */
};

/**
 * struct bgap_ctl_options - parsed command line
 * @args: arguments after the command
 * @based_on: version that the change is based on; -1 if not given
 * @from: offset of the first event to watch
 * @timeout_ms: longest wait for a verdict or for events; -1 if not given
 * @json: print JSON instead of text
 * @method, @key, @deadline_ms: of the request that is explained; NULL or -1 if
 *   not given
 */
struct bgap_ctl_options
{
  const char *command;
  char **args;
  int arg_count;
  const char *address;
  const char *token;
  const char *owner;
  const char *operator_name;
  int64_t based_on;
  int64_t from;
  int64_t timeout_ms;
  bool json;
  const char *method;
  int64_t key;
  int64_t deadline_ms;
  bool dry_run;
  bool no_wait;
};

/**
 * bgap_ctl_options_parse() - parse the command line and the environment; exits
 * with BGAP_CTL_USAGE if the command line is wrong
 */
void bgap_ctl_options_parse (struct bgap_ctl_options *options, int argc,
                             char **argv);

#endif
