/** @file job_callers.c  Threads that submit jobs, read their results and end some or most jobs. */
#include "base/clock.h"
#include "platform/names.h"
#include "tests/soak/checks.h"
#include "tests/soak/soak.h"

#define MAX_JOB_ITEMS 6
#define TIMEOUT_MS 3000
#define JOB_PAUSE_MS 500
/** Mean number of submissions per delete. */
#define JOBS_PER_DELETE 8

/** Jobs that an ending caller submits and ends in a row. */
#define MAX_JOBS_IN_A_ROW 8
#define MAX_END_GAP_MS 60
/** Time until their ends: none, or until the items wait for engines, or run. */
#define MAX_WAITING_MS 300
#define MAX_COLLECTING_MS 3000
/** All collected jobs together have more items than the engines have slots. */
#define MAX_COLLECTED_ITEMS 16
#define COLLECTING_POLL_MS 2
#define MAX_RUNNING_MS 2500
/** Attempts to have an end acknowledged, and repetitions of an acknowledged one. */
#define MAX_END_ATTEMPTS 4
#define MAX_REPEATED_ENDS 2
#define MAX_ROW_PAUSE_MS 600

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
static bool send_submission(int daemon, const char *job, int items, hs_client_connection **kept) {
    g_autofree char *body = bench_job_body(job, items);
    bench_answer answer = bench_send(&(bench_call){.daemon = daemon,
                                                   .method = "POST",
                                                   .target = "/jobs/x",
                                                   .request_id = job,
                                                   .body = body,
                                                   .timeout_ms = TIMEOUT_MS,
                                                   .kept = kept});
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

/**
 * Deletes a job. Without a complete 200 answer, for which it returns false, the job may have ended
 * or not.
 */
static bool delete_job(int daemon, const char *job, int items, hs_client_connection **kept) {
    g_autofree char *target = g_strdup_printf(PATH_JOBS "%s", job);
    soak_add_id(record.deleted_jobs, job);
    bench_answer answer = bench_send(&(bench_call){.daemon = daemon,
                                                   .method = "DELETE",
                                                   .target = target,
                                                   .timeout_ms = TIMEOUT_MS,
                                                   .kept = kept});
    uint64_t answered_ms = hs_clock_monotonic_ms();
    bool is_acknowledged = answer.status == 200 && answer.whole;
    bench_answer_clear(&answer);
    if (is_acknowledged)
        soak_record_job_end(job, items, answered_ms);
    for (int item = 0; is_acknowledged && item < items; item++) {
        g_autofree char *id = make_item_id(job, item);
        soak_record_end(id);
    }
    return is_acknowledged;
}

static int pick_caller_daemon(const job_caller *caller) {
    return g_rand_int_range(caller->rng, 0, bench_daemon_count());
}

static void send_job(job_caller *caller) {
    char *job = g_strdup_printf("j%u-%u", caller->seed, caller->number++);
    int items = g_rand_int_range(caller->rng, 1, MAX_JOB_ITEMS + 1);
    if (send_submission(pick_caller_daemon(caller), job, items, NULL))
        g_ptr_array_add(caller->accepted, job);
    else
        g_free(job);
}

static void read_accepted_job(const job_caller *caller) {
    guint index = (guint)g_rand_int_range(caller->rng, 0, (gint32)caller->accepted->len);
    soak_read_job(pick_caller_daemon(caller), caller->accepted->pdata[index]);
}

static void delete_last_job(const job_caller *caller) {
    const char *job = caller->accepted->pdata[caller->accepted->len - 1];
    g_mutex_lock(&record.lock);
    int items = GPOINTER_TO_INT(g_hash_table_lookup(record.accepted_jobs, job));
    g_mutex_unlock(&record.lock);
    delete_job(pick_caller_daemon(caller), job, items, NULL);
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
            delete_last_job(&caller);
    }
    g_ptr_array_free(caller.accepted, TRUE);
    g_rand_free(caller.rng);
    return NULL;
}

typedef struct {
    job_caller caller;
    hs_client_connection *connections[BENCH_MAX_DAEMONS]; /**< Idle ones, by daemon; or NULL. */
} job_ending_caller;

typedef struct {
    char *id;
    int items;
} submitted_job;

/** Also keeps jobs whose submission was not answered: they may exist. */
static submitted_job submit_job_to_end(job_ending_caller *ending, int max_items) {
    job_caller *caller = &ending->caller;
    submitted_job job = {g_strdup_printf("j%u-%u", caller->seed, caller->number++),
                         g_rand_int_range(caller->rng, 1, max_items + 1)};
    int daemon = pick_caller_daemon(caller);
    send_submission(daemon, job.id, job.items, &ending->connections[daemon]);
    return job;
}

static bool end_submitted_job(job_ending_caller *ending, const submitted_job *job) {
    int daemon = pick_caller_daemon(&ending->caller);
    return delete_job(daemon, job->id, job->items, &ending->connections[daemon]);
}

static void end_job_repeatedly(job_ending_caller *ending, const submitted_job *job) {
    bool is_acknowledged = false;
    for (int attempt = 0; attempt < MAX_END_ATTEMPTS && !is_acknowledged; attempt++)
        is_acknowledged = end_submitted_job(ending, job);
    int more = g_rand_int_range(ending->caller.rng, 0, MAX_REPEATED_ENDS + 1);
    for (int repetition = 0; is_acknowledged && repetition < more; repetition++)
        end_submitted_job(ending, job);
}

/** Waits as long as all callers collect jobs to end at once, or for a random time. */
static void wait_before_ends(const job_caller *caller, bool is_collecting) {
    uint64_t until_ms = hs_clock_monotonic_ms() + MAX_COLLECTING_MS;
    while (is_collecting && g_atomic_int_get(&record.is_collecting_jobs) != 0 &&
           hs_clock_monotonic_ms() < until_ms)
        hs_clock_sleep_ms(COLLECTING_POLL_MS);
    if (is_collecting)
        return;
    static const int max_waits_ms[] = {0, MAX_WAITING_MS, MAX_RUNNING_MS};
    int max_ms = max_waits_ms[g_rand_int_range(caller->rng, 0, G_N_ELEMENTS(max_waits_ms))];
    hs_clock_sleep_ms((uint64_t)g_rand_int_range(caller->rng, 0, max_ms + 1));
}

static void end_jobs_in_a_row(job_ending_caller *ending) {
    job_caller *caller = &ending->caller;
    submitted_job jobs[MAX_JOBS_IN_A_ROW];
    bool is_collecting = g_atomic_int_get(&record.is_collecting_jobs) != 0;
    int count =
        is_collecting ? MAX_JOBS_IN_A_ROW : g_rand_int_range(caller->rng, 1, MAX_JOBS_IN_A_ROW + 1);
    for (int index = 0; index < count; index++)
        jobs[index] =
            submit_job_to_end(ending, is_collecting ? MAX_COLLECTED_ITEMS : MAX_JOB_ITEMS);
    wait_before_ends(caller, is_collecting);
    for (int index = 0; index < count; index++) {
        end_job_repeatedly(ending, &jobs[index]);
        hs_clock_sleep_ms((uint64_t)g_rand_int_range(caller->rng, 0, MAX_END_GAP_MS + 1));
        g_free(jobs[index].id);
    }
}

gpointer soak_run_job_ending_caller(gpointer data) {
    job_ending_caller ending = {.caller = {.rng = g_rand_new_with_seed(GPOINTER_TO_UINT(data)),
                                           .seed = GPOINTER_TO_UINT(data)}};
    while (g_atomic_int_get(&record.stopping) == 0) {
        end_jobs_in_a_row(&ending);
        hs_clock_sleep_ms((uint64_t)g_rand_int_range(ending.caller.rng, 0, MAX_ROW_PAUSE_MS + 1));
    }
    for (int daemon = 0; daemon < bench_daemon_count(); daemon++)
        hs_client_connection_close(ending.connections[daemon]);
    g_rand_free(ending.caller.rng);
    return NULL;
}
