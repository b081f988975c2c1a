/** @file trace_log.h  Why recent requests went where they went, by request id; for `explain`. */
#ifndef HS_NODE_TRACE_LOG_H
#define HS_NODE_TRACE_LOG_H

typedef struct hs_trace_log hs_trace_log;

hs_trace_log *hs_trace_log_new(unsigned capacity);
void hs_trace_log_free(hs_trace_log *log);

/** Add a line to the request's trace; the oldest request is dropped when the log is full. */
void hs_trace_log_add(hs_trace_log *log, const char *request_id, const char *line);

/** The request's lines, or NULL. Free with g_free. */
char *hs_trace_log_find(hs_trace_log *log, const char *request_id);

#endif
