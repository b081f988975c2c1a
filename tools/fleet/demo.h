/** @file demo.h  The demo's three requests against a running fleet. */
#ifndef TOOLS_FLEET_DEMO_H
#define TOOLS_FLEET_DEMO_H

#include "tools/fleet/fleet.h"

/** Send an online request, a streamed one and a batch job; print the answers. */
bool fleet_demo(const fleet *self);

#endif
