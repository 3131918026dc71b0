#ifndef BANYANGAP_BENCH_LOAD_OPTIONS_H
#define BANYANGAP_BENCH_LOAD_OPTIONS_H

/* Command-line options of bench_load.  */

#define CONNECTIONS_MAX 4096
#define RATE_MAX 500000
#define SECONDS_MAX 3600
#define BODY_SIZE_MAX 65536

struct load_options
{
  const char *target;
  const char *read_path;
  const char *write_path;
  const char *plain_path;
  long rate;
  long seconds;
  long connections;
  long keyed_reads;
  long writes;
  long keys;
  long deadline_ms;
  long body_size;
  long seed;
};

#define LOAD_OPTIONS_DEFAULT                                                  \
  {                                                                           \
    .target = "127.0.0.1:8080", .read_path = "/owner/service/{key}",          \
    .write_path = "/owner/service/{key}", .plain_path = "/owner/service/",    \
    .rate = 1000, .seconds = 5, .connections = 64, .keyed_reads = 100,        \
    .keys = 10000, .deadline_ms = 2000, .body_size = 64, .seed = 1            \
  }

/**
 * load_options_parse() - parse the command line
 * @options: holds the defaults; overwritten where an option is given
 *
 * Exits the process if an option is invalid.
 */
void load_options_parse (int argc, char **argv, struct load_options *options);

#endif
