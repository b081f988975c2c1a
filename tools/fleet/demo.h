/** @file demo.h  Demo requests to a running fleet. */
#ifndef TOOLS_FLEET_DEMO_H
#define TOOLS_FLEET_DEMO_H

#include "tools/fleet/fleet.h"

/**
 * Sends an online request, a stream and a batch job and prints the responses. Needs three daemons.
 * Returns true if all three succeeded.
 */
bool fleet_demo(const fleet *self);

#endif
