/** @file job_callers.c  Callers that submit jobs, read them and end some; see soak.h. */
#include "base/clock.h"
#include "platform/names.h"
#include "tests/soak/checks.h"
#include "tests/soak/soak.h"

#define ITEMS_MOST 6
#define TIMEOUT_MS 3000
#define JOB_PAUSE_MS 500
/** One job of so many is ended by its caller. */
#define JOBS_PER_END 8

/** One caller, and the jobs that it may still end. */
typedef struct {
    GRand *chance;
    guint seed;
    uint32_t number;
    GPtrArray *accepted; /**< of char* */
} job_caller;

uint32_t soak_read_job(int daemon, const char *job) {
    g_autofree char *target = g_strdup_printf(PATH_JOBS "%s?after=0", job);
    bench_answer answer =
        bench_send(&(bench_call){.daemon = daemon, .method = "GET", .target = target});
    uint32_t count = soak_check_page(daemon, job, &answer);
    bench_answer_clear(&answer);
    g_mutex_lock(&record.lock);
    record.reads++;
    g_mutex_unlock(&record.lock);
    return count;
}

static char *item_id(const char *job, int item) {
    return g_strdup_printf("%s-%d", job, item);
}

/** Send a job once; what its answer promises is remembered. */
static bool submit(int daemon, const char *job, int items) {
    g_autofree char *body = bench_job(job, items);
    bench_answer answer = bench_send(&(bench_call){.daemon = daemon,
                                                   .method = "POST",
                                                   .target = "/jobs/x",
                                                   .request_id = job,
                                                   .body = body,
                                                   .timeout_ms = TIMEOUT_MS});
    bool accepted = answer.status == 202;
    for (int item = 0; soak_is_promise(answer.status) && item < items; item++) {
        g_autofree char *id = item_id(job, item);
        soak_remember(record.refused, id);
    }
    g_mutex_lock(&record.lock);
    record.jobs_sent++;
    if (accepted) {
        g_hash_table_insert(record.jobs, g_strdup(job), GINT_TO_POINTER(items));
        g_hash_table_insert(record.results, g_strdup(job), g_ptr_array_new_with_free_func(g_free));
    }
    g_mutex_unlock(&record.lock);
    bench_answer_clear(&answer);
    return accepted;
}

/** End a job. Without a word that it was stored it may be ended or not. */
static void end_job(int daemon, const char *job) {
    g_autofree char *target = g_strdup_printf(PATH_JOBS "%s", job);
    soak_remember(record.ended, job);
    bench_answer answer = bench_send(&(bench_call){
        .daemon = daemon, .method = "DELETE", .target = target, .timeout_ms = TIMEOUT_MS});
    bool is_ended = answer.status == 200 && answer.whole;
    bench_answer_clear(&answer);
    g_mutex_lock(&record.lock);
    int items = is_ended ? GPOINTER_TO_INT(g_hash_table_lookup(record.jobs, job)) : 0;
    g_mutex_unlock(&record.lock);
    for (int item = 0; item < items; item++) {
        g_autofree char *id = item_id(job, item);
        soak_note_end(id);
    }
}

static int any_daemon(const job_caller *caller) {
    return g_rand_int_range(caller->chance, 0, bench_daemons());
}

static void send_job(job_caller *caller) {
    char *job = g_strdup_printf("j%u-%u", caller->seed, caller->number++);
    int items = g_rand_int_range(caller->chance, 1, ITEMS_MOST + 1);
    if (submit(any_daemon(caller), job, items))
        g_ptr_array_add(caller->accepted, job);
    else
        g_free(job);
}

static void read_one(const job_caller *caller) {
    guint place = (guint)g_rand_int_range(caller->chance, 0, (gint32)caller->accepted->len);
    soak_read_job(any_daemon(caller), caller->accepted->pdata[place]);
}

gpointer soak_run_jobs(gpointer data) {
    job_caller caller = {.chance = g_rand_new_with_seed(GPOINTER_TO_UINT(data)),
                         .seed = GPOINTER_TO_UINT(data),
                         .accepted = g_ptr_array_new_with_free_func(g_free)};
    while (g_atomic_int_get(&record.stopping) == 0) {
        send_job(&caller);
        if (caller.accepted->len > 0)
            read_one(&caller);
        hs_clock_sleep_ms(JOB_PAUSE_MS);
        bool ends = g_rand_int_range(caller.chance, 0, JOBS_PER_END) == 0;
        if (ends && caller.accepted->len > 0)
            end_job(any_daemon(&caller), caller.accepted->pdata[caller.accepted->len - 1]);
    }
    g_ptr_array_free(caller.accepted, TRUE);
    g_rand_free(caller.chance);
    return NULL;
}
