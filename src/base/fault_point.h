/**
 * @file fault_point.h
 * Fault injection for tests: named points at which the process kills or stops itself. In a release
 * build the macro is empty. Thread-safe.
 *
 * A test build (HS_FAULT_POINTS) reads "point:action[:nth]" from the environment variable HS_FAULT
 * or, while running, from PUT /internal/v1/fault. At the nth call of the point, by default the
 * first, the process sends itself SIGKILL (action "kill") or SIGSTOP (action "freeze").
 */
#ifndef HS_BASE_FAULT_POINT_H
#define HS_BASE_FAULT_POINT_H

#ifdef HS_FAULT_POINTS
/** Triggers the requested fault if this call of the point @p name is the nth. */
void hs_fault_point_pass(const char *name);

/** Replaces the requested fault; an empty text or NULL removes the request. */
void hs_fault_point_set(const char *text);
#define HS_FAULT_POINT(name) hs_fault_point_pass(name)
#else
#define HS_FAULT_POINT(name) ((void)0)
#endif

#endif
