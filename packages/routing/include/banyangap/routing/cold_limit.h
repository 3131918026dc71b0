#ifndef BANYANGAP_ROUTING_COLD_LIMIT_H
#define BANYANGAP_ROUTING_COLD_LIMIT_H

/*
 * Rate at which permits for a cold server are granted, so that it receives no
 * more requests in any second than it tolerates, from all instances together
 * and whatever their state.
 *
 *   double bound = bgap_cold_limit_bound (4, 1.5, 8);   14 requests
 *   double per_s = bgap_cold_limit_rate (bound);        7.62 permits a second
 *
 * The requests that can arrive within a second are
 *
 *   issuer      rate x BGAP_COLD_SPAN_S + 1
 *   standby     rate x BGAP_COLD_STANDBY_SHARE x BGAP_COLD_SPAN_S + 1
 *   all others  BGAP_COLD_OWN_PERMITS, if they reach neither of these
 *
 * and the rate is chosen so that their sum is the bound. An issuer and its
 * standby hand out permits only while the store lists them, so that there is
 * one of each. Each other instance has permits of its own at times that no
 * other one shares: time is divided into time slots of BGAP_COLD_SLOT_MS, and
 * of n consecutive ones instance i may use slot i for one permit, within its
 * first BGAP_COLD_SLOT_OPEN_MS. Even with clocks that differ by 5 s, at most
 * BGAP_COLD_OWN_PERMITS of these permits are used in a second, with any number
 * of instances.
 */

#include <stdint.h>

/* Part of the rate that the standby of an issuer hands out.  */
#define BGAP_COLD_STANDBY_SHARE 0.05

/* Time within which permits have to be granted that are used within a second:
   the second, the validity of a permit (0.15 s), what an issuer saves up
   (0.05 s), and the variation of the time that a request takes to the server
   (0.05 s).  */
#define BGAP_COLD_SPAN_S 1.25

/* Permits that instances which reach no issuer use in a second at most, all of
   them together.  */
#define BGAP_COLD_OWN_PERMITS 2

/* Length of a time slot, and its first part in which the permit may be
   used.  */
#define BGAP_COLD_SLOT_MS 6000
#define BGAP_COLD_SLOT_OPEN_MS 1500

/**
 * bgap_cold_limit_bound() - most requests that a cold server tolerates in a
 * second
 * @per_s: requests per second that the service states
 * @overage: factor on it
 * @slack: requests beyond that
 */
double bgap_cold_limit_bound (double per_s, double overage, double slack);

/**
 * bgap_cold_limit_rate() - rate of permits for a bound
 *
 * Return: permits per second in whole thousandths, at least
 * BGAP_RATE_LIMIT_MIN_PER_S. A bound below 5 requests is not kept if an
 * issuer, its standby and others grant permits at the same time.
 */
double bgap_cold_limit_rate (double bound);

#endif
