/**
 * @file test_shares.c
 * Tenants' shares of a service that is short of slots: accounting of use, queue priorities, fair
 * shares, and a simulation of 73 daemons and 79 tenants that compares sharing policies.
 */
#include "online/fair_level.h"
#include "online/fair_levels.h"
#include "online/queue_priority.h"
#include "tenants/tenant_runs.h"
#include "tenants/tenant_use.h"
#include "tests/unit/unit_tests.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

/* ---- accounting of use ---- */

static void report_use(hs_tenant_uses *uses, const char *daemon, uint64_t incarnation,
                       uint64_t used_ms, uint64_t now_ms) {
    hs_tenant_use_report report = {
        .tenant = "a", .daemon = daemon, .incarnation = incarnation, .used_ms = used_ms};
    hs_tenant_uses_put_report(uses, &report, now_ms);
}

static void requests_count_with_their_expected_run_time(void) {
    hs_tenant_runs *runs = hs_tenant_runs_new();
    CU_ASSERT_EQUAL(hs_tenant_runs_requested_ms(runs, "a"), 0);
    hs_tenant_runs_note_request(runs, "a", "s", 300);
    CU_ASSERT_EQUAL(hs_tenant_runs_requested_ms(runs, "a"), 300);
    hs_tenant_runs_note_run(runs, "a", "s",
                            50); /* From now on the tenant's own mean run time counts. */
    hs_tenant_runs_note_request(runs, "a", "s", 300);
    CU_ASSERT_EQUAL(hs_tenant_runs_requested_ms(runs, "a"), 350);
    for (int run = 0; run < 100; run++)
        hs_tenant_runs_note_run(runs, "a", "s", 150);
    hs_tenant_runs_note_request(runs, "a", "s", 300);
    CU_ASSERT_DOUBLE_EQUAL((double)hs_tenant_runs_requested_ms(runs, "a"), 500, 1);
    CU_ASSERT_EQUAL(hs_tenant_runs_requested_ms(runs, "b"), 0);
    hs_tenant_runs_free(runs);
}

static void use_is_split_by_service(void) {
    hs_tenant_runs *runs = hs_tenant_runs_new();
    CU_ASSERT_EQUAL(hs_tenant_runs_note_request(runs, "a", "large", 400), 1);
    for (int request = 0; request < 900; request++)
        hs_tenant_runs_note_request(runs, "a", request % 9 == 0 ? "small" : "large", 400);
    CU_ASSERT_DOUBLE_EQUAL(hs_tenant_runs_note_request(runs, "a", "small", 400), 1.0 / 9, 0.03);
    CU_ASSERT_DOUBLE_EQUAL(hs_tenant_runs_note_request(runs, "a", "large", 400), 8.0 / 9, 0.03);
    for (int request = 0; request < 300; request++) /* Old requests decay. */
        hs_tenant_runs_note_request(runs, "a", "small", 400);
    CU_ASSERT_TRUE(hs_tenant_runs_note_request(runs, "a", "small", 400) > 0.9);
    CU_ASSERT_EQUAL(hs_tenant_runs_note_request(runs, "b", "large", 0), 1);
    hs_tenant_runs_free(runs);
}

/** Forty daemons use one slot each and report twice a second. */
static void reported_use_converges_to_the_slots_held(void) {
    hs_tenant_uses *uses = hs_tenant_uses_new();
    char daemon[16];
    for (uint64_t now_ms = 0; now_ms < 10000; now_ms += 500)
        for (uint64_t index = 0; index < 40; index++) {
            g_snprintf(daemon, sizeof daemon, "d%u", (unsigned)index);
            report_use(uses, daemon, 1, now_ms + index * 12, now_ms + index * 12);
        }
    CU_ASSERT_DOUBLE_EQUAL(hs_tenant_uses_slots(uses, "a", 10000), 40, 4);
    CU_ASSERT_DOUBLE_EQUAL(hs_tenant_uses_slots(uses, "a", 10000 + 3 * HS_TENANT_USE_DECAY_MS),
                           40 * exp(-3), 1);
    CU_ASSERT_EQUAL(hs_tenant_uses_slots(uses, "b", 10000), 0);
    hs_tenant_uses_free(uses);
}

/** Every second report is lost, the others arrive twice and out of order. */
static void lost_and_repeated_reports_do_not_change_use(void) {
    hs_tenant_uses *all = hs_tenant_uses_new();
    hs_tenant_uses *some = hs_tenant_uses_new();
    for (uint64_t now_ms = 0; now_ms <= 10000; now_ms += 100) {
        report_use(all, "d", 1, 3 * now_ms, now_ms);
        if (now_ms % 200 == 0) {
            report_use(some, "d", 1, 3 * now_ms, now_ms);
            report_use(some, "d", 1, 3 * now_ms, now_ms);
            report_use(some, "d", 1, 3 * (now_ms - MIN(now_ms, 100)), now_ms);
        }
    }
    /* Three slots, plus the step added by the last report. */
    double fast = HS_TENANT_USE_FAST_DECAY_MS;
    CU_ASSERT_DOUBLE_EQUAL(hs_tenant_uses_slots(all, "a", 10000),
                           300 / fast / (1 - exp(-100 / fast)), 0.01);
    CU_ASSERT_DOUBLE_EQUAL(hs_tenant_uses_slots(some, "a", 10000),
                           600 / fast / (1 - exp(-200 / fast)), 0.01);
    hs_tenant_uses_free(all);
    hs_tenant_uses_free(some);
}

/** A restart sets a new baseline, and a late report of the previous incarnation is ignored. */
static void a_restarted_daemon_sets_a_new_baseline(void) {
    hs_tenant_uses *uses = hs_tenant_uses_new();
    report_use(uses, "d", 1, 900000, 0);
    CU_ASSERT_EQUAL(hs_tenant_uses_slots(uses, "a", 0), 0);
    report_use(uses, "d", 1, 900000 + 2 * HS_TENANT_USE_FAST_DECAY_MS, 0);
    CU_ASSERT_DOUBLE_EQUAL(hs_tenant_uses_slots(uses, "a", 0), 2, 0.001);
    report_use(uses, "d", 2, 950000, 0);
    report_use(uses, "d", 1, 990000, 0);
    CU_ASSERT_DOUBLE_EQUAL(hs_tenant_uses_slots(uses, "a", 0), 2, 0.001);
    report_use(uses, "d", 2, 950000 + HS_TENANT_USE_FAST_DECAY_MS, 0);
    CU_ASSERT_DOUBLE_EQUAL(hs_tenant_uses_slots(uses, "a", 0), 3, 0.001);
    hs_tenant_uses_free(uses);
}

/** The first report after a long gap does not add the use of the whole gap at once. */
static void use_after_a_long_gap_is_bounded(void) {
    hs_tenant_uses *uses = hs_tenant_uses_new();
    report_use(uses, "d", 1, 1, 0);
    report_use(uses, "d", 1, 50001, 50000);
    CU_ASSERT_TRUE(hs_tenant_uses_slots(uses, "a", 50000) <=
                   5000.0 / HS_TENANT_USE_DECAY_MS + 0.001);
    hs_tenant_uses_free(uses);
}

static void idle_tenants_expire(void) {
    hs_tenant_uses *uses = hs_tenant_uses_new();
    report_use(uses, "d", 1, 1, 0);
    report_use(uses, "e", 1, 1, 50000);
    hs_tenant_uses_expire(uses, 100000);
    CU_ASSERT_EQUAL(hs_tenant_uses_size(uses), 1);
    hs_tenant_uses_expire(uses, 120000);
    CU_ASSERT_EQUAL(hs_tenant_uses_size(uses), 0);
    hs_tenant_uses_free(uses);
}

static void top_shares_and_the_remainder(void) {
    hs_tenant_uses *uses = hs_tenant_uses_new();
    char name[8];
    for (unsigned index = 1; index <= 5; index++) {
        g_snprintf(name, sizeof name, "t%u", index);
        hs_tenant_use_report report = {
            .tenant = name, .daemon = "d", .incarnation = 1, .used_ms = 1};
        hs_tenant_uses_put_report(uses, &report, 0);
        report.used_ms += (uint64_t)index * HS_TENANT_USE_FAST_DECAY_MS;
        hs_tenant_uses_put_report(uses, &report, 0);
    }
    hs_tenant_slot_use shares[2];
    double rest = 0;
    CU_ASSERT_EQUAL(hs_tenant_uses_top(uses, shares, 2, &rest, 0), 2);
    CU_ASSERT_STRING_EQUAL(shares[0].tenant, "t5");
    CU_ASSERT_DOUBLE_EQUAL(shares[1].slots, 4, 0.001);
    CU_ASSERT_DOUBLE_EQUAL(rest, 6, 0.001);
    hs_tenant_uses_free(uses);
}

/** In messages 0 means unknown, as older builds send it; a use of 0 is encoded as more. */
static void unknown_use_differs_from_no_use(void) {
    hs_tenant_uses *uses = hs_tenant_uses_new();
    report_use(uses, "older", 1, 0, 0);
    CU_ASSERT_EQUAL(hs_tenant_uses_size(uses), 0);
    report_use(uses, "d", 1, hs_tenant_use_encode_count(0), 0);
    report_use(uses, "d", 1, hs_tenant_use_encode_count(HS_TENANT_USE_FAST_DECAY_MS), 0);
    CU_ASSERT_DOUBLE_EQUAL(hs_tenant_uses_slots(uses, "a", 0), 1, 0.001);
    CU_ASSERT_EQUAL(hs_tenant_use_decode_slots(0), 0);
    CU_ASSERT_TRUE(hs_tenant_use_decode_slots(hs_tenant_use_encode_slots(0)) > 0);
    CU_ASSERT_DOUBLE_EQUAL(hs_tenant_use_decode_slots(hs_tenant_use_encode_slots(12.5)), 12.5,
                           0.001);
    CU_ASSERT_TRUE(hs_tenant_use_decode_slots(hs_tenant_use_encode_slots(1e12)) > 1e6);
    hs_tenant_uses_free(uses);
}

/* ---- queue priorities and fair shares ---- */

static hs_queue_priority priority_of(uint32_t number) {
    return (hs_queue_priority){.used_slots = (number % 5) * (number % 5) * 1.7,
                               .rank = number / 5 % 3,
                               .is_in_time = number / 15 % 2 == 0,
                               .arrived_ms = number / 30 % 3,
                               .deadline_ms = number / 90 % 3};
}

static int sign(int value) {
    return (value > 0) - (value < 0);
}

static void priorities_have_a_consistent_order(void) {
    uint32_t violations = 0;
    for (uint32_t one = 0; one < 270; one++)
        for (uint32_t other = 0; other < 270; other++) {
            hs_queue_priority first = priority_of(one);
            hs_queue_priority second = priority_of(other);
            int order = sign(hs_queue_priority_compare(&first, &second));
            violations += order != -sign(hs_queue_priority_compare(&second, &first));
            hs_queue_priority third = priority_of((one * 7 + other * 13) % 270);
            violations += order < 0 && hs_queue_priority_compare(&second, &third) < 0 &&
                          hs_queue_priority_compare(&first, &third) >= 0;
        }
    CU_ASSERT_EQUAL(violations, 0);
}

static void tenants_with_less_use_go_first(void) {
    hs_queue_priority small = {
        .used_slots = 2, .is_in_time = true, .arrived_ms = 9, .deadline_ms = 9};
    hs_queue_priority large = {.used_slots = 20, .is_in_time = true, .arrived_ms = 1};
    CU_ASSERT_TRUE(hs_queue_priority_compare(&small, &large) < 0);
    small.is_in_time = false;
    CU_ASSERT_TRUE(hs_queue_priority_compare(&small, &large) > 0);
    /* A more urgent kind goes first, whatever the use. */
    small.is_in_time = true;
    small.rank = 1;
    CU_ASSERT_TRUE(hs_queue_priority_compare(&small, &large) > 0);
    /* Use within one band: the earlier deadline goes first, then the earlier arrival. */
    hs_queue_priority more = {.used_slots = 22, .is_in_time = true, .deadline_ms = 10};
    hs_queue_priority less = {.used_slots = 20, .is_in_time = true, .deadline_ms = 50};
    CU_ASSERT_TRUE(hs_queue_priority_compare(&more, &less) < 0);
    less.deadline_ms = 10;
    less.arrived_ms = 3;
    CU_ASSERT_TRUE(hs_queue_priority_compare(&more, &less) < 0);
    /* Unknown use: rank, deadline, arrival. */
    more.used_slots = less.used_slots = 0;
    CU_ASSERT_TRUE(hs_queue_priority_compare(&more, &less) < 0);
}

static void no_share_is_exceeded_without_a_shortage(void) {
    hs_fair_share share = {0};
    hs_service_pressure calm = hs_service_pressure_make(NULL, 0, 0);
    for (uint64_t now_ms = 0; now_ms < 5000; now_ms += 10) {
        hs_fair_share_update(&share, &calm, 300, now_ms);
        CU_ASSERT_FALSE(hs_fair_share_is_exceeded(&share, 1000, 0, &calm));
    }
    CU_ASSERT_EQUAL(share.slots, 0);
}

static void a_share_follows_the_shortage(void) {
    hs_fair_share share = {0};
    hs_service_pressure shortage = {.is_short = true, .wait_ms = 120};
    hs_service_pressure calm = {.free_share = 0.1};
    uint64_t now_ms = 0;
    for (; now_ms < 3000; now_ms += 20) {
        hs_fair_share_update(&share, &shortage, 300, now_ms);
    }
    CU_ASSERT_TRUE(share.slots < 8);
    CU_ASSERT_TRUE(hs_fair_share_is_exceeded(&share, 64, 1, &shortage));
    CU_ASSERT_FALSE(hs_fair_share_is_exceeded(&share, 0.5, 0, &shortage));
    CU_ASSERT_FALSE(hs_fair_share_is_exceeded(&share, 64, 1, &calm));
    CU_ASSERT_DOUBLE_EQUAL((double)hs_fair_share_retry_after_ms(&share, 64),
                           HS_TENANT_USE_DECAY_MS * log(64 / share.slots), 1);
    CU_ASSERT_EQUAL(hs_fair_share_retry_after_ms(&share, 0.5), 0);
    double share_before = share.slots;
    for (; now_ms < 6000; now_ms += 20)
        hs_fair_share_update(&share, &calm, 300, now_ms);
    CU_ASSERT_TRUE(share.slots > share_before &&
                   share.slots < 2 * share_before); /* Kept for the next shortage. */
    for (; now_ms < 80000; now_ms += 20)
        hs_fair_share_update(&share, &calm, 300, now_ms);
    CU_ASSERT_EQUAL(share.slots, 0);
}

/** Samples depend on the request id, or on the fallback value for requests without one. */
static void samples_are_uniform(void) {
    double sum = 0;
    uint32_t lower = 0;
    for (uint64_t index = 0; index < 1000; index++) {
        double sample = hs_fair_share_sample(NULL, index);
        CU_ASSERT_TRUE(sample >= 0 && sample <= 1);
        sum += sample;
        lower += sample < 0.25;
    }
    CU_ASSERT_DOUBLE_EQUAL(sum / 1000, 0.5, 0.05);
    CU_ASSERT_DOUBLE_EQUAL(lower / 1000.0, 0.25, 0.05);
    CU_ASSERT_EQUAL(hs_fair_share_sample("id", 1), hs_fair_share_sample("id", 2));
    CU_ASSERT_TRUE(hs_fair_share_sample("", 1) != hs_fair_share_sample("", 2));
}

static void a_returning_caller_is_refused_above_twice_the_share(void) {
    hs_fair_shares *shares = hs_fair_shares_new();
    hs_service_pressure shortage = {.is_short = true, .wait_ms = 120};
    hs_fair_share_request first = {.service = "s", .used_slots = 60, .sample = 1};
    hs_fair_share_request again = {
        .service = "s", .used_slots = 60, .sample = 1, .was_refused = true};
    hs_fair_share_verdict verdict = hs_fair_shares_decide(shares, &first, &shortage, 80, 1000);
    CU_ASSERT_DOUBLE_EQUAL(verdict.share_slots, 40, 0.001);
    CU_ASSERT_TRUE(verdict.is_over && verdict.retry_after_ms > 0);
    CU_ASSERT_FALSE(hs_fair_shares_decide(shares, &again, &shortage, 80, 1000).is_over);
    again.used_slots = 81;
    CU_ASSERT_TRUE(hs_fair_shares_decide(shares, &again, &shortage, 80, 1000).is_over);
    first.service = "another";
    first.used_slots = 1;
    CU_ASSERT_FALSE(hs_fair_shares_decide(shares, &first, &shortage, 80, 1000).is_over);
    g_autofree char *text = hs_fair_shares_describe(shares);
    CU_ASSERT_PTR_NOT_NULL(strstr(text, "heathsail_fair_level_slots{service=\"s\"} 40.00"));
    hs_fair_shares_free(shares);
}

/* ---- simulation of sharing policies ---- */

#define TENANTS 79
#define DAEMONS 73
#define TOTAL_SLOTS 300
#define RUN_MS 400
#define STEP_MS 5
#define CALLER_TIMEOUT_MS 150
#define WAVE_MS 5800              /* Period of the load wave. */
#define WAVE_UP_MS 2400           /* Time of full load in each period. */
#define WAVE_LOW_RATIO 0.2        /* Part of the load in the rest of the period. */
#define MAX_PRESSURE_AGE_STEPS 20 /* Maximum age of a daemon's view of the pressure, in steps. */
#define WARM_UP_MS 5800
#define END_MS 35000
#define SEEDS 5
#define SHORT_FREE_RATIO 0.1 /* A service with fewer free slots is short. */

typedef enum {
    BY_ARRIVAL,
    BY_ROUND_ROBIN,
    BY_COUNTER,
    BY_COUNTER_OF_ALL,
    BY_FAIR_SHARE,
    POLICY_COUNT
} sharing_policy;

static const char *const policy_names[POLICY_COUNT] = {
    "first come first served", "round robin by daemon", "virtual counters by daemon",
    "virtual counters of all", "fair share"};

typedef struct {
    uint32_t tenant;
    uint32_t daemon;
    uint64_t arrived_ms;
    double used_slots;
    bool is_counted;
} model_request;

typedef struct {
    sharing_policy policy;
    uint32_t hot;        /* Tenants that send 7 times their normal load. */
    bool hot_at_one;     /* The first hot tenant sends all requests to one daemon. */
    bool in_waves;       /* Load comes in waves. */
    uint32_t cut_off;    /* Daemons that cannot reach the limit owner. */
    bool is_alone;       /* One tenant sends nearly all requests. */
    uint64_t restart_ms; /* When all daemons restart; 0: never. */
} model_case;

typedef struct {
    const model_case *scenario;
    GRand *random;
    uint64_t now_ms;
    double offered[TENANTS]; /* Slots. */
    GArray *waiting;         /* of model_request */
    GArray *ending[2000];    /* by step, of model_request that end then */
    uint32_t held;
    hs_tenant_uses *limit_owner;
    hs_tenant_uses *own[DAEMONS];
    hs_tenant_runs *runs[DAEMONS];
    hs_fair_share shares[DAEMONS];
    double counters[DAEMONS + 1][TENANTS];
    double floors[DAEMONS + 1]; /* Counter of the tenant served last; new ones start there. */
    double wait_ms[MAX_PRESSURE_AGE_STEPS + 1];
    double free_share[MAX_PRESSURE_AGE_STEPS + 1];
    uint64_t requested[TENANTS];
    uint64_t served[TENANTS];
    double served_slots[TENANTS];
    double idle; /* Slots that were free while requests were refused. */
    uint64_t steps;
    uint64_t counted_ms;
    uint32_t refused_now;
} share_model;

typedef struct {
    double within; /* Served part of requests of tenants within their share. */
    double jain;
    double min_ratio; /* Lowest ratio of served to fair share, over the mean ratio. */
    double idle;
    double hottest_slots;
} model_result;

static const uint32_t hot_ranks[] = {4, 11, 30};
static char tenant_names[TENANTS][8];
static char daemon_names[DAEMONS][8];

static bool is_hot(const share_model *model, uint32_t tenant) {
    bool found = false;
    for (uint32_t index = 0; index < G_N_ELEMENTS(hot_ranks); index++)
        found = found || (index < model->scenario->hot && hot_ranks[index] == tenant);
    return found;
}

static bool is_up(const share_model *model) {
    return !model->scenario->in_waves || model->now_ms % WAVE_MS < WAVE_UP_MS;
}

static bool is_counting(const share_model *model) {
    return model->now_ms >= WARM_UP_MS && is_up(model);
}

static double load_factor(const share_model *model, uint32_t tenant) {
    return (is_hot(model, tenant) ? 7 : 1) * (is_up(model) ? 1 : WAVE_LOW_RATIO);
}

/** Loads follow a Zipf law of 1.2; with the hot tenants, 0.7 of the demand can be served. */
static void set_offers(share_model *model) {
    double total = 0;
    for (uint32_t tenant = 0; tenant < TENANTS; tenant++) {
        model->offered[tenant] = pow(tenant + 1, -1.2);
        if (model->scenario->is_alone && tenant == 0)
            model->offered[tenant] = 50;
        total += model->offered[tenant] * (is_hot(model, tenant) ? 7 : 1);
    }
    for (uint32_t tenant = 0; tenant < TENANTS; tenant++)
        model->offered[tenant] *= TOTAL_SLOTS / 0.7 / total;
}

static void note_use(share_model *model, uint32_t daemon, uint32_t tenant) {
    const char *name = tenant_names[tenant];
    hs_tenant_use_report report = {.tenant = name,
                                   .daemon = daemon_names[daemon],
                                   .incarnation = 1,
                                   .used_ms = hs_tenant_use_encode_count(
                                       hs_tenant_runs_requested_ms(model->runs[daemon], name))};
    bool reaches_owner = daemon >= model->scenario->cut_off;
    hs_tenant_uses_put_report(reaches_owner ? model->limit_owner : model->own[daemon], &report,
                              model->now_ms);
}

static double reported_use(const share_model *model, uint32_t daemon, uint32_t tenant) {
    bool reaches_owner = daemon >= model->scenario->cut_off;
    return hs_tenant_uses_slots(reaches_owner ? model->limit_owner : model->own[daemon],
                                tenant_names[tenant], model->now_ms);
}

static hs_service_pressure pressure_of(const share_model *model, uint32_t daemon) {
    uint64_t age = (daemon * 7 + model->steps) % (MAX_PRESSURE_AGE_STEPS + 1);
    uint64_t step =
        (model->steps + MAX_PRESSURE_AGE_STEPS + 1 - age) % (MAX_PRESSURE_AGE_STEPS + 1);
    return (hs_service_pressure){.is_short = model->free_share[step] < SHORT_FREE_RATIO,
                                 .wait_ms = model->wait_ms[step],
                                 .free_share = model->free_share[step]};
}

/** A request arrives: it waits, or is refused as over its tenant's share. */
static void add_request(share_model *model, uint32_t tenant) {
    bool at_one = model->scenario->hot_at_one && tenant == hot_ranks[0];
    uint32_t daemon = at_one ? DAEMONS - 1 : (uint32_t)g_rand_int_range(model->random, 0, DAEMONS);
    model->requested[tenant] += is_counting(model);
    model_request request = {.tenant = tenant,
                             .daemon = daemon,
                             .arrived_ms = model->now_ms,
                             .is_counted = is_counting(model)};
    if (model->scenario->policy == BY_FAIR_SHARE) {
        hs_fair_share *share = &model->shares[daemon];
        hs_service_pressure pressure = pressure_of(model, daemon);
        note_use(model, daemon, tenant);
        hs_tenant_runs_note_request(model->runs[daemon], tenant_names[tenant], "s", RUN_MS);
        request.used_slots = reported_use(model, daemon, tenant);
        hs_fair_share_update(share, &pressure, TOTAL_SLOTS, model->now_ms);
        double sample = g_rand_double(model->random);
        if (hs_fair_share_is_exceeded(share, request.used_slots, sample, &pressure)) {
            model->refused_now++;
            return;
        }
    }
    for (uint32_t view = 0; view <= DAEMONS; view++) /* An idle tenant gains no credit. */
        if (view == daemon || view == DAEMONS)
            model->counters[view][tenant] =
                fmax(model->counters[view][tenant], model->floors[view]);
    g_array_append_val(model->waiting, request);
}

static void add_arrivals(share_model *model) {
    for (uint32_t tenant = 0; tenant < TENANTS; tenant++) {
        double mean = model->offered[tenant] * load_factor(model, tenant) * STEP_MS / RUN_MS;
        double left = g_rand_double(model->random); /* Poisson, by inverse transform. */
        double chance = exp(-mean);
        for (uint32_t count = 1; left > chance; count++) {
            left -= chance;
            chance *= mean / count;
            add_request(model, tenant);
        }
    }
}

/** Whether @p one goes before @p other. */
static bool goes_first(const share_model *model, const model_request *one,
                       const model_request *other) {
    uint32_t view = model->scenario->policy == BY_COUNTER_OF_ALL ? DAEMONS : one->daemon;
    double difference = model->counters[view][one->tenant] - model->counters[view][other->tenant];
    hs_queue_priority first = {one->used_slots, 0, true, one->arrived_ms, one->arrived_ms};
    hs_queue_priority second = {other->used_slots, 0, true, other->arrived_ms, other->arrived_ms};
    switch (model->scenario->policy) {
    case BY_ROUND_ROBIN:
    case BY_COUNTER:
    case BY_COUNTER_OF_ALL:
        return difference != 0 ? difference < 0 : one->arrived_ms < other->arrived_ms;
    case BY_FAIR_SHARE:
        return hs_queue_priority_compare(&first, &second) < 0;
    default:
        return one->arrived_ms < other->arrived_ms;
    }
}

/** Picks the request for a free slot: the first of a random daemon, or of all daemons. */
static guint pick_next(share_model *model) {
    bool sees_all =
        model->scenario->policy == BY_ARRIVAL || model->scenario->policy == BY_COUNTER_OF_ALL;
    guint best = (guint)g_rand_int_range(model->random, 0, (gint32)model->waiting->len);
    for (guint index = 0; index < model->waiting->len; index++) {
        const model_request *request = &g_array_index(model->waiting, model_request, index);
        const model_request *best_request = &g_array_index(model->waiting, model_request, best);
        if ((sees_all || request->daemon == best_request->daemon) &&
            goes_first(model, request, best_request))
            best = index;
    }
    return best;
}

static void serve(share_model *model, guint index) {
    model_request request = g_array_index(model->waiting, model_request, index);
    g_array_remove_index_fast(model->waiting, index);
    uint32_t run_ms = (uint32_t)g_rand_int_range(model->random, RUN_MS / 2, RUN_MS * 3 / 2);
    double charge = model->scenario->policy == BY_ROUND_ROBIN ? RUN_MS : run_ms;
    const uint32_t views[] = {request.daemon, DAEMONS};
    for (guint view = 0; view < G_N_ELEMENTS(views); view++) {
        model->floors[views[view]] = model->counters[views[view]][request.tenant];
        model->counters[views[view]][request.tenant] += charge;
    }
    model->held++;
    model->served[request.tenant] += request.is_counted;
    request.arrived_ms = model->now_ms;
    uint64_t end = (model->now_ms + run_ms) / STEP_MS % G_N_ELEMENTS(model->ending);
    g_array_append_val(model->ending[end], request);
}

static void end_runs(share_model *model) {
    GArray *ended = model->ending[model->now_ms / STEP_MS % G_N_ELEMENTS(model->ending)];
    for (guint index = 0; index < ended->len; index++) {
        const model_request *request = &g_array_index(ended, model_request, index);
        hs_tenant_runs_note_run(model->runs[request->daemon], tenant_names[request->tenant], "s",
                                (double)(model->now_ms - request->arrived_ms));
        if (request->is_counted)
            model->served_slots[request->tenant] += (double)(model->now_ms - request->arrived_ms);
    }
    model->held -= ended->len;
    g_array_set_size(ended, 0);
}

static void expire_waiting(share_model *model) {
    for (guint index = model->waiting->len; index > 0; index--) {
        const model_request *request = &g_array_index(model->waiting, model_request, index - 1);
        if (request->arrived_ms + CALLER_TIMEOUT_MS < model->now_ms)
            g_array_remove_index_fast(model->waiting, index - 1);
    }
}

/** Restarts all daemons; engines drop their running requests. */
static void restart_all(share_model *model) {
    for (guint index = 0; index < G_N_ELEMENTS(model->ending); index++)
        g_array_set_size(model->ending[index], 0);
    g_array_set_size(model->waiting, 0);
    model->held = 0;
    hs_tenant_uses_free(model->limit_owner);
    model->limit_owner = hs_tenant_uses_new();
    for (uint32_t daemon = 0; daemon < DAEMONS; daemon++) {
        hs_tenant_runs_free(model->runs[daemon]);
        model->runs[daemon] = hs_tenant_runs_new();
        model->shares[daemon] = (hs_fair_share){0};
    }
}

static void step(share_model *model) {
    if (model->scenario->restart_ms > 0 && model->now_ms == model->scenario->restart_ms)
        restart_all(model);
    end_runs(model);
    expire_waiting(model);
    model->refused_now = 0;
    add_arrivals(model);
    while (model->held < TOTAL_SLOTS && model->waiting->len > 0)
        serve(model, pick_next(model));
    if (is_counting(model) && model->refused_now > 0)
        model->idle += MIN(TOTAL_SLOTS - model->held, model->refused_now);
    uint64_t slot = model->steps % (MAX_PRESSURE_AGE_STEPS + 1);
    model->wait_ms[slot] =
        model->held < TOTAL_SLOTS ? 0 : (double)(model->waiting->len + 1) * RUN_MS / TOTAL_SLOTS;
    model->free_share[slot] = 1 - (double)model->held / TOTAL_SLOTS;
    model->steps++;
    model->counted_ms += is_counting(model) ? STEP_MS : 0;
    model->now_ms += STEP_MS;
}

/** Returns the max-min fair share of @p offered that fills the slots. */
static double fair_share_of(const double *offered) {
    double low = 0;
    double high = TOTAL_SLOTS;
    for (int round = 0; round < 60; round++) {
        double share = (low + high) / 2;
        double used_slots = 0;
        for (uint32_t tenant = 0; tenant < TENANTS; tenant++)
            used_slots += fmin(offered[tenant], share);
        *(used_slots > TOTAL_SLOTS ? &high : &low) = share;
    }
    return low;
}

static model_result evaluate(const share_model *model) {
    model_result result = {.min_ratio = 1e9};
    double offered[TENANTS];
    double seconds = (double)model->counted_ms / 1000.0;
    for (uint32_t tenant = 0; tenant < TENANTS; tenant++)
        offered[tenant] = (double)model->requested[tenant] * RUN_MS / 1000.0 / seconds;
    double share = fair_share_of(offered);
    double sum = 0;
    double squares = 0;
    uint64_t requested = 0;
    uint64_t served = 0;
    uint32_t count = 0;
    for (uint32_t tenant = 0; tenant < TENANTS; tenant++) {
        if (model->requested[tenant] == 0)
            continue;
        count++;
        double got = (double)model->served[tenant] * RUN_MS / 1000.0 / seconds;
        double ratio = got / fmin(offered[tenant], share);
        bool within = offered[tenant] <= share;
        requested += within ? model->requested[tenant] : 0;
        served += within ? model->served[tenant] : 0;
        sum += ratio;
        squares += ratio * ratio;
        result.min_ratio = fmin(result.min_ratio, ratio);
    }
    result.within = (double)served / (double)MAX(requested, 1);
    result.jain = sum * sum / (count * squares);
    result.min_ratio /= sum / count;
    result.idle = model->idle / ((double)TOTAL_SLOTS * (double)model->counted_ms / STEP_MS);
    result.hottest_slots = model->served_slots[hot_ranks[0]] / (double)model->counted_ms;
    return result;
}

static share_model *make_model(const model_case *scenario, uint32_t seed) {
    share_model *model = g_new0(share_model, 1);
    model->scenario = scenario;
    model->random = g_rand_new_with_seed(seed);
    model->waiting = g_array_new(FALSE, FALSE, sizeof(model_request));
    for (guint index = 0; index < G_N_ELEMENTS(model->ending); index++)
        model->ending[index] = g_array_new(FALSE, FALSE, sizeof(model_request));
    model->limit_owner = hs_tenant_uses_new();
    for (uint32_t daemon = 0; daemon < DAEMONS; daemon++) {
        model->own[daemon] = hs_tenant_uses_new();
        model->runs[daemon] = hs_tenant_runs_new();
        g_snprintf(daemon_names[daemon], sizeof daemon_names[daemon], "d%u", daemon);
    }
    for (uint32_t tenant = 0; tenant < TENANTS; tenant++)
        g_snprintf(tenant_names[tenant], sizeof tenant_names[tenant], "t%u", tenant);
    set_offers(model);
    return model;
}

static void free_model(share_model *model) {
    g_rand_free(model->random);
    g_array_free(model->waiting, TRUE);
    for (guint index = 0; index < G_N_ELEMENTS(model->ending); index++)
        g_array_free(model->ending[index], TRUE);
    hs_tenant_uses_free(model->limit_owner);
    for (uint32_t daemon = 0; daemon < DAEMONS; daemon++) {
        hs_tenant_uses_free(model->own[daemon]);
        hs_tenant_runs_free(model->runs[daemon]);
    }
    g_free(model);
}

static model_result run_simulation(const model_case *scenario, uint32_t seed) {
    share_model *model = make_model(scenario, seed);
    while (model->now_ms < END_MS)
        step(model);
    model_result result = evaluate(model);
    free_model(model);
    return result;
}

/**
 * Returns the mean over SEEDS runs. A single run varies with whether a tenant with
 * nearly the fair share counts as within it.
 */
static model_result run_all_seeds(const model_case *scenario) {
    model_result mean = {.min_ratio = 1e9};
    double min_within = 1;
    for (uint32_t seed = 1; seed <= SEEDS; seed++) {
        model_result result = run_simulation(scenario, seed);
        mean.within += result.within / SEEDS;
        mean.jain += result.jain / SEEDS;
        mean.idle += result.idle / SEEDS;
        mean.hottest_slots += result.hottest_slots / SEEDS;
        mean.min_ratio = fmin(mean.min_ratio, result.min_ratio);
        min_within = fmin(min_within, result.within);
    }
    printf("    %-26s hot=%u%s%s%s cut_off=%u: within %.3f (least %.3f) jain %.3f least %.2f "
           "idle %.4f hottest %.1f slots\n",
           policy_names[scenario->policy], scenario->hot, scenario->hot_at_one ? " at one" : "",
           scenario->in_waves ? " in waves" : "",
           scenario->restart_ms > 0 ? " all restarted"
           : scenario->is_alone     ? " one large"
                                    : "",
           scenario->cut_off, mean.within, min_within, mean.jain, mean.min_ratio, mean.idle,
           mean.hottest_slots);
    return mean;
}

static void check_targets(const model_result *result, double within) {
    CU_ASSERT_TRUE(result->within >= within);
    CU_ASSERT_TRUE(result->jain >= 0.95);
    CU_ASSERT_TRUE(result->min_ratio >= 0.25);
    CU_ASSERT_TRUE(result->idle <= 0.02);
}

/** Policies that see only a daemon's own requests serve fewer tenants within their share. */
static void fair_share_beats_policies_by_daemon(void) {
    model_result results[POLICY_COUNT];
    for (int policy = 0; policy < POLICY_COUNT; policy++) {
        model_case scenario = {.policy = (sharing_policy)policy, .hot = 3};
        results[policy] = run_all_seeds(&scenario);
    }
    CU_ASSERT_TRUE(results[BY_ARRIVAL].within < 0.80);
    CU_ASSERT_TRUE(results[BY_FAIR_SHARE].within > results[BY_ROUND_ROBIN].within);
    CU_ASSERT_TRUE(results[BY_FAIR_SHARE].within > results[BY_COUNTER].within);
    CU_ASSERT_TRUE(results[BY_COUNTER_OF_ALL].within >= 0.98);
}

static void tenants_within_their_share_are_served(void) {
    for (uint32_t hot = 1; hot <= 3; hot++) {
        model_case scenario = {.policy = BY_FAIR_SHARE, .hot = hot};
        model_result result = run_all_seeds(&scenario);
        check_targets(&result, 0.98);
    }
}

static void tenants_are_served_with_a_third_of_daemons_cut_off(void) {
    model_case scenario = {.policy = BY_FAIR_SHARE, .hot = 3, .cut_off = DAEMONS / 3};
    model_result result = run_all_seeds(&scenario);
    check_targets(&result, 0.90);
}

static void tenants_are_served_in_load_waves(void) {
    model_case scenario = {.policy = BY_FAIR_SHARE, .hot = 3, .in_waves = true};
    model_result result = run_all_seeds(&scenario);
    check_targets(&result, 0.98);
}

static void shares_recover_after_all_daemons_restart(void) {
    model_case scenario = {.policy = BY_FAIR_SHARE, .hot = 3, .restart_ms = 20000};
    model_result result = run_all_seeds(&scenario);
    check_targets(&result, 0.98);
}

static void one_large_tenant_gets_the_remaining_slots(void) {
    model_case scenario = {.policy = BY_FAIR_SHARE, .is_alone = true};
    model_result result = run_all_seeds(&scenario);
    check_targets(&result, 0.98);
}

/** Measures the slots of the hottest tenant if it sends to all daemons, and if to one. */
static void measure_spread(double *at_all_slots, double *at_one_slots) {
    model_case spread = {.policy = BY_FAIR_SHARE, .hot = 2};
    model_case at_one = {.policy = BY_FAIR_SHARE, .hot = 2, .hot_at_one = true};
    *at_all_slots = run_all_seeds(&spread).hottest_slots;
    *at_one_slots = run_all_seeds(&at_one).hottest_slots;
}

/** A tenant gains no slots by sending to all daemons instead of one. */
static void to_spread_requests_gains_nothing(void) {
    double at_all_slots = 0;
    double at_one_slots = 0;
    measure_spread(&at_all_slots, &at_one_slots);
    CU_ASSERT_TRUE(at_all_slots <= at_one_slots);
}

/** Sending to all daemons gains at most 10 %, and sending to one gains nothing. */
static void slots_hardly_depend_on_the_daemons_used(void) {
    double at_all_slots = 0;
    double at_one_slots = 0;
    measure_spread(&at_all_slots, &at_one_slots);
    CU_ASSERT_TRUE(at_all_slots <= 1.1 * at_one_slots);
    CU_ASSERT_TRUE(at_one_slots <= at_all_slots);
}

const test_case share_tests[] = {
    {"requests_count_with_their_expected_run_time", requests_count_with_their_expected_run_time},
    {"use_is_split_by_service", use_is_split_by_service},
    {"reported_use_converges_to_the_slots_held", reported_use_converges_to_the_slots_held},
    {"lost_and_repeated_reports_do_not_change_use", lost_and_repeated_reports_do_not_change_use},
    {"a_restarted_daemon_sets_a_new_baseline", a_restarted_daemon_sets_a_new_baseline},
    {"use_after_a_long_gap_is_bounded", use_after_a_long_gap_is_bounded},
    {"idle_tenants_expire", idle_tenants_expire},
    {"top_shares_and_the_remainder", top_shares_and_the_remainder},
    {"unknown_use_differs_from_no_use", unknown_use_differs_from_no_use},
    {"priorities_have_a_consistent_order", priorities_have_a_consistent_order},
    {"tenants_with_less_use_go_first", tenants_with_less_use_go_first},
    {"no_share_is_exceeded_without_a_shortage", no_share_is_exceeded_without_a_shortage},
    {"a_share_follows_the_shortage", a_share_follows_the_shortage},
    {"samples_are_uniform", samples_are_uniform},
    {"a_returning_caller_is_refused_above_twice_the_share",
     a_returning_caller_is_refused_above_twice_the_share},
    {"fair_share_beats_policies_by_daemon", fair_share_beats_policies_by_daemon},
    {"tenants_within_their_share_are_served", tenants_within_their_share_are_served},
    {"tenants_are_served_with_a_third_of_daemons_cut_off",
     tenants_are_served_with_a_third_of_daemons_cut_off},
    {"tenants_are_served_in_load_waves", tenants_are_served_in_load_waves},
    {"shares_recover_after_all_daemons_restart", shares_recover_after_all_daemons_restart},
    {"one_large_tenant_gets_the_remaining_slots", one_large_tenant_gets_the_remaining_slots},
    {"to_spread_requests_gains_nothing", to_spread_requests_gains_nothing},
    {"slots_hardly_depend_on_the_daemons_used", slots_hardly_depend_on_the_daemons_used},
    {NULL, NULL},
};
