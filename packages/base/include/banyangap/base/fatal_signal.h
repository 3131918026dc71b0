#ifndef BANYANGAP_BASE_FATAL_SIGNAL_H
#define BANYANGAP_BASE_FATAL_SIGNAL_H

/*
 * One line on standard error before a fatal signal terminates the process:
 *
 *   bgap_fatal_signal_setup (bgap_event_log_flush);
 *
 * The signals are SIGSEGV, SIGBUS, SIGILL, SIGFPE and SIGABRT. The line names
 * the signal, the address, the instruction and the return addresses, as
 * "object+offset", where addr2line takes the offset. The previous action of
 * the signal is carried out afterwards, so that the exit status and the core
 * dump are those of the signal.
 */

/**
 * bgap_fatal_signal_setup() - handle fatal signals from now on
 * @flush: called after the line was written, for example to write log lines
 *   that are still in memory; may only use functions that are safe in signal
 *   handlers; NULL for none
 *
 * Only the calling thread gets a stack of its own for the handler, so that an
 * overflow of the stack is reported there alone.
 */
void bgap_fatal_signal_setup (void (*flush) (void));

#endif
