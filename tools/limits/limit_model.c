/** @file limit_model.c  See limit_model.h. */
#include "tools/limits/limit_model.h"

#include "base/hash.h"
#include "tenants/limit_book.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define STEP_MS 5
#define WINDOW_MS 5000
/** What is allowed above the limit in a window: by the deployment's sheet. */
#define OVERAGE 0.1
#define SLACK 20.0
/** Daemons notice that others are gone, or back, after a time between these, in ms. */
#define NOTICE_LEAST_MS 300
#define NOTICE_MOST_MS 900
#define TELL_MS 240   /**< Between two rounds in which daemons tell their use. */
#define TOLD_PEERS 16 /**< Peers told in a round. */
#define TOLD_VALID_MS 2000
#define LEASE_MS 500
#define ANSWER_MS 120   /**< A home that is silent for so long is not waited for. */
#define LOST_SHARE 0.01 /**< Of datagrams. */
#define NAME_BYTES 16
#define SQUARE_MS 6000
#define SQUARE_LOW_MS 3600
#define SQUARE_LOW 0.391
#define SQUARE_HIGH 1.91
#define HOT_FROM_MS 8000

typedef struct {
    char name[NAME_BYTES];
    double mean_per_s;
    hs_rate_limit limit;
    hs_rate_bucket reference; /**< Says which requests are within the limit. */
    uint32_t *passed;         /**< By step. */
} model_tenant;

typedef struct {
    uint64_t down_until_ms; /**< Killed. */
    uint64_t cut_until_ms;
    hs_limit_book *book;     /**< LIMIT_WAY_ASK. */
    hs_rate_bucket *buckets; /**< LIMIT_WAY_SHARES: own; LIMIT_WAY_LEASES: as a home. */
    double *heard;           /**< LIMIT_WAY_SHARES: rate of the others, as told. */
    uint64_t *heard_ms;
    uint32_t *used;           /**< Since the last round. */
    uint32_t *lease;          /**< LIMIT_WAY_LEASES: left of an allowance, */
    uint64_t *lease_until_ms; /**< until then. */
} model_daemon;

typedef struct {
    const limit_case *what;
    GRand *random;
    model_tenant *tenants;
    model_daemon *daemons;
    uint64_t now_ms;
    uint64_t noticed_ms; /**< The last change of who lives is known from then on. */
    bool is_noticed;
    uint64_t requests;
    uint64_t fitted;
    uint64_t refused;
    uint64_t datagrams;
} model;

const char *limit_way_name(limit_way way) {
    static const char *const names[] = {
        [LIMIT_WAY_SHARES] = "shares", [LIMIT_WAY_LEASES] = "leases", [LIMIT_WAY_ASK] = "ask"};
    return names[way];
}

static bool is_up(const model *model, uint32_t daemon) {
    return model->daemons[daemon].down_until_ms <= model->now_ms;
}

static bool is_cut(const model *model, uint32_t daemon) {
    return model->daemons[daemon].cut_until_ms > model->now_ms;
}

/** Whether one daemon's datagrams reach another. */
static bool reaches(const model *model, uint32_t from, uint32_t to) {
    return from == to ||
           (is_up(model, from) && is_up(model, to) && !is_cut(model, from) && !is_cut(model, to));
}

/** As a daemon believes: what changed less than a moment ago it does not know. */
static bool is_believed(const model *model, uint32_t from, uint32_t to) {
    return from == to || !model->is_noticed || reaches(model, from, to);
}

static uint32_t home_of(const model *model, uint32_t asker, const char *tenant) {
    uint32_t home = asker;
    uint64_t best = 0;
    for (uint32_t index = 0; index < model->what->daemons; index++) {
        char daemon[NAME_BYTES];
        g_snprintf(daemon, sizeof daemon, "d%u", index);
        uint64_t rank = hs_hash_pair(tenant, daemon);
        if (is_believed(model, asker, index) && rank > best) {
            best = rank;
            home = index;
        }
    }
    return home;
}

static hs_limit_reachability reach_of(const model *model, uint32_t daemon) {
    hs_limit_reachability reach = {.is_limit_owner = true, .known = model->what->daemons};
    for (uint32_t index = 0; index < reach.known; index++)
        reach.reached += is_believed(model, daemon, index);
    return reach;
}

static bool arrives(model *model) {
    model->datagrams += 2; /* Sent and received. */
    return g_rand_double(model->random) >= LOST_SHARE;
}

/** The share of this daemon, or more where the others leave it unused. */
static bool passes_by_share(model *model, uint32_t daemon, uint32_t index) {
    model_daemon *self = &model->daemons[daemon];
    const model_tenant *tenant = &model->tenants[index];
    double share = tenant->limit.rate_per_s / model->what->daemons;
    bool is_fresh = self->heard_ms[index] + TOLD_VALID_MS > model->now_ms;
    double unused = is_fresh ? tenant->limit.rate_per_s - self->heard[index] : share;
    hs_rate_limit limit = {.rate_per_s = fmax(share, unused),
                           .capacity = fmax(tenant->limit.capacity / model->what->daemons, 1)};
    bool passes = hs_rate_bucket_take(&self->buckets[index], &limit, model->now_ms);
    self->used[index] += passes;
    return passes;
}

/** Daemons tell some others what they used; each takes the teller's rate for its like. */
static void tell_uses(model *model) {
    for (uint32_t daemon = 0; daemon < model->what->daemons; daemon++) {
        model_daemon *self = &model->daemons[daemon];
        for (uint32_t told = 0; told < TOLD_PEERS; told++) {
            uint32_t peer =
                (uint32_t)g_rand_int_range(model->random, 0, (gint)model->what->daemons);
            if (peer == daemon || !reaches(model, daemon, peer) || !arrives(model))
                continue;
            model_daemon *other = &model->daemons[peer];
            for (uint32_t index = 0; index < model->what->tenants; index++) {
                double rate = self->used[index] * 1000.0 / TELL_MS * (model->what->daemons - 1.0);
                other->heard[index] = other->heard[index] * 0.9 + rate * 0.1;
                other->heard_ms[index] = model->now_ms;
            }
        }
    }
    for (uint32_t daemon = 0; daemon < model->what->daemons; daemon++)
        memset(model->daemons[daemon].used, 0, sizeof(uint32_t) * model->what->tenants);
}

/** An allowance that is left, or one that the home grants; the rest of it lapses. */
static bool passes_by_lease(model *model, uint32_t daemon, uint32_t index) {
    model_daemon *self = &model->daemons[daemon];
    const model_tenant *tenant = &model->tenants[index];
    bool has_lease = self->lease[index] > 0 && self->lease_until_ms[index] > model->now_ms;
    if (!has_lease) {
        uint32_t home = home_of(model, daemon, tenant->name);
        if (!reaches(model, daemon, home) || !arrives(model) || !arrives(model))
            return false;
        double wanted = fmax(tenant->limit.rate_per_s / model->what->daemons * LEASE_MS / 1000, 1);
        self->lease[index] = 0;
        hs_rate_bucket *bucket = &model->daemons[home].buckets[index];
        while (self->lease[index] < (uint32_t)wanted &&
               hs_rate_bucket_take(bucket, &tenant->limit, model->now_ms))
            self->lease[index]++;
        self->lease_until_ms[index] = model->now_ms + LEASE_MS;
    }
    if (self->lease[index] == 0)
        return false;
    self->lease[index]--;
    return true;
}

static bool passes_by_asking(model *model, uint32_t daemon, uint32_t index) {
    const model_tenant *tenant = &model->tenants[index];
    uint32_t home = home_of(model, daemon, tenant->name);
    bool is_answered = false;
    for (int tries = 0; tries < 2 && !is_answered; tries++)
        is_answered =
            home == daemon || (reaches(model, daemon, home) && arrives(model) && arrives(model));
    if (!is_answered)
        return false;
    hs_limit_request question = {.tenant = tenant->name,
                                 .limit = tenant->limit,
                                 .version = 1,
                                 .reach = reach_of(model, home)};
    return hs_limit_book_check(model->daemons[home].book, &question, model->now_ms).passes;
}

static bool passes(model *model, uint32_t daemon, uint32_t index) {
    switch (model->what->way) {
    case LIMIT_WAY_SHARES:
        return passes_by_share(model, daemon, index);
    case LIMIT_WAY_LEASES:
        return passes_by_lease(model, daemon, index);
    default:
        return passes_by_asking(model, daemon, index);
    }
}

/** A daemon that starts knows nothing of before. */
static void empty_daemon(model *model, model_daemon *daemon) {
    uint32_t tenants = model->what->tenants;
    hs_limit_book_free(daemon->book);
    daemon->book = hs_limit_book_new(model->now_ms);
    memset(daemon->buckets, 0, sizeof(hs_rate_bucket) * tenants);
    memset(daemon->heard_ms, 0, sizeof(uint64_t) * tenants);
    memset(daemon->lease, 0, sizeof(uint32_t) * tenants);
    for (uint32_t index = 0; index < tenants; index++)
        daemon->buckets[index].at_ms = model->now_ms;
}

typedef struct {
    const model *model;
    uint32_t daemon;
} home_asker;

static bool is_limit_owner(const char *tenant, void *user_data) {
    const home_asker *asker = user_data;
    return home_of(asker->model, asker->daemon, tenant) == asker->daemon;
}

/** All daemons know now who lives: homes whose tenants moved forget them. */
static void notice(model *model) {
    model->is_noticed = true;
    for (uint32_t index = 0; index < model->what->daemons; index++) {
        home_asker asker = {.model = model, .daemon = index};
        hs_limit_book_note_reach_change(model->daemons[index].book, is_limit_owner, &asker,
                                        model->now_ms);
    }
}

static void expect_notice(model *model) {
    model->is_noticed = false;
    model->noticed_ms =
        model->now_ms + (uint64_t)g_rand_int_range(model->random, NOTICE_LEAST_MS, NOTICE_MOST_MS);
}

static void begin_fault(model *model, const limit_fault *fault) {
    for (uint32_t index = 0; index < model->what->daemons; index++) {
        model_daemon *daemon = &model->daemons[index];
        if (g_rand_double(model->random) >= fault->share)
            continue;
        uint64_t until_ms = model->now_ms + fault->for_ms;
        if (fault->kind == LIMIT_CUT) {
            daemon->cut_until_ms = until_ms;
        } else {
            daemon->down_until_ms = until_ms;
            empty_daemon(model, daemon);
        }
    }
    expect_notice(model);
}

static void play_faults(model *model) {
    for (uint32_t index = 0; index < model->what->fault_count; index++) {
        const limit_fault *fault = &model->what->faults[index];
        if (model->now_ms == fault->at_ms)
            begin_fault(model, fault);
        else if (model->now_ms == fault->at_ms + fault->for_ms)
            expect_notice(model);
    }
    if (!model->is_noticed && model->now_ms >= model->noticed_ms)
        notice(model);
}

static double load_of(const model *model, uint32_t index) {
    const limit_case *what = model->what;
    double load = 1;
    if (what->is_square)
        load = model->now_ms % SQUARE_MS < SQUARE_LOW_MS ? SQUARE_LOW : SQUARE_HIGH;
    bool is_hot = index == what->hot_tenant && model->now_ms >= HOT_FROM_MS &&
                  model->now_ms < HOT_FROM_MS + what->hot_ms;
    return is_hot ? load * what->hot_share : load;
}

static void ask_one(model *model, uint32_t index) {
    model_tenant *tenant = &model->tenants[index];
    uint32_t daemon = (uint32_t)g_rand_int_range(model->random, 0, (gint)model->what->daemons);
    if (!is_up(model, daemon))
        return;
    bool fits = hs_rate_bucket_take(&tenant->reference, &tenant->limit, model->now_ms);
    bool passed = passes(model, daemon, index);
    model->requests++;
    model->fitted += fits;
    model->refused += fits && !passed;
    tenant->passed[model->now_ms / STEP_MS] += passed;
}

static void play_step(model *model) {
    play_faults(model);
    if (model->what->way == LIMIT_WAY_SHARES && model->now_ms % TELL_MS == 0)
        tell_uses(model);
    for (uint32_t index = 0; index < model->what->tenants; index++) {
        double expected =
            model->tenants[index].mean_per_s * load_of(model, index) * STEP_MS / 1000.0;
        while (g_rand_double(model->random) < expected) {
            ask_one(model, index);
            expected -= 1;
        }
    }
}

static double worst_window(const model *model) {
    double worst = 0;
    uint64_t steps = model->what->length_ms / STEP_MS;
    for (uint32_t index = 0; index < model->what->tenants; index++) {
        const model_tenant *tenant = &model->tenants[index];
        double allowed =
            (tenant->limit.rate_per_s * WINDOW_MS / 1000 + tenant->limit.capacity) * (1 + OVERAGE) +
            SLACK;
        uint64_t sum = 0;
        for (uint64_t step = 0; step < steps; step++) {
            sum += tenant->passed[step];
            if (step >= WINDOW_MS / STEP_MS)
                sum -= tenant->passed[step - WINDOW_MS / STEP_MS];
            worst = fmax(worst, (double)sum / allowed);
        }
    }
    return worst;
}

static void make_tenants(model *model) {
    const limit_case *what = model->what;
    double weights = 0;
    for (uint32_t index = 0; index < what->tenants; index++)
        weights += 1.0 / (index + 1);
    model->tenants = g_new0(model_tenant, what->tenants);
    for (uint32_t index = 0; index < what->tenants; index++) {
        model_tenant *tenant = &model->tenants[index];
        g_snprintf(tenant->name, sizeof tenant->name, "t%u", index);
        tenant->mean_per_s = what->requests_per_s / (index + 1) / weights;
        double rate = tenant->mean_per_s * what->limit_share;
        tenant->limit = (hs_rate_limit){.rate_per_s = rate, .capacity = fmax(rate, 1)};
        tenant->reference = hs_rate_bucket_new(&tenant->limit, what->length_ms, 0);
        tenant->passed = g_new0(uint32_t, what->length_ms / STEP_MS + 1);
    }
}

static void make_daemons(model *model) {
    uint32_t tenants = model->what->tenants;
    model->daemons = g_new0(model_daemon, model->what->daemons);
    for (uint32_t index = 0; index < model->what->daemons; index++) {
        model_daemon *daemon = &model->daemons[index];
        daemon->buckets = g_new0(hs_rate_bucket, tenants);
        daemon->heard = g_new0(double, tenants);
        daemon->heard_ms = g_new0(uint64_t, tenants);
        daemon->used = g_new0(uint32_t, tenants);
        daemon->lease = g_new0(uint32_t, tenants);
        daemon->lease_until_ms = g_new0(uint64_t, tenants);
        empty_daemon(model, daemon);
    }
}

static void free_model(model *model) {
    for (uint32_t index = 0; index < model->what->tenants; index++)
        g_free(model->tenants[index].passed);
    for (uint32_t index = 0; index < model->what->daemons; index++) {
        model_daemon *daemon = &model->daemons[index];
        hs_limit_book_free(daemon->book);
        g_free(daemon->buckets);
        g_free(daemon->heard);
        g_free(daemon->heard_ms);
        g_free(daemon->used);
        g_free(daemon->lease);
        g_free(daemon->lease_until_ms);
    }
    g_free(model->tenants);
    g_free(model->daemons);
    g_rand_free(model->random);
}

limit_outcome limit_model_run(const limit_case *what) {
    model model = {.what = what, .random = g_rand_new_with_seed(what->seed), .is_noticed = true};
    make_tenants(&model);
    make_daemons(&model);
    for (; model.now_ms < what->length_ms; model.now_ms += STEP_MS)
        play_step(&model);
    limit_outcome outcome = {.worst_window = worst_window(&model),
                             .refused_share = (double)model.refused / fmax((double)model.fitted, 1),
                             .requests = model.requests,
                             .datagrams_per_s = (double)model.datagrams / what->daemons /
                                                ((double)what->length_ms / 1000)};
    free_model(&model);
    return outcome;
}
