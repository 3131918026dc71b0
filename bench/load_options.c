#include "load_options.h"

#include <argp.h>
#include <stdlib.h>

static const struct argp_option option_table[] = {
  { "target", 't', "ADDRESS:PORT", 0, "Loopback address of the target", 0 },
  { "read-path", 'r', "PATH", 0, "Path of keyed reads; {key} stands for a key",
    0 },
  { "write-path", 'w', "PATH", 0, "Path of writes; {key} stands for a key",
    0 },
  { "plain-path", 'p', "PATH", 0, "Path of reads without a key", 0 },
  { "rate", 'R', "N", 0, "Requests per second", 0 },
  { "seconds", 's', "N", 0, "Duration of the run", 0 },
  { "connections", 'c', "N", 0, "Maximum connections to the target", 0 },
  { "keyed-reads", 'k', "PERCENT", 0, "Percentage of keyed reads", 0 },
  { "writes", 'W', "PERCENT", 0, "Percentage of writes", 0 },
  { "keys", 'K', "N", 0, "Number of distinct keys", 0 },
  { "deadline-ms", 'd', "N", 0, "Deadline sent with each request", 0 },
  { "body-size", 'b', "BYTES", 0, "Size of the body of a write", 0 },
  { "seed", 'S', "N", 0, "Seed of the random number generator", 0 },
  { 0 },
};

static error_t
_bgap_load_parse_option (int key, char *arg, struct argp_state *state)
{
  struct load_options *o = state->input;
  const struct
  {
    int key;
    const char **text;
    long *number;
    long max;
  } fields[] = {
    { 't', &o->target, NULL, 0 },
    { 'r', &o->read_path, NULL, 0 },
    { 'w', &o->write_path, NULL, 0 },
    { 'p', &o->plain_path, NULL, 0 },
    { 'R', NULL, &o->rate, RATE_MAX },
    { 's', NULL, &o->seconds, SECONDS_MAX },
    { 'c', NULL, &o->connections, CONNECTIONS_MAX },
    { 'k', NULL, &o->keyed_reads, 100 },
    { 'W', NULL, &o->writes, 100 },
    { 'K', NULL, &o->keys, 1000000000 },
    { 'd', NULL, &o->deadline_ms, 600000 },
    { 'b', NULL, &o->body_size, BODY_SIZE_MAX },
    { 'S', NULL, &o->seed, 1000000000 },
  };
  for (size_t i = 0; i < sizeof fields / sizeof *fields; i++)
    {
      if (fields[i].key != key)
        continue;
      if (fields[i].number == NULL)
        {
          *fields[i].text = arg;
          return 0;
        }
      char *end;
      *fields[i].number = strtol (arg, &end, 10);
      if (*end != '\0' || *fields[i].number < 0
          || *fields[i].number > fields[i].max)
        argp_error (state, "\"%s\" is not a number from 0 to %ld", arg,
                    fields[i].max);
      return 0;
    }
  return ARGP_ERR_UNKNOWN;
}

void
load_options_parse (int argc, char **argv, struct load_options *options)
{
  static const struct argp argp = {
    .options = option_table,
    .parser = _bgap_load_parse_option,
    .doc = "Sends requests to a target at a fixed rate and prints latencies",
  };
  argp_parse (&argp, argc, argv, 0, NULL, options);
}
