/**
 * @file test_callers.c
 * Selection of daemons for callers by the capacity and utilisation of unequal machines.
 */
#include "base/hash.h"
#include "directory/caller_choice.h"
#include "directory/machine_load.h"
#include "directory/resolve_addresses.h"
#include "tests/unit/unit_tests.h"

#include <math.h>
#include <string.h>

#define DAEMONS 360
#define CALLERS 3000
#define MAX_DAEMONS_PER_CALLER 64
#define ZONE "zone-a"

static const hs_machine_size sizes[] = {
    {.cores_permille = 500, .memory_mb = 512, .descriptors = 8200, .link_kbps = 600000},
    {.cores_permille = 300, .memory_mb = 400, .descriptors = 10250, .link_kbps = 75000},
    {.cores_permille = 90, .memory_mb = 120, .descriptors = 3075, .link_kbps = 22000},
};

typedef struct {
    hs_machine_size size;
    bool is_lost;
    double callers; /**< Share of all callers' requests, one per caller. */
} machine;

static void make_machines(machine *machines) {
    memset(machines, 0, sizeof(machine) * DAEMONS);
    for (int index = 0; index < DAEMONS; index++)
        machines[index].size = sizes[index % 3];
}

/** Each caller spreads its requests evenly over the daemons returned to it. */
static void assign_callers(machine *machines, uint32_t *min_returned) {
    hs_caller_candidate candidates[DAEMONS];
    *min_returned = UINT32_MAX;
    for (int index = 0; index < DAEMONS; index++)
        machines[index].callers = 0;
    for (uint64_t caller = 1; caller <= CALLERS; caller++) {
        size_t count = 0;
        uint32_t returned = 0;
        for (int index = 0; index < DAEMONS; index++)
            if (!machines[index].is_lost)
                candidates[count++] = (hs_caller_candidate){
                    .daemon = (uint64_t)index + 1,
                    .capacity = hs_caller_capacity(&machines[index].size),
                };
        hs_caller_choice_select(candidates, count, caller, MAX_DAEMONS_PER_CALLER);
        for (size_t position = 0; position < count; position++)
            returned += candidates[position].is_chosen;
        for (size_t position = 0; position < count; position++)
            if (candidates[position].is_chosen)
                machines[candidates[position].daemon - 1].callers += 1.0 / returned;
        *min_returned = MIN(*min_returned, returned);
    }
}

/** Maximum ratio of callers to capacity of a machine, relative to the mean of all machines. */
static double max_relative_load(const machine *machines) {
    double callers = 0;
    double capacity = 0;
    double worst = 0;
    for (int index = 0; index < DAEMONS; index++)
        if (!machines[index].is_lost) {
            callers += machines[index].callers;
            capacity += hs_caller_capacity(&machines[index].size);
        }
    for (int index = 0; index < DAEMONS; index++)
        if (!machines[index].is_lost)
            worst = fmax(worst, machines[index].callers /
                                    hs_caller_capacity(&machines[index].size) * capacity / callers);
    return worst;
}

static void callers_are_spread_by_capacity(void) {
    machine machines[DAEMONS];
    uint32_t returned = 0;
    make_machines(machines);
    assign_callers(machines, &returned);
    CU_ASSERT_TRUE(max_relative_load(machines) <= 1.3);
    CU_ASSERT_TRUE(returned >= 4);
    for (int index = 0; index < DAEMONS; index += 2)
        machines[index].is_lost = true;
    assign_callers(machines, &returned);
    CU_ASSERT_TRUE(max_relative_load(machines) <= 1.3);
    make_machines(machines); /* All machines restarted. */
    assign_callers(machines, &returned);
    CU_ASSERT_TRUE(max_relative_load(machines) <= 1.3);
}

static void slow_machines_get_fewer_callers(void) {
    machine machines[DAEMONS];
    uint32_t returned = 0;
    make_machines(machines);
    assign_callers(machines, &returned);
    double before = machines[0].callers;
    for (int index = 0; index < 20; index++)
        machines[index * 3].size.utilisation_percent = 75;
    assign_callers(machines, &returned);
    CU_ASSERT_TRUE(machines[0].callers < before / 2);
    CU_ASSERT_TRUE(machines[0].callers > 0);
    CU_ASSERT_TRUE(max_relative_load(machines) <= 1.3);
}

static void a_caller_keeps_its_daemons(void) {
    hs_caller_candidate before[DAEMONS];
    hs_caller_candidate after[DAEMONS];
    for (int index = 0; index < DAEMONS; index++)
        before[index] = (hs_caller_candidate){.daemon = (uint64_t)index + 1,
                                              .capacity = hs_caller_capacity(&sizes[index % 3])};
    memcpy(after, before, sizeof before);
    after[1].capacity /= 4;
    hs_caller_choice_select(before, DAEMONS, 7, MAX_DAEMONS_PER_CALLER);
    hs_caller_choice_select(after, DAEMONS, 7, MAX_DAEMONS_PER_CALLER);
    int changed = 0;
    for (int index = 0; index < DAEMONS; index++)
        changed += before[index].is_chosen != after[index].is_chosen;
    CU_ASSERT_TRUE(changed <= 2);
}

/** Fewer than four daemons are all returned, and so are daemons of unknown size. */
static void few_or_unknown_machines_are_all_returned(void) {
    hs_caller_candidate candidates[8];
    for (int index = 0; index < 8; index++)
        candidates[index] = (hs_caller_candidate){.daemon = (uint64_t)index + 1};
    CU_ASSERT_TRUE(hs_caller_choice_is_uniform(candidates, 8));
    hs_caller_choice_select(candidates, 8, 3, MAX_DAEMONS_PER_CALLER);
    for (int index = 0; index < 8; index++)
        CU_ASSERT_TRUE(candidates[index].is_chosen);
    candidates[0].capacity = 1000;
    candidates[1].capacity = 1;
    candidates[2].capacity = 1;
    CU_ASSERT_FALSE(hs_caller_choice_is_uniform(candidates, 3));
    hs_caller_choice_select(candidates, 3, 3, MAX_DAEMONS_PER_CALLER);
    for (int index = 0; index < 3; index++)
        CU_ASSERT_TRUE(candidates[index].is_chosen);
    CU_ASSERT_EQUAL(hs_caller_capacity(&(hs_machine_size){0}), 0);
}

static Hs__MemberRecord make_record(const char *id, uint32_t version, const hs_machine_size *size) {
    Hs__MemberRecord record = HS__MEMBER_RECORD__INIT;
    record.id = (char *)id;
    record.zone = (char *)ZONE;
    record.incarnation = 1;
    record.version = version;
    record.address = 0x0a000000 + version;
    record.peer_port = 1;
    record.admin_port = 2;
    if (size != NULL) {
        record.cores_permille = size->cores_permille;
        record.memory_mb = size->memory_mb;
        record.taken_percent = size->utilisation_percent;
    }
    return record;
}

/** Records relayed by an older build lack sizes: a known size is kept, and filled in later. */
static void a_size_is_kept_if_an_older_build_omits_it(void) {
    static const hs_membership_settings settings = {.forget_ms = 1000};
    hs_member self = {.id = (char *)"self", .zone = (char *)ZONE, .size = sizes[0]};
    hs_membership *membership = hs_membership_new(&self, &settings, 1);
    Hs__MemberRecord without = make_record("b", 3, NULL);
    Hs__MemberRecord with = make_record("b", 3, &sizes[2]);
    hs_membership_apply_record(membership, &without, HS_RECORD_FROM_GOSSIP, 1);
    CU_ASSERT_EQUAL(hs_membership_find(membership, "b")->size.cores_permille, 0);
    hs_membership_apply_record(membership, &with, HS_RECORD_FROM_GOSSIP, 2);
    CU_ASSERT_EQUAL(hs_membership_find(membership, "b")->size.cores_permille, 90);
    without.version = 4;
    hs_membership_apply_record(membership, &without, HS_RECORD_FROM_GOSSIP, 3);
    CU_ASSERT_EQUAL(hs_membership_find(membership, "b")->size.cores_permille, 90);
    CU_ASSERT_EQUAL(hs_membership_self(membership)->size.cores_permille, 500);
    with.version = 4; /* The same version, now with the utilisation. */
    with.taken_percent = 75;
    hs_membership_apply_record(membership, &with, HS_RECORD_FROM_GOSSIP, 4);
    CU_ASSERT_EQUAL(hs_membership_find(membership, "b")->size.utilisation_percent, 75);
    hs_membership_free(membership);
}

/** Callers that cannot be identified are not all sent to the same daemons. */
static void unknown_callers_get_random_daemons(void) {
    static const hs_membership_settings settings = {.forget_ms = 1000};
    hs_member self = {.id = (char *)"self", .zone = (char *)ZONE, .size = sizes[0]};
    hs_membership *membership = hs_membership_new(&self, &settings, 1);
    for (uint32_t index = 0; index < 90; index++) {
        g_autofree char *id = g_strdup_printf("daemon-%u", index);
        Hs__MemberRecord record = make_record(id, index + 1, &sizes[index % 3]);
        hs_membership_apply_record(membership, &record, HS_RECORD_FROM_GOSSIP, 1);
    }
    hs_resolve_query query = {.zone = ZONE, .without_self = true};
    g_auto(GStrv) one = hs_resolve_addresses(membership, &query);
    g_auto(GStrv) other = hs_resolve_addresses(membership, &query);
    bool is_same = g_strv_equal((const char *const *)one, (const char *const *)other);
    CU_ASSERT_FALSE(is_same);
    query.caller = 5;
    g_auto(GStrv) known = hs_resolve_addresses(membership, &query);
    g_auto(GStrv) again = hs_resolve_addresses(membership, &query);
    CU_ASSERT_TRUE(g_strv_equal((const char *const *)known, (const char *const *)again));
    hs_membership_free(membership);
}

/** With equal machines, daemons of the zone are selected at random. */
static void equal_machines_are_returned_at_random(void) {
    static const hs_membership_settings settings = {.forget_ms = 1000};
    hs_member self = {.id = (char *)"self", .zone = (char *)ZONE, .size = sizes[0]};
    hs_membership *membership = hs_membership_new(&self, &settings, 1);
    for (uint32_t index = 0; index < 90; index++) {
        g_autofree char *id = g_strdup_printf("daemon-%u", index);
        Hs__MemberRecord record = make_record(id, index + 1, &sizes[0]);
        hs_membership_apply_record(membership, &record, HS_RECORD_FROM_GOSSIP, 1);
    }
    hs_resolve_query query = {.zone = ZONE, .caller = 1, .without_self = true};
    g_auto(GStrv) one = hs_resolve_addresses(membership, &query);
    g_auto(GStrv) other = hs_resolve_addresses(membership, &query);
    CU_ASSERT_EQUAL(g_strv_length(one), MAX_DAEMONS_PER_CALLER);
    CU_ASSERT_EQUAL(g_strv_length(other), MAX_DAEMONS_PER_CALLER);
    guint same = 0;
    for (guint index = 0; index < MAX_DAEMONS_PER_CALLER; index++)
        same += g_strv_contains((const char *const *)one, other[index]);
    CU_ASSERT_TRUE(same < MAX_DAEMONS_PER_CALLER);
    hs_membership_free(membership);
}

static void an_overloaded_machine_reports_its_load_until_it_recovers(void) {
    hs_machine_load load = {0};
    uint64_t now_ms = 1000;
    uint32_t before = 0;
    for (int round = 0; round < 750; round++, now_ms += 80) {
        bool is_slow = round >= 100 && round < 400;
        hs_machine_load_note(&load, is_slow ? 30.0 + round % 5 : round % 3);
        uint32_t utilisation = hs_machine_load_utilisation_percent(&load, now_ms);
        if (round > 100 && round < 400)
            CU_ASSERT_TRUE(utilisation >= before); /* No oscillation. */
        if (round > 400)
            CU_ASSERT_TRUE(utilisation <= before);
        before = utilisation;
        if (round == 90)
            CU_ASSERT_EQUAL(utilisation, 0);
        if (round == 200)
            CU_ASSERT_TRUE(utilisation >= 50);
    }
    CU_ASSERT_EQUAL(before, 0);
    hs_machine_load_note(&load, 3000);
    CU_ASSERT_TRUE(load.delay_ms < 5);
}

/** Fleet with feedback between the callers' load and the utilisation that machines report. */
#define LOOP_MACHINES 90
#define LOOP_CALLERS 900
#define LOOP_SLOW 10
#define LOOP_TICK_MS 80
#define LOOP_SETTLE_MS 20000
#define LOOP_MS 80000
/** Time for which a caller uses the daemons returned to it. */
#define LOOP_TTL_MS 5000
/** Load of the callers relative to the capacity of all machines. */
#define LOOP_UTILISATION 0.4

typedef struct {
    hs_machine_size size;
    hs_machine_load load;
    double capacity;
    double callers;
    int reversals; /**< Changes of direction of the load after the fleet has settled. */
    int direction;
} loop_machine;

static void resolve_for(loop_machine *machines, bool (*returned)[LOOP_MACHINES], uint64_t caller) {
    hs_caller_candidate candidates[LOOP_MACHINES];
    for (size_t index = 0; index < LOOP_MACHINES; index++)
        candidates[index] = (hs_caller_candidate){
            .daemon = index + 1, .capacity = hs_caller_capacity(&machines[index].size)};
    hs_caller_choice_select(candidates, LOOP_MACHINES, caller + 1, MAX_DAEMONS_PER_CALLER);
    for (int index = 0; index < LOOP_MACHINES; index++)
        returned[caller][index] = candidates[index].is_chosen;
}

static void count_callers(loop_machine *machines, bool (*returned)[LOOP_MACHINES]) {
    for (int index = 0; index < LOOP_MACHINES; index++)
        machines[index].callers = 0;
    for (int caller = 0; caller < LOOP_CALLERS; caller++) {
        int count = 0;
        for (int index = 0; index < LOOP_MACHINES; index++)
            count += returned[caller][index];
        for (int index = 0; index < LOOP_MACHINES; index++)
            if (returned[caller][index])
                machines[index].callers += 1.0 / count;
    }
}

/** Updates the reported utilisation; delays increase with the use of a machine's capacity. */
static void update_load(loop_machine *machine, double total_capacity, int now_ms) {
    double use =
        machine->callers * LOOP_UTILISATION * total_capacity / LOOP_CALLERS / machine->capacity;
    uint32_t before = machine->size.utilisation_percent;
    hs_machine_load_note(&machine->load, fmin(12 * use / fmax(1 - use, 0.05), 200));
    machine->size.utilisation_percent =
        hs_machine_load_utilisation_percent(&machine->load, (uint64_t)now_ms + 1);
    if (machine->size.utilisation_percent == before)
        return;
    int direction = machine->size.utilisation_percent > before ? 1 : -1;
    if (now_ms > LOOP_SETTLE_MS)
        machine->reversals += machine->direction == -direction;
    machine->direction = direction;
}

/** Counts machines whose load oscillates; some are @p slow_times slower than their nominal size. */
static int count_oscillating(double slow_times) {
    static bool returned[LOOP_CALLERS][LOOP_MACHINES];
    loop_machine machines[LOOP_MACHINES] = {0};
    double total_capacity = 0;
    int oscillating = 0;
    for (int index = 0; index < LOOP_MACHINES; index++) {
        machines[index].size = sizes[index % 3];
        machines[index].capacity = hs_caller_capacity(&sizes[index % 3]);
        if (index < LOOP_SLOW)
            machines[index].capacity /= slow_times;
        total_capacity += machines[index].capacity;
    }
    for (uint64_t caller = 0; caller < LOOP_CALLERS; caller++)
        resolve_for(machines, returned, caller);
    for (int now_ms = 0; now_ms < LOOP_MS; now_ms += LOOP_TICK_MS) {
        for (uint64_t caller = 0; caller < LOOP_CALLERS; caller++)
            if ((now_ms + (int)caller * 7) % LOOP_TTL_MS < LOOP_TICK_MS)
                resolve_for(machines, returned, caller);
        count_callers(machines, returned);
        for (int index = 0; index < LOOP_MACHINES; index++)
            update_load(&machines[index], total_capacity, now_ms);
    }
    for (int index = 0; index < LOOP_MACHINES; index++) {
        oscillating += machines[index].reversals > 0;
        g_debug("machine %d utilisation %u reversals %d callers %.1f", index,
                machines[index].size.utilisation_percent, machines[index].reversals,
                machines[index].callers);
    }
    return oscillating;
}

/** Callers that leave an overloaded machine do not cause oscillation. */
static void callers_and_loads_settle(void) {
    CU_ASSERT_EQUAL(count_oscillating(1), 0);
    CU_ASSERT_EQUAL(count_oscillating(2), 0);
    CU_ASSERT_EQUAL(count_oscillating(6), 0);
}

/** The same with slow machines that can serve only some of their callers. */
static void callers_of_half_slow_machines_settle(void) {
    CU_ASSERT_EQUAL(count_oscillating(3), 0);
    CU_ASSERT_EQUAL(count_oscillating(4), 0);
}

const test_case caller_tests[] = {
    {"callers_are_spread_by_capacity", callers_are_spread_by_capacity},
    {"slow_machines_get_fewer_callers", slow_machines_get_fewer_callers},
    {"a_caller_keeps_its_daemons", a_caller_keeps_its_daemons},
    {"few_or_unknown_machines_are_all_returned", few_or_unknown_machines_are_all_returned},
    {"a_size_is_kept_if_an_older_build_omits_it", a_size_is_kept_if_an_older_build_omits_it},
    {"unknown_callers_get_random_daemons", unknown_callers_get_random_daemons},
    {"equal_machines_are_returned_at_random", equal_machines_are_returned_at_random},
    {"an_overloaded_machine_reports_its_load_until_it_recovers",
     an_overloaded_machine_reports_its_load_until_it_recovers},
    {"callers_and_loads_settle", callers_and_loads_settle},
    {"callers_of_half_slow_machines_settle", callers_of_half_slow_machines_settle},
    {NULL, NULL},
};
