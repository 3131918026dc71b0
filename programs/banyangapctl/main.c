/*
 * banyangapctl: command line tool for operators. docs/operator-protocol.md
 * describes the requests that it sends.
 */

#include <stdio.h>
#include <string.h>

#include "commands.h"
#include "output.h"

/**
 * struct bgap_ctl_command - a command
 * @min: smallest number of arguments
 * @max: largest number of arguments, -1 for any number
 * @run: runs the command and returns the exit status of the program
 */
struct bgap_ctl_command
{
  const char *name;
  int min;
  int max;
  enum bgap_ctl_exit (*run) (const struct bgap_ctl_options *options);
};

static const struct bgap_ctl_command commands[] = {
  { "check", 1, -1, bgap_ctl_check },    { "diff", 1, -1, bgap_ctl_diff },
  { "apply", 1, -1, bgap_ctl_apply },    { "get", 0, 1, bgap_ctl_get_command },
  { "watch", 0, 1, bgap_ctl_watch },     { "dump", 0, 0, bgap_ctl_dump },
  { "explain", 1, 1, bgap_ctl_explain }, { "route", 2, -1, bgap_ctl_route },
  { "faults", 0, 1, bgap_ctl_faults },   { "version", 0, 0, bgap_ctl_version },
};

int
main (int argc, char **argv)
{
  struct bgap_ctl_options options;
  bgap_ctl_options_parse (&options, argc, argv);
  for (size_t i = 0; i < sizeof commands / sizeof *commands; i++)
    {
      const struct bgap_ctl_command *command = &commands[i];
      if (strcmp (command->name, options.command) != 0)
        continue;
      if (options.arg_count < command->min
          || (command->max >= 0 && options.arg_count > command->max))
        return bgap_ctl_usage ("wrong number of arguments");
      return command->run (&options);
    }
  return bgap_ctl_usage ("unknown command");
}
