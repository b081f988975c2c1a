/** @file cancel_queue.c  See cancel_queue.h. */
#include "engine/cancel_queue.h"

#include "engine/engine_client.h"

#define CANCEL_THREADS 16

typedef struct {
    char *engine_url;
    GPtrArray *request_ids;
} cancel_task;

static void send_cancel(gpointer data, gpointer unused) {
    (void)unused;
    cancel_task *task = data;
    hs_engine_cancel_many(task->engine_url, task->request_ids);
    g_free(task->engine_url);
    g_ptr_array_free(task->request_ids, TRUE);
    g_free(task);
}

/** Creates the pool at the first cancellation; the pool lives until the process exits. */
static gpointer create_pool(gpointer unused) {
    (void)unused;
    return g_thread_pool_new(send_cancel, NULL, CANCEL_THREADS, TRUE, NULL);
}

void hs_engine_cancel_many_soon(const char *engine_url, GPtrArray *request_ids) {
    static GOnce once = G_ONCE_INIT;
    GThreadPool *pool = g_once(&once, create_pool, NULL);
    cancel_task *task = g_new0(cancel_task, 1);
    task->engine_url = g_strdup(engine_url);
    task->request_ids = request_ids;
    g_thread_pool_push(pool, task, NULL);
}

void hs_engine_cancel_soon(const char *engine_url, const char *request_id) {
    GPtrArray *request_ids = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(request_ids, g_strdup(request_id));
    hs_engine_cancel_many_soon(engine_url, request_ids);
}
