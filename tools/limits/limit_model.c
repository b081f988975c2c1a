/** @file limit_model.c  See limit_model.h. */
#include "tools/limits/limit_model.h"

#include "base/hash.h"
#include "tenants/limit_book.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define STEP_MS 5
#define WINDOW_MS 5000
/** A window may exceed its limit by this share and SLACK_REQUESTS. */
#define MAX_OVERAGE_SHARE 0.1
#define SLACK_REQUESTS 20.0
/** Daemons detect that others are lost or back after a random delay between these. */
#define MIN_DETECTION_DELAY_MS 300
#define MAX_DETECTION_DELAY_MS 900
#define USE_REPORT_INTERVAL_MS 240
#define PEERS_PER_USE_REPORT 16
#define USE_REPORT_VALID_MS 2000
#define ALLOWANCE_VALID_MS 500
#define OWNER_TIMEOUT_MS 120
#define DATAGRAM_LOSS_SHARE 0.01
#define NAME_BYTES 16
#define LOAD_WAVE_PERIOD_MS 6000
#define LOAD_WAVE_LOW_MS 3600
#define LOAD_WAVE_LOW_FACTOR 0.391
#define LOAD_WAVE_HIGH_FACTOR 1.91
#define HOT_START_MS 8000

typedef struct {
    char name[NAME_BYTES];
    double mean_per_s;
    hs_rate_limit limit;
    hs_rate_bucket reference_bucket; /**< Decides which requests are within the limit. */
    uint32_t *passed;                /**< Requests passed in each step. */
} model_tenant;

typedef struct {
    uint64_t down_until_ms;
    uint64_t disconnected_until_ms;
    hs_limit_book *book;     /**< For LIMIT_STRATEGY_OWNER. */
    hs_rate_bucket *buckets; /**< LIMIT_STRATEGY_EQUAL_SHARES: the daemon's share;
                                LIMIT_STRATEGY_LEASES: the limits that the daemon owns. */
    double
        *peer_rates_per_s; /**< LIMIT_STRATEGY_EQUAL_SHARES: estimated total rate of the others. */
    uint64_t *peer_rates_received_ms;
    uint32_t *passed_since_report; /**< Requests passed since the last use report. */
    uint32_t *allowance;           /**< LIMIT_STRATEGY_LEASES: unused requests of an allowance. */
    uint64_t *allowance_until_ms;
} model_daemon;

typedef struct {
    const limit_scenario *scenario;
    GRand *random;
    model_tenant *tenants;
    model_daemon *daemons;
    uint64_t now_ms;
    uint64_t detection_at_ms; /**< When daemons detect the last change of reachability. */
    bool is_change_detected;
    uint64_t requests;
    uint64_t within_limit;
    uint64_t refused;
    uint64_t datagrams;
} model;

const char *limit_strategy_name(limit_strategy way) {
    static const char *const names[] = {[LIMIT_STRATEGY_EQUAL_SHARES] = "shares",
                                        [LIMIT_STRATEGY_LEASES] = "leases",
                                        [LIMIT_STRATEGY_OWNER] = "ask"};
    return names[way];
}

static bool is_up(const model *model, uint32_t daemon) {
    return model->daemons[daemon].down_until_ms <= model->now_ms;
}

static bool is_disconnected(const model *model, uint32_t daemon) {
    return model->daemons[daemon].disconnected_until_ms > model->now_ms;
}

static bool can_reach(const model *model, uint32_t from, uint32_t to) {
    return from == to || (is_up(model, from) && is_up(model, to) && !is_disconnected(model, from) &&
                          !is_disconnected(model, to));
}

/** Returns whether @p from presumes that @p to is reachable: true until a change is detected. */
static bool is_presumed_reachable(const model *model, uint32_t from, uint32_t to) {
    return from == to || !model->is_change_detected || can_reach(model, from, to);
}

/** Returns the daemon that @p observer takes for the tenant's limit owner. */
static uint32_t find_limit_owner(const model *model, uint32_t observer, const char *tenant) {
    uint32_t owner = observer;
    uint64_t best_rank = 0;
    for (uint32_t index = 0; index < model->scenario->daemons; index++) {
        char daemon[NAME_BYTES];
        g_snprintf(daemon, sizeof daemon, "d%u", index);
        uint64_t rank = hs_hash_pair(tenant, daemon);
        if (is_presumed_reachable(model, observer, index) && rank > best_rank) {
            best_rank = rank;
            owner = index;
        }
    }
    return owner;
}

static hs_limit_reachability get_reachability(const model *model, uint32_t daemon) {
    hs_limit_reachability reach = {.is_limit_owner = true, .known = model->scenario->daemons};
    for (uint32_t index = 0; index < reach.known; index++)
        reach.reached += is_presumed_reachable(model, daemon, index);
    return reach;
}

/** Counts a datagram as sent and received; returns false if it is lost. */
static bool send_datagram(model *model) {
    model->datagrams += 2;
    return g_rand_double(model->random) >= DATAGRAM_LOSS_SHARE;
}

/** Admits within the daemon's equal share, or more if the other daemons leave a part unused. */
static bool check_equal_share(model *model, uint32_t daemon, uint32_t index) {
    model_daemon *self = &model->daemons[daemon];
    const model_tenant *tenant = &model->tenants[index];
    double share = tenant->limit.rate_per_s / model->scenario->daemons;
    bool is_report_valid =
        self->peer_rates_received_ms[index] + USE_REPORT_VALID_MS > model->now_ms;
    double unused =
        is_report_valid ? tenant->limit.rate_per_s - self->peer_rates_per_s[index] : share;
    hs_rate_limit limit = {.rate_per_s = fmax(share, unused),
                           .capacity = fmax(tenant->limit.capacity / model->scenario->daemons, 1)};
    bool passes = hs_rate_bucket_take(&self->buckets[index], &limit, model->now_ms);
    self->passed_since_report[index] += passes;
    return passes;
}

/**
 * Sends each daemon's rates to random peers. A receiver estimates the total rate of the other
 * daemons as if all had the sender's rate.
 */
static void send_use_reports(model *model) {
    for (uint32_t daemon = 0; daemon < model->scenario->daemons; daemon++) {
        model_daemon *self = &model->daemons[daemon];
        for (uint32_t report = 0; report < PEERS_PER_USE_REPORT; report++) {
            uint32_t peer =
                (uint32_t)g_rand_int_range(model->random, 0, (gint)model->scenario->daemons);
            if (peer == daemon || !can_reach(model, daemon, peer) || !send_datagram(model))
                continue;
            model_daemon *receiver = &model->daemons[peer];
            for (uint32_t index = 0; index < model->scenario->tenants; index++) {
                double rate = self->passed_since_report[index] * 1000.0 / USE_REPORT_INTERVAL_MS *
                              (model->scenario->daemons - 1.0);
                receiver->peer_rates_per_s[index] =
                    receiver->peer_rates_per_s[index] * 0.9 + rate * 0.1;
                receiver->peer_rates_received_ms[index] = model->now_ms;
            }
        }
    }
    for (uint32_t daemon = 0; daemon < model->scenario->daemons; daemon++)
        memset(model->daemons[daemon].passed_since_report, 0,
               sizeof(uint32_t) * model->scenario->tenants);
}

/** Admits from the current allowance, or requests a new one; unused requests expire with it. */
static bool check_allowance(model *model, uint32_t daemon, uint32_t index) {
    model_daemon *self = &model->daemons[daemon];
    const model_tenant *tenant = &model->tenants[index];
    bool has_allowance =
        self->allowance[index] > 0 && self->allowance_until_ms[index] > model->now_ms;
    if (!has_allowance) {
        uint32_t owner = find_limit_owner(model, daemon, tenant->name);
        if (!can_reach(model, daemon, owner) || !send_datagram(model) || !send_datagram(model))
            return false;
        double requested = fmax(
            tenant->limit.rate_per_s / model->scenario->daemons * ALLOWANCE_VALID_MS / 1000, 1);
        self->allowance[index] = 0;
        hs_rate_bucket *bucket = &model->daemons[owner].buckets[index];
        while (self->allowance[index] < (uint32_t)requested &&
               hs_rate_bucket_take(bucket, &tenant->limit, model->now_ms))
            self->allowance[index]++;
        self->allowance_until_ms[index] = model->now_ms + ALLOWANCE_VALID_MS;
    }
    if (self->allowance[index] == 0)
        return false;
    self->allowance[index]--;
    return true;
}

/** Asks the limit owner about the request, twice at most; without a response it is refused. */
static bool check_at_owner(model *model, uint32_t daemon, uint32_t index) {
    const model_tenant *tenant = &model->tenants[index];
    uint32_t owner = find_limit_owner(model, daemon, tenant->name);
    bool has_response = false;
    for (int attempt = 0; attempt < 2 && !has_response; attempt++)
        has_response = owner == daemon || (can_reach(model, daemon, owner) &&
                                           send_datagram(model) && send_datagram(model));
    if (!has_response)
        return false;
    hs_limit_request request = {.tenant = tenant->name,
                                .limit = tenant->limit,
                                .version = 1,
                                .reach = get_reachability(model, owner)};
    return hs_limit_book_check(model->daemons[owner].book, &request, model->now_ms).passes;
}

static bool check_request(model *model, uint32_t daemon, uint32_t index) {
    switch (model->scenario->way) {
    case LIMIT_STRATEGY_EQUAL_SHARES:
        return check_equal_share(model, daemon, index);
    case LIMIT_STRATEGY_LEASES:
        return check_allowance(model, daemon, index);
    default:
        return check_at_owner(model, daemon, index);
    }
}

/** Clears a daemon's state as a restart does. */
static void reset_daemon(model *model, model_daemon *daemon) {
    uint32_t tenants = model->scenario->tenants;
    hs_limit_book_free(daemon->book);
    daemon->book = hs_limit_book_new(model->now_ms);
    memset(daemon->buckets, 0, sizeof(hs_rate_bucket) * tenants);
    memset(daemon->peer_rates_received_ms, 0, sizeof(uint64_t) * tenants);
    memset(daemon->allowance, 0, sizeof(uint32_t) * tenants);
    for (uint32_t index = 0; index < tenants; index++)
        daemon->buckets[index].at_ms = model->now_ms;
}

typedef struct {
    const model *model;
    uint32_t daemon;
} limit_owner_lookup;

static bool is_limit_owner(const char *tenant, void *user_data) {
    const limit_owner_lookup *lookup = user_data;
    return find_limit_owner(lookup->model, lookup->daemon, tenant) == lookup->daemon;
}

/** Makes the last change known to all daemons, which remove tenants that they no longer own. */
static void detect_change(model *model) {
    model->is_change_detected = true;
    for (uint32_t index = 0; index < model->scenario->daemons; index++) {
        limit_owner_lookup lookup = {.model = model, .daemon = index};
        hs_limit_book_note_reach_change(model->daemons[index].book, is_limit_owner, &lookup,
                                        model->now_ms);
    }
}

/** Records a change of reachability, which daemons detect after a random delay. */
static void schedule_detection(model *model) {
    model->is_change_detected = false;
    model->detection_at_ms =
        model->now_ms +
        (uint64_t)g_rand_int_range(model->random, MIN_DETECTION_DELAY_MS, MAX_DETECTION_DELAY_MS);
}

static void start_fault(model *model, const limit_fault *fault) {
    for (uint32_t index = 0; index < model->scenario->daemons; index++) {
        model_daemon *daemon = &model->daemons[index];
        if (g_rand_double(model->random) >= fault->share)
            continue;
        uint64_t until_ms = model->now_ms + fault->for_ms;
        if (fault->kind == LIMIT_FAULT_DISCONNECT) {
            daemon->disconnected_until_ms = until_ms;
        } else {
            daemon->down_until_ms = until_ms;
            reset_daemon(model, daemon);
        }
    }
    schedule_detection(model);
}

static void update_faults(model *model) {
    for (uint32_t index = 0; index < model->scenario->fault_count; index++) {
        const limit_fault *fault = &model->scenario->faults[index];
        if (model->now_ms == fault->at_ms)
            start_fault(model, fault);
        else if (model->now_ms == fault->at_ms + fault->for_ms)
            schedule_detection(model);
    }
    if (!model->is_change_detected && model->now_ms >= model->detection_at_ms)
        detect_change(model);
}

static double get_load_factor(const model *model, uint32_t index) {
    const limit_scenario *scenario = model->scenario;
    double factor = 1;
    if (scenario->has_load_wave)
        factor = model->now_ms % LOAD_WAVE_PERIOD_MS < LOAD_WAVE_LOW_MS ? LOAD_WAVE_LOW_FACTOR
                                                                        : LOAD_WAVE_HIGH_FACTOR;
    bool is_hot = index == scenario->hot_tenant && model->now_ms >= HOT_START_MS &&
                  model->now_ms < HOT_START_MS + scenario->hot_duration_ms;
    return is_hot ? factor * scenario->hot_load_factor : factor;
}

static void send_request(model *model, uint32_t index) {
    model_tenant *tenant = &model->tenants[index];
    uint32_t daemon = (uint32_t)g_rand_int_range(model->random, 0, (gint)model->scenario->daemons);
    if (!is_up(model, daemon))
        return;
    bool is_within_limit =
        hs_rate_bucket_take(&tenant->reference_bucket, &tenant->limit, model->now_ms);
    bool passed = check_request(model, daemon, index);
    model->requests++;
    model->within_limit += is_within_limit;
    model->refused += is_within_limit && !passed;
    tenant->passed[model->now_ms / STEP_MS] += passed;
}

static void run_step(model *model) {
    update_faults(model);
    if (model->scenario->way == LIMIT_STRATEGY_EQUAL_SHARES &&
        model->now_ms % USE_REPORT_INTERVAL_MS == 0)
        send_use_reports(model);
    for (uint32_t index = 0; index < model->scenario->tenants; index++) {
        double expected_requests =
            model->tenants[index].mean_per_s * get_load_factor(model, index) * STEP_MS / 1000.0;
        while (g_rand_double(model->random) < expected_requests) {
            send_request(model, index);
            expected_requests -= 1;
        }
    }
}

static double find_max_window_ratio(const model *model) {
    double max_ratio = 0;
    uint64_t steps = model->scenario->run_length_ms / STEP_MS;
    for (uint32_t index = 0; index < model->scenario->tenants; index++) {
        const model_tenant *tenant = &model->tenants[index];
        double allowed = (tenant->limit.rate_per_s * WINDOW_MS / 1000 + tenant->limit.capacity) *
                             (1 + MAX_OVERAGE_SHARE) +
                         SLACK_REQUESTS;
        uint64_t sum = 0;
        for (uint64_t step = 0; step < steps; step++) {
            sum += tenant->passed[step];
            if (step >= WINDOW_MS / STEP_MS)
                sum -= tenant->passed[step - WINDOW_MS / STEP_MS];
            max_ratio = fmax(max_ratio, (double)sum / allowed);
        }
    }
    return max_ratio;
}

static void make_tenants(model *model) {
    const limit_scenario *scenario = model->scenario;
    double weight_sum = 0;
    for (uint32_t index = 0; index < scenario->tenants; index++)
        weight_sum += 1.0 / (index + 1);
    model->tenants = g_new0(model_tenant, scenario->tenants);
    for (uint32_t index = 0; index < scenario->tenants; index++) {
        model_tenant *tenant = &model->tenants[index];
        g_snprintf(tenant->name, sizeof tenant->name, "t%u", index);
        tenant->mean_per_s = scenario->requests_per_s / (index + 1) / weight_sum;
        double rate = tenant->mean_per_s * scenario->limit_factor;
        tenant->limit = (hs_rate_limit){.rate_per_s = rate, .capacity = fmax(rate, 1)};
        tenant->reference_bucket = hs_rate_bucket_new(&tenant->limit, scenario->run_length_ms, 0);
        tenant->passed = g_new0(uint32_t, scenario->run_length_ms / STEP_MS + 1);
    }
}

static void make_daemons(model *model) {
    uint32_t tenants = model->scenario->tenants;
    model->daemons = g_new0(model_daemon, model->scenario->daemons);
    for (uint32_t index = 0; index < model->scenario->daemons; index++) {
        model_daemon *daemon = &model->daemons[index];
        daemon->buckets = g_new0(hs_rate_bucket, tenants);
        daemon->peer_rates_per_s = g_new0(double, tenants);
        daemon->peer_rates_received_ms = g_new0(uint64_t, tenants);
        daemon->passed_since_report = g_new0(uint32_t, tenants);
        daemon->allowance = g_new0(uint32_t, tenants);
        daemon->allowance_until_ms = g_new0(uint64_t, tenants);
        reset_daemon(model, daemon);
    }
}

static void free_model(model *model) {
    for (uint32_t index = 0; index < model->scenario->tenants; index++)
        g_free(model->tenants[index].passed);
    for (uint32_t index = 0; index < model->scenario->daemons; index++) {
        model_daemon *daemon = &model->daemons[index];
        hs_limit_book_free(daemon->book);
        g_free(daemon->buckets);
        g_free(daemon->peer_rates_per_s);
        g_free(daemon->peer_rates_received_ms);
        g_free(daemon->passed_since_report);
        g_free(daemon->allowance);
        g_free(daemon->allowance_until_ms);
    }
    g_free(model->tenants);
    g_free(model->daemons);
    g_rand_free(model->random);
}

limit_outcome limit_model_run(const limit_scenario *scenario) {
    model model = {.scenario = scenario,
                   .random = g_rand_new_with_seed(scenario->seed),
                   .is_change_detected = true};
    make_tenants(&model);
    make_daemons(&model);
    for (; model.now_ms < scenario->run_length_ms; model.now_ms += STEP_MS)
        run_step(&model);
    limit_outcome outcome = {.max_window_ratio = find_max_window_ratio(&model),
                             .refused_share =
                                 (double)model.refused / fmax((double)model.within_limit, 1),
                             .requests = model.requests,
                             .datagrams_per_s = (double)model.datagrams / scenario->daemons /
                                                ((double)scenario->run_length_ms / 1000)};
    free_model(&model);
    return outcome;
}
