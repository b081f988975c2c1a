/** @file thread.c  See thread.h. */
#include "base/thread.h"

#include "base/log.h"

GThread *hs_thread_try_start(const char *name, GThreadFunc function, gpointer data) {
    g_autoptr(GError) error = NULL;
    GThread *thread = g_thread_try_new(name, function, data, &error);
    if (thread == NULL)
        hs_log_warning("thread_refused", "thread=%s reason=\"%s\"", name, error->message);
    return thread;
}
