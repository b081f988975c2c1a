/**
 * @file log.h
 * Structured logging over GLib: one line of key=value pairs an event, on standard output.
 */
#ifndef HS_BASE_LOG_H
#define HS_BASE_LOG_H

#include <glib.h>

/** Install the key=value writer. @p instance_id stands in every line; borrowed for the process. */
void hs_log_open(const char *instance_id, GLogLevelFlags most_verbose);

/** From now on a thread of its own writes the lines; what does not fit is counted, never waited
 * for.
 */
void hs_log_start_writer(void);

/** Give lines that wait a moment to be written; before the process ends. */
void hs_log_flush(void);

/** Change the most verbose level logged. */
void hs_log_set_level(GLogLevelFlags most_verbose);

/** Log one event: @p event is its name, the rest a printf format of key=value pairs. */
void hs_log_event(GLogLevelFlags level, const char *event, const char *format, ...)
    __attribute__((format(printf, 3, 4)));

#define hs_log_info(event, ...) hs_log_event(G_LOG_LEVEL_INFO, event, __VA_ARGS__)
#define hs_log_warning(event, ...) hs_log_event(G_LOG_LEVEL_WARNING, event, __VA_ARGS__)
#define hs_log_debug(event, ...) hs_log_event(G_LOG_LEVEL_DEBUG, event, __VA_ARGS__)

#endif
