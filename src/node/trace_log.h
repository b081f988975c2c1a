/** @file trace_log.h  Routing decisions of recent requests, by request id. Thread-safe. */
#ifndef HS_NODE_TRACE_LOG_H
#define HS_NODE_TRACE_LOG_H

typedef struct hs_trace_log hs_trace_log;

/** Creates a log of up to @p capacity requests. Free with hs_trace_log_free. */
hs_trace_log *hs_trace_log_new(unsigned capacity);
void hs_trace_log_free(hs_trace_log *log);

/** Appends a line to the request's trace; the oldest request is evicted if the log is full. */
void hs_trace_log_add(hs_trace_log *log, const char *request_id, const char *line);

/** Returns the request's lines, or NULL. Free with g_free. */
char *hs_trace_log_find(hs_trace_log *log, const char *request_id);

#endif
