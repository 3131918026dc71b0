/* The stand-ins run in the test's own event loop.  */
#include "../../../tests/standin/host_server.c"
#include "../../../tests/standin/log_server.c"
#include "../../../tests/standin/log_stream.c"
#include "../../../tests/standin/standin.c"
