/** @file job_callers.c  Threads that submit jobs, read their results and delete some jobs. */
#include "base/clock.h"
#include "platform/names.h"
#include "tests/soak/checks.h"
#include "tests/soak/soak.h"

#define MAX_JOB_ITEMS 6
#define TIMEOUT_MS 3000
#define JOB_PAUSE_MS 500
/** Mean number of submissions per delete. */
#define JOBS_PER_DELETE 8

typedef struct {
    GRand *rng;
    guint seed;
    uint32_t number;
    GPtrArray *accepted; /**< of char*: ids of the accepted jobs. */
} job_caller;

uint32_t soak_read_job(int daemon, const char *job) {
    g_autofree char *target = g_strdup_printf(PATH_JOBS "%s?after=0", job);
    bench_answer answer =
        bench_send(&(bench_call){.daemon = daemon, .method = "GET", .target = target});
    uint32_t count = soak_check_page(daemon, job, &answer);
    bench_answer_clear(&answer);
    g_mutex_lock(&record.lock);
    record.job_reads++;
    g_mutex_unlock(&record.lock);
    return count;
}

static char *make_item_id(const char *job, int item) {
    return g_strdup_printf("%s-%d", job, item);
}

/** Submits a job without a retry and records whether it was accepted or refused. */
static bool send_submission(int daemon, const char *job, int items) {
    g_autofree char *body = bench_job_body(job, items);
    bench_answer answer = bench_send(&(bench_call){.daemon = daemon,
                                                   .method = "POST",
                                                   .target = "/jobs/x",
                                                   .request_id = job,
                                                   .body = body,
                                                   .timeout_ms = TIMEOUT_MS});
    bool accepted = answer.status == 202;
    for (int item = 0; soak_is_refusal(answer.status) && item < items; item++) {
        g_autofree char *id = make_item_id(job, item);
        soak_add_id(record.refused_ids, id);
    }
    g_mutex_lock(&record.lock);
    record.jobs_sent++;
    if (accepted) {
        g_hash_table_insert(record.accepted_jobs, g_strdup(job), GINT_TO_POINTER(items));
        g_hash_table_insert(record.results, g_strdup(job), g_ptr_array_new_with_free_func(g_free));
    }
    g_mutex_unlock(&record.lock);
    bench_answer_clear(&answer);
    return accepted;
}

/** Deletes a job. Without a complete 200 answer the job may have ended or not. */
static void delete_job(int daemon, const char *job) {
    g_autofree char *target = g_strdup_printf(PATH_JOBS "%s", job);
    soak_add_id(record.deleted_jobs, job);
    bench_answer answer = bench_send(&(bench_call){
        .daemon = daemon, .method = "DELETE", .target = target, .timeout_ms = TIMEOUT_MS});
    bool is_acknowledged = answer.status == 200 && answer.whole;
    bench_answer_clear(&answer);
    g_mutex_lock(&record.lock);
    int items =
        is_acknowledged ? GPOINTER_TO_INT(g_hash_table_lookup(record.accepted_jobs, job)) : 0;
    g_mutex_unlock(&record.lock);
    for (int item = 0; item < items; item++) {
        g_autofree char *id = make_item_id(job, item);
        soak_record_end(id);
    }
}

static int pick_caller_daemon(const job_caller *caller) {
    return g_rand_int_range(caller->rng, 0, bench_daemon_count());
}

static void send_job(job_caller *caller) {
    char *job = g_strdup_printf("j%u-%u", caller->seed, caller->number++);
    int items = g_rand_int_range(caller->rng, 1, MAX_JOB_ITEMS + 1);
    if (send_submission(pick_caller_daemon(caller), job, items))
        g_ptr_array_add(caller->accepted, job);
    else
        g_free(job);
}

static void read_accepted_job(const job_caller *caller) {
    guint index = (guint)g_rand_int_range(caller->rng, 0, (gint32)caller->accepted->len);
    soak_read_job(pick_caller_daemon(caller), caller->accepted->pdata[index]);
}

gpointer soak_run_job_caller(gpointer data) {
    job_caller caller = {.rng = g_rand_new_with_seed(GPOINTER_TO_UINT(data)),
                         .seed = GPOINTER_TO_UINT(data),
                         .accepted = g_ptr_array_new_with_free_func(g_free)};
    while (g_atomic_int_get(&record.stopping) == 0) {
        send_job(&caller);
        if (caller.accepted->len > 0)
            read_accepted_job(&caller);
        hs_clock_sleep_ms(JOB_PAUSE_MS);
        bool deletes = g_rand_int_range(caller.rng, 0, JOBS_PER_DELETE) == 0;
        if (deletes && caller.accepted->len > 0)
            delete_job(pick_caller_daemon(&caller),
                       caller.accepted->pdata[caller.accepted->len - 1]);
    }
    g_ptr_array_free(caller.accepted, TRUE);
    g_rand_free(caller.rng);
    return NULL;
}
