/**
 * @file thread.h
 * Starting of threads in a running daemon. Unlike g_thread_new, which aborts the process, a failure
 * is returned to the caller. Thread-safe.
 */
#ifndef HS_BASE_THREAD_H
#define HS_BASE_THREAD_H

#include <glib.h>

/**
 * Starts a thread. Returns NULL and logs a warning if the system cannot create one. @p name appears
 * in logs and debuggers. Join with g_thread_join.
 */
GThread *hs_thread_try_start(const char *name, GThreadFunc function, gpointer data);

#endif
