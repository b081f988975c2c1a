/**
 * @file fault_point.h
 * Named points at which a test build can kill or freeze the process. In a product build the
 * macro is empty: nothing of this is compiled in.
 *
 * A test build reads HS_FAULT="point:action[:nth]" from the environment: at the nth passing of the
 * point it kills itself (action "kill"), stops itself until SIGCONT (action "freeze"), or, for
 * action "note", only writes a log line.
 */
#ifndef HS_BASE_FAULT_POINT_H
#define HS_BASE_FAULT_POINT_H

#ifdef HS_FAULT_POINTS
void hs_fault_point_pass(const char *name);
#define HS_FAULT_POINT(name) hs_fault_point_pass(name)
#else
#define HS_FAULT_POINT(name) ((void)0)
#endif

#endif
