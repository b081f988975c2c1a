/**
 * @file thread.h
 * Threads that a running daemon starts on demand. Where the machine has none left, the work waits
 * or is refused; GLib's own g_thread_new would end the process instead.
 */
#ifndef HS_BASE_THREAD_H
#define HS_BASE_THREAD_H

#include <glib.h>

/**
 * Start a thread; NULL, with a log line, where none is to be had. @p name: a literal, for logs and
 * debuggers. Join with g_thread_join.
 */
GThread *hs_thread_try(const char *name, GThreadFunc function, gpointer data);

#endif
