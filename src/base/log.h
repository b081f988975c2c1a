/**
 * @file log.h
 * Structured logging through GLib: each event is a line of key=value pairs on standard output.
 * hs_log_event is thread-safe; the other functions are called by the main thread.
 */
#ifndef HS_BASE_LOG_H
#define HS_BASE_LOG_H

#include <glib.h>

/**
 * Installs the key=value writer. Each line contains @p instance_id, which must stay valid until the
 * process ends.
 */
void hs_log_open(const char *instance_id, GLogLevelFlags max_verbosity);

/** Starts a thread that writes the lines. If its queue is full, lines are dropped and counted. */
void hs_log_start_writer(void);

/** Waits a limited time until queued lines are taken by the writer thread. Call before exit. */
void hs_log_flush(void);

/** Sets the most verbose level that is logged. */
void hs_log_set_level(GLogLevelFlags max_verbosity);

/**
 * Logs the event named @p event; @p format gives key=value pairs as printf does. Control characters
 * and invalid UTF-8 become question marks, so that an event is always one line.
 */
void hs_log_event(GLogLevelFlags level, const char *event, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

#define hs_log_info(event, ...) hs_log_event(G_LOG_LEVEL_INFO, event, __VA_ARGS__)
#define hs_log_warning(event, ...) hs_log_event(G_LOG_LEVEL_WARNING, event, __VA_ARGS__)
#define hs_log_debug(event, ...) hs_log_event(G_LOG_LEVEL_DEBUG, event, __VA_ARGS__)

#endif
