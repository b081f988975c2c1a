/** @file test_fleet_tenants.c  System tests of tenants, their keys and their limits. */
#include "base/clock.h"
#include "http/http_fields.h"
#include "tests/support/fault_proxy.h"
#include "tests/system/fleet_calls.h"
#include "tests/system/system_tests.h"

#include <CUnit/CUnit.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <string.h>

/** Time in ms within which all daemons apply a configuration. */
#define APPLY_MS 700
#define LONG_KEY_BYTES (64 * 1024)
/** Time in ms after which a strict daemon without the store accepts no key: its keys are valid for
 * 900 ms, and its last read of the store may be a second old. */
#define STRICT_EXPIRY_MS 2500
#define STREAM_MS 3000
/** Time in ms within which partitions are assigned to all daemons. */
#define ASSIGNMENT_MS 2500

#define ALPHA_KEY "X-Api-Key: alphasecretkey1"
#define ALPHA_OTHER_KEY "X-Api-Key: alphasecretkey2"
#define BETA_KEY "X-Api-Key: betasecretkey1"
#define BOTH_TENANTS                                                                               \
    "[{\"name\":\"alpha\",\"api-keys\":[\"alphasecretkey1\",\"alphasecretkey2\"]},"                \
    "{\"name\":\"beta\",\"api-keys\":[\"betasecretkey1\"]}]"
#define ALPHAS_FIRST_KEY_REVOKED                                                                   \
    "[{\"name\":\"alpha\",\"api-keys\":[\"alphasecretkey2\"]},"                                    \
    "{\"name\":\"beta\",\"api-keys\":[\"betasecretkey1\"]}]"
#define ALPHAS_FIRST_KEY_MOVED_TO_BETA                                                             \
    "[{\"name\":\"alpha\",\"api-keys\":[\"alphasecretkey2\"]},"                                    \
    "{\"name\":\"beta\",\"api-keys\":[\"betasecretkey1\",\"alphasecretkey1\"]}]"

/** Alpha's rate per second and burst, far below what the tests send. */
#define LIMIT_RATE 10
/** More calls in a row than a full bucket and its refill admit. */
#define MAX_DRAIN_CALLS 60
#define LIMIT_BURST 5
#define ALPHA_LIMITED                                                                              \
    "[{\"name\":\"alpha\",\"api-keys\":[\"alphasecretkey1\"],\"rate-per-s\":10,\"burst\":5},"      \
    "{\"name\":\"beta\",\"api-keys\":[\"betasecretkey1\"]}]"

static char log_directory[] = "/tmp/heathsail-tenants-XXXXXX";
static int version = 100;

/** Configures the tenants and waits until all daemons have applied them. */
static void configure(const char *tenants) {
    bench_configure_tenants(++version, tenants);
    hs_clock_sleep_ms(APPLY_MS);
}

int begin_tenants(void) {
    if (strstr(log_directory, "XXXXXX") != NULL && g_mkdtemp(log_directory) == NULL)
        return -1;
    bench.settings = (bench_settings){.log_directory = log_directory};
    int started = bench_set_up();
    configure(BOTH_TENANTS);
    return started;
}

int end_tenants(void) {
    int ended = bench_tear_down();
    bench.settings = (bench_settings){0};
    return ended;
}

static bench_answer call_with(int daemon, const char *method, const char *target, const char *id,
                              const char *const *fields) {
    return bench_send(&(bench_call){.daemon = daemon,
                                    .method = method,
                                    .target = target,
                                    .request_id = id,
                                    .body = strcmp(method, "POST") == 0 ? "hello" : NULL,
                                    .fields = fields});
}

static uint32_t status_with(int daemon, const char *method, const char *target, const char *id,
                            const char *const *fields) {
    bench_answer answer = call_with(daemon, method, target, id, fields);
    uint32_t status = answer.status;
    bench_answer_clear(&answer);
    return status;
}

static uint32_t post_with(const char *target, const char *id, const char *key) {
    const char *const fields[] = {key, NULL};
    return status_with(0, "POST", target, id, fields);
}

/** Finds a request among the calls that engines received; false if none did. */
static bool find_call(const char *id, token_engine_call *call) {
    for (int index = 0; index < BENCH_ENGINES; index++)
        for (uint32_t number = 0; token_engine_find_call(bench.engines[index], number, call);
             number++)
            if (strcmp(call->request_id, id) == 0)
                return true;
    return false;
}

static void a_route_that_is_not_public_requires_a_key(void) {
    g_autofree char *letters = g_strnfill(LONG_KEY_BYTES, 'k');
    g_autofree char *long_key = g_strdup_printf("X-Api-Key: %s", letters);
    static const char *const twice[] = {ALPHA_KEY, BETA_KEY, NULL};
    static const char *const routes[] = {"/plain/x", "/once/x", "/again/x", "/jobs/x"};
    for (size_t index = 0; index < G_N_ELEMENTS(routes); index++) {
        CU_ASSERT_EQUAL(post_with(routes[index], "no-key", NULL), 401);
        CU_ASSERT_EQUAL(post_with(routes[index], "bad-key", "X-Api-Key: alphasecretkey"), 401);
        CU_ASSERT_EQUAL(post_with(routes[index], "odd-key", "X-Api-Key: alpha\x01secret"), 400);
        CU_ASSERT_EQUAL(status_with(0, "POST", routes[index], "two-keys", twice), 400);
        uint32_t status = post_with(routes[index], "long-key", long_key);
        CU_ASSERT(status == 400 || status == 401 || status == 413 || status == 431);
    }
    static const char *const refused[] = {"no-key", "bad-key", "odd-key", "two-keys", "long-key"};
    token_engine_call call;
    for (size_t index = 0; index < G_N_ELEMENTS(refused); index++)
        CU_ASSERT_FALSE(find_call(refused[index], &call));
    CU_ASSERT_EQUAL(post_with("/plain/x", "a-key", ALPHA_KEY), 200);
    CU_ASSERT_EQUAL(post_with("/once/x", "b-key", BETA_KEY), 200);
    CU_ASSERT_EQUAL(post_with("/plain/open/x", "open", NULL), 200);
    CU_ASSERT_EQUAL(post_with("/plain/open/x", "open-bad", "X-Api-Key: whatever"), 200);
    CU_ASSERT_EQUAL(post_with("/nowhere/x", "nowhere", ALPHA_KEY), 404);
}

static void engines_receive_the_tenant_but_no_key(void) {
    static const char *const fields[] = {ALPHA_KEY, "Heathsail-Tenant: beta",
                                         "heathsail-tenant: gamma", NULL};
    static const char *const stranger[] = {"Heathsail-Tenant: beta", NULL};
    CU_ASSERT_EQUAL(status_with(1, "POST", "/plain/x", "told", fields), 200);
    CU_ASSERT_EQUAL(status_with(1, "POST", "/plain/open/x", "told-open", stranger), 200);
    token_engine_call call = {0};
    CU_ASSERT_TRUE(find_call("told", &call));
    CU_ASSERT_STRING_EQUAL(call.tenant, "alpha");
    CU_ASSERT_FALSE(call.has_key);
    CU_ASSERT_TRUE(find_call("told-open", &call));
    CU_ASSERT_STRING_EQUAL(call.tenant, "");
}

/** All daemons give access to the job only to its tenant, independent of the partition's owner. */
static void a_job_is_accessible_to_its_tenant_only(void) {
    hs_clock_sleep_ms(ASSIGNMENT_MS);
    static const char *const alpha[] = {ALPHA_KEY, NULL};
    static const char *const other[] = {ALPHA_OTHER_KEY, NULL};
    static const char *const beta[] = {BETA_KEY, NULL};
    g_autofree char *body = bench_job_body("owned", 4);
    bench_call submit = {.method = "POST",
                         .target = "/jobs/x",
                         .request_id = "owned",
                         .body = body,
                         .fields = alpha};
    bench_answer accepted = bench_send(&submit);
    CU_ASSERT_EQUAL(accepted.status, 202);
    bench_answer_clear(&accepted);
    hs_clock_sleep_ms(ASSIGNMENT_MS);
    for (int daemon = 0; daemon < bench_daemon_count(); daemon++) {
        CU_ASSERT_EQUAL(status_with(daemon, "GET", "/lots/owned?after=0", NULL, alpha), 200);
        CU_ASSERT_EQUAL(status_with(daemon, "GET", "/lots/owned?after=0", NULL, other), 200);
        CU_ASSERT_EQUAL(status_with(daemon, "GET", "/lots/owned?after=0", NULL, beta), 404);
        CU_ASSERT_EQUAL(status_with(daemon, "GET", "/items/owned?id=owned-0", NULL, beta), 404);
        CU_ASSERT_EQUAL(status_with(daemon, "DELETE", "/lots/owned", NULL, beta), 404);
        CU_ASSERT_EQUAL(status_with(daemon, "GET", "/lots/owned?after=0", NULL, NULL), 401);
        submit.daemon = daemon;
        submit.fields = beta;
        bench_answer again = bench_send(&submit);
        CU_ASSERT_EQUAL(again.status, 409);
        bench_answer_clear(&again);
        submit.fields = other;
        again = bench_send(&submit);
        CU_ASSERT_EQUAL(again.status, 202);
        bench_answer_clear(&again);
    }
    token_engine_call call = {0};
    CU_ASSERT_TRUE(find_call("owned-0", &call));
    CU_ASSERT_STRING_EQUAL(call.tenant, "alpha");
    CU_ASSERT_FALSE(call.has_key);
}

/** The items still run for the tenant after its key was revoked and all daemons were killed. */
static void a_job_keeps_its_tenant_after_revocation_and_restarts(void) {
    bench_set_engine_modes(TOKEN_ENGINE_FULL);
    g_autofree char *body = bench_job_body("kept", 2);
    static const char *const alpha[] = {ALPHA_KEY, NULL};
    static const char *const other[] = {ALPHA_OTHER_KEY, NULL};
    bench_answer accepted = bench_send(&(bench_call){.method = "POST",
                                                     .target = "/jobs/x",
                                                     .request_id = "kept",
                                                     .body = body,
                                                     .fields = alpha});
    CU_ASSERT_EQUAL(accepted.status, 202);
    bench_answer_clear(&accepted);
    configure(ALPHAS_FIRST_KEY_REVOKED);
    for (int daemon = 0; daemon < bench_daemon_count(); daemon++)
        bench_signal_daemon(daemon, SIGKILL);
    for (int daemon = 0; daemon < bench_daemon_count(); daemon++)
        bench_start_daemon(daemon, false);
    for (int daemon = 0; daemon < bench_daemon_count(); daemon++)
        CU_ASSERT_TRUE(bench_wait_ready(daemon));
    bench_set_engine_modes(TOKEN_ENGINE_HEALTHY);
    CU_ASSERT_EQUAL(status_with(1, "GET", "/lots/kept?after=0", NULL, alpha), 401);
    uint64_t limit_ms = hs_clock_monotonic_ms() + JOB_LIMIT_MS;
    bool is_done = false;
    while (!is_done && hs_clock_monotonic_ms() < limit_ms) {
        bench_answer page = call_with(2, "GET", "/lots/kept?after=1", NULL, other);
        is_done = page.status == 200 && strstr(page.body, "completed") != NULL;
        bench_answer_clear(&page);
        hs_clock_sleep_ms(100);
    }
    CU_ASSERT_TRUE(is_done);
    token_engine_call call = {0};
    CU_ASSERT_TRUE(find_call("kept-1", &call));
    CU_ASSERT_STRING_EQUAL(call.tenant, "alpha");
    configure(BOTH_TENANTS);
}

/** A revoked key is refused, also on a reused connection, until another tenant has it. */
static void a_revoked_key_is_refused(void) {
    static const char *const alpha[] = {ALPHA_KEY, NULL};
    hs_client_connection *connection = NULL;
    bench_call call = {.method = "POST",
                       .target = "/plain/x",
                       .request_id = "before",
                       .body = "hello",
                       .fields = alpha,
                       .kept = &connection};
    bench_answer answer = bench_send(&call);
    CU_ASSERT_EQUAL(answer.status, 200);
    bench_answer_clear(&answer);
    configure(ALPHAS_FIRST_KEY_REVOKED);
    call.request_id = "after";
    answer = bench_send(&call);
    CU_ASSERT_EQUAL(answer.status, 401);
    bench_answer_clear(&answer);
    if (connection != NULL)
        hs_client_connection_close(connection);
    token_engine_call received;
    CU_ASSERT_FALSE(find_call("after", &received));
    configure(ALPHAS_FIRST_KEY_MOVED_TO_BETA);
    CU_ASSERT_EQUAL(post_with("/plain/x", "moved", ALPHA_KEY), 200);
    CU_ASSERT_TRUE(find_call("moved", &received));
    CU_ASSERT_STRING_EQUAL(received.tenant, "beta");
    configure(BOTH_TENANTS);
}

static gpointer revoke_key(gpointer data) {
    (void)data;
    hs_clock_sleep_ms(300);
    bench_configure_tenants(++version, ALPHAS_FIRST_KEY_REVOKED);
    return NULL;
}

static void a_held_request_is_checked_by_the_current_configuration(void) {
    bench_set_engine_modes(TOKEN_ENGINE_FULL);
    GThread *operator= g_thread_new("operator", revoke_key, NULL);
    uint64_t start_ms = hs_clock_monotonic_ms();
    CU_ASSERT_EQUAL(post_with("/plain/x", "held", ALPHA_KEY), 401);
    CU_ASSERT(hs_clock_monotonic_ms() - start_ms < 300 + 2 * APPLY_MS);
    g_thread_join(operator);
    bench_set_engine_modes(TOKEN_ENGINE_HEALTHY);
    configure(BOTH_TENANTS);
}

/** Restarts a daemon with strict revocation, which reaches the store through a proxy. */
static fault_proxy *start_strict_daemon(int daemon) {
    g_autofree char *path = g_strdup_printf("%s/strict.conf", log_directory);
    CU_ASSERT_TRUE(
        g_file_set_contents(path, "[fleet]\nstrict_revoke = 1\nrevoke_ms = 900\n", -1, NULL));
    fault_proxy *proxy = fault_proxy_start(log_store_port(bench.store));
    bench_signal_daemon(daemon, SIGKILL);
    bench.store_ports[daemon] = fault_proxy_port(proxy);
    CU_ASSERT_TRUE(bench_start_daemon_with_settings(daemon, path));
    CU_ASSERT_TRUE(bench_wait_ready(daemon));
    return proxy;
}

static void end_strict_daemon(int daemon, fault_proxy *proxy) {
    bench_signal_daemon(daemon, SIGKILL);
    bench.store_ports[daemon] = 0;
    fault_proxy_stop(proxy);
    CU_ASSERT_TRUE(bench_start_daemon(daemon, false));
    CU_ASSERT_TRUE(bench_wait_ready(daemon));
}

static uint32_t post_at(int daemon, const char *target, const char *id, const char *key) {
    const char *const fields[] = {key, NULL};
    return status_with(daemon, "POST", target, id, fields);
}

/**
 * A daemon with strict revocation that can't reach the store accepts keys for a limited time, then
 * answers 503, except on public routes.
 */
static void keys_are_valid_for_a_limited_time_without_the_store(void) {
    fault_proxy *proxy = start_strict_daemon(2);
    CU_ASSERT_EQUAL(post_at(2, "/plain/x", "strict", ALPHA_KEY), 200);
    fault_proxy_set_mode(proxy, PROXY_RESETS);
    CU_ASSERT_EQUAL(post_at(2, "/plain/x", "just-cut", ALPHA_KEY), 200);
    hs_clock_sleep_ms(STRICT_EXPIRY_MS);
    CU_ASSERT_EQUAL(post_at(2, "/plain/x", "long-cut", ALPHA_KEY), 503);
    CU_ASSERT_EQUAL(post_at(2, "/plain/open/x", "long-cut-open", NULL), 200);
    fault_proxy_set_mode(proxy, PROXY_FORWARDS);
    hs_clock_sleep_ms(STRICT_EXPIRY_MS);
    CU_ASSERT_EQUAL(post_at(2, "/plain/x", "healed", ALPHA_KEY), 200);
    end_strict_daemon(2, proxy);
}

static gpointer post_while_cut(gpointer status) {
    *(uint32_t *)status = post_at(2, "/plain/x", "held-too-long", ALPHA_KEY);
    return NULL;
}

/** Guards against requests that wait for an engine and use a key that expired meanwhile. */
static void a_held_request_is_not_sent_after_its_key_has_expired(void) {
    fault_proxy *proxy = start_strict_daemon(2);
    uint32_t status = 0;
    bench_set_engine_modes(TOKEN_ENGINE_FULL);
    fault_proxy_set_mode(proxy, PROXY_RESETS);
    GThread *caller = g_thread_new("caller", post_while_cut, &status);
    hs_clock_sleep_ms(STRICT_EXPIRY_MS);
    bench_set_engine_modes(TOKEN_ENGINE_HEALTHY);
    g_thread_join(caller);
    CU_ASSERT_EQUAL(status, 503);
    CU_ASSERT_EQUAL(bench_run_count("held-too-long"), 0);
    end_strict_daemon(2, proxy);
}

/** With strict revocation a stream ends when its key is revoked; without, the stream continues. */
static void streams_of_a_revoked_key_end_with_strict_revocation(void) {
    fault_proxy *proxy = start_strict_daemon(2);
    bench_set_engine_modes(TOKEN_ENGINE_ENDLESS);
    static const char *const alpha[] = {ALPHA_KEY, NULL};
    for (int daemon = 1; daemon <= 2; daemon++) {
        GThread *operator= g_thread_new("operator", revoke_key, NULL);
        bench_answer answer = bench_send(&(bench_call){.daemon = daemon,
                                                       .method = "POST",
                                                       .target = "/once/x",
                                                       .request_id = "under-way",
                                                       .body = "hello",
                                                       .fields = alpha,
                                                       .disconnect_after_ms = STREAM_MS});
        g_thread_join(operator);
        CU_ASSERT_FALSE(answer.whole);
        CU_ASSERT_EQUAL(answer.left, daemon == 1);
        bench_answer_clear(&answer);
        configure(BOTH_TENANTS);
    }
    bench_set_engine_modes(TOKEN_ENGINE_HEALTHY);
    end_strict_daemon(2, proxy);
}

/** Sends requests as alpha to all daemons in turn, one each @p pause_ms. Returns those served. */
static int send_as_alpha(const char *prefix, int count, unsigned pause_ms, int *refused) {
    int served = 0;
    for (int index = 0; index < count; index++) {
        g_autofree char *id = g_strdup_printf("%s-%d", prefix, index);
        static const char *const alpha[] = {ALPHA_KEY, NULL};
        uint32_t status = status_with(index % bench_daemon_count(), "POST", "/plain/x", id, alpha);
        served += status == 200;
        *refused += status == 429;
        hs_clock_sleep_ms(pause_ms);
    }
    return served;
}

/** The daemons together keep the limit, also when the tenant's limit owner is killed. */
static void a_limit_holds_across_all_daemons(void) {
    configure(ALPHA_LIMITED);
    hs_clock_sleep_ms(1000); /* The bucket is full. */
    uint64_t start_ms = hs_clock_monotonic_ms();
    int refused = 0;
    int served = send_as_alpha("limit", 150, 5, &refused);
    double allowed = LIMIT_BURST + LIMIT_RATE * (double)(hs_clock_monotonic_ms() - start_ms) / 1000;
    CU_ASSERT_EQUAL(served + refused, 150);
    CU_ASSERT(served <= (int)allowed + 1);
    CU_ASSERT(served >= (int)(allowed * 0.7));
    /* Each daemon, and thus the limit owner, is killed once; the others go on to serve. */
    for (int daemon = 0; daemon < bench_daemon_count(); daemon++) {
        bench_signal_daemon(daemon, SIGKILL);
        served += send_as_alpha(daemon == 0   ? "killed-0"
                                : daemon == 1 ? "killed-1"
                                              : "killed-2",
                                90, 5, &refused);
        bench_start_daemon(daemon, false);
        CU_ASSERT_TRUE(bench_wait_ready(daemon));
    }
    allowed = LIMIT_BURST + LIMIT_RATE * (double)(hs_clock_monotonic_ms() - start_ms) / 1000;
    CU_ASSERT(served <= (int)allowed + 1);
    configure(BOTH_TENANTS);
}

/**
 * Sends requests as alpha until one is refused, and returns its answer. The limit admits a request
 * each 100 ms, so that a single request might be admitted. Free the answer with bench_answer_clear.
 */
static bench_answer send_until_refused(void) {
    static const char *const alpha[] = {ALPHA_KEY, NULL};
    bench_answer answer = {0};
    for (int index = 0; index < MAX_DRAIN_CALLS && answer.status != 429; index++) {
        g_autofree char *id = g_strdup_printf("told-when-%d", index);
        bench_answer_clear(&answer);
        answer = call_with(index % bench_daemon_count(), "POST", "/plain/x", id, alpha);
    }
    return answer;
}

static void a_request_after_retry_after_is_admitted(void) {
    configure(ALPHA_LIMITED);
    int refused = 0;
    send_as_alpha("drain", MAX_DRAIN_CALLS, 0, &refused);
    CU_ASSERT(refused > 0);
    bench_answer answer = send_until_refused();
    CU_ASSERT_EQUAL(answer.status, 429);
    const char *after =
        answer.fields != NULL ? hs_http_fields_find(answer.fields, "Retry-After") : NULL;
    CU_ASSERT_PTR_NOT_NULL_FATAL(after);
    double seconds = g_ascii_strtod(after, NULL);
    CU_ASSERT(seconds > 0 && seconds <= 5);
    bench_answer_clear(&answer);
    hs_clock_sleep_ms((uint64_t)(seconds * 1000) + 20);
    CU_ASSERT_EQUAL(post_with("/plain/x", "returned", ALPHA_KEY), 200);
    CU_ASSERT_EQUAL(post_with("/plain/x", "of-beta", BETA_KEY), 200);
    CU_ASSERT(get_daemon_metric(0, "heathsail_requests_ended{reason=\"over_limit\"}") > 0);
    configure(BOTH_TENANTS);
}

static void no_key_is_logged(void) {
    CU_ASSERT_EQUAL(post_with("/plain/x", "unknown", "X-Api-Key: unknownsecretkey"), 401);
    for (int daemon = 0; daemon < bench_daemon_count(); daemon++) {
        g_autofree char *path = g_strdup_printf("%s/daemon-%d.log", log_directory, daemon);
        g_autofree char *text = NULL;
        CU_ASSERT_TRUE(g_file_get_contents(path, &text, NULL, NULL));
        CU_ASSERT_PTR_NOT_NULL(strstr(text, "config_applied"));
        CU_ASSERT_PTR_NULL(strstr(text, "secretkey"));
    }
    CU_ASSERT(get_daemon_metric(0, "heathsail_requests_ended{reason=\"key_unknown\"}") > 0);
}

const test_case fleet_tenant_system_tests[] = {
    {"a_route_that_is_not_public_requires_a_key", a_route_that_is_not_public_requires_a_key},
    {"engines_receive_the_tenant_but_no_key", engines_receive_the_tenant_but_no_key},
    {"a_job_is_accessible_to_its_tenant_only", a_job_is_accessible_to_its_tenant_only},
    {"a_job_keeps_its_tenant_after_revocation_and_restarts",
     a_job_keeps_its_tenant_after_revocation_and_restarts},
    {"a_revoked_key_is_refused", a_revoked_key_is_refused},
    {"a_held_request_is_checked_by_the_current_configuration",
     a_held_request_is_checked_by_the_current_configuration},
    {"keys_are_valid_for_a_limited_time_without_the_store",
     keys_are_valid_for_a_limited_time_without_the_store},
    {"a_held_request_is_not_sent_after_its_key_has_expired",
     a_held_request_is_not_sent_after_its_key_has_expired},
    {"streams_of_a_revoked_key_end_with_strict_revocation",
     streams_of_a_revoked_key_end_with_strict_revocation},
    {"a_limit_holds_across_all_daemons", a_limit_holds_across_all_daemons},
    {"a_request_after_retry_after_is_admitted", a_request_after_retry_after_is_admitted},
    {"no_key_is_logged", no_key_is_logged},
    {NULL, NULL}};
