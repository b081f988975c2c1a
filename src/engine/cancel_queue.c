/** @file cancel_queue.c  See cancel_queue.h. */
#include "engine/cancel_queue.h"

#include "engine/engine_client.h"

#define CANCEL_THREADS 16

typedef struct {
    char *engine_url;
    GPtrArray *request_ids;
} cancel_order;

static void send_cancel(gpointer data, gpointer unused) {
    (void)unused;
    cancel_order *order = data;
    hs_engine_cancel_many(order->engine_url, order->request_ids);
    g_free(order->engine_url);
    g_ptr_array_free(order->request_ids, TRUE);
    g_free(order);
}

/** Made at the first cancel, for the life of the process. */
static gpointer make_pool(gpointer unused) {
    (void)unused;
    return g_thread_pool_new(send_cancel, NULL, CANCEL_THREADS, TRUE, NULL);
}

void hs_engine_cancel_many_soon(const char *engine_url, GPtrArray *request_ids) {
    static GOnce once = G_ONCE_INIT;
    GThreadPool *pool = g_once(&once, make_pool, NULL);
    cancel_order *order = g_new0(cancel_order, 1);
    order->engine_url = g_strdup(engine_url);
    order->request_ids = request_ids;
    g_thread_pool_push(pool, order, NULL);
}

void hs_engine_cancel_soon(const char *engine_url, const char *request_id) {
    GPtrArray *request_ids = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(request_ids, g_strdup(request_id));
    hs_engine_cancel_many_soon(engine_url, request_ids);
}
