/**
 * @file fault_point.h
 * Named points at which a test build can kill or freeze the process. In a product build the
 * macro is empty: nothing of this is compiled in.
 *
 * A test build takes "point:action[:nth]" from the environment variable HS_FAULT, or while it
 * runs from PUT /internal/v1/fault: at the nth passing of the point it kills itself (action
 * "kill") or stops itself until SIGCONT (action "freeze").
 */
#ifndef HS_BASE_FAULT_POINT_H
#define HS_BASE_FAULT_POINT_H

#ifdef HS_FAULT_POINTS
void hs_fault_point_pass(const char *name);

/** Ask for a fault, in place of any asked for before; an empty text asks for none. */
void hs_fault_point_set(const char *text);
#define HS_FAULT_POINT(name) hs_fault_point_pass(name)
#else
#define HS_FAULT_POINT(name) ((void)0)
#endif

#endif
