/**
 * @file test_callers.c
 * Callers spread over machines of unequal size: 360 daemons of three sizes, 3,000 callers that each
 * keep to the daemons they are named.
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
#define NAMED_MOST 64
#define ZONE "zone-a"

static const hs_member_size sizes[] = {
    {.cores_permille = 500, .memory_mb = 512, .descriptors = 8200, .link_kbps = 600000},
    {.cores_permille = 300, .memory_mb = 400, .descriptors = 10250, .link_kbps = 75000},
    {.cores_permille = 90, .memory_mb = 120, .descriptors = 3075, .link_kbps = 22000},
};

typedef struct {
    hs_member_size size;
    bool is_lost;
    double callers; /**< Requests of all callers that it gets, one a caller. */
} machine;

static void make_machines(machine *machines) {
    memset(machines, 0, sizeof(machine) * DAEMONS);
    for (int index = 0; index < DAEMONS; index++)
        machines[index].size = sizes[index % 3];
}

/** Each caller spreads over the daemons that it is named. */
static void spread(machine *machines, uint32_t *named_least) {
    hs_caller_choice choices[DAEMONS];
    *named_least = UINT32_MAX;
    for (int index = 0; index < DAEMONS; index++)
        machines[index].callers = 0;
    for (uint64_t caller = 1; caller <= CALLERS; caller++) {
        size_t count = 0;
        uint32_t named = 0;
        for (int index = 0; index < DAEMONS; index++)
            if (!machines[index].is_lost)
                choices[count++] = (hs_caller_choice){
                    .daemon = (uint64_t)index + 1,
                    .capacity = hs_caller_capacity(&machines[index].size),
                };
        hs_caller_choice_make(choices, count, caller, NAMED_MOST);
        for (size_t place = 0; place < count; place++)
            named += choices[place].is_chosen;
        for (size_t place = 0; place < count; place++)
            if (choices[place].is_chosen)
                machines[choices[place].daemon - 1].callers += 1.0 / named;
        *named_least = MIN(*named_least, named);
    }
}

/** The most callers for what a machine bears, beside the mean of all. */
static double worst_share(const machine *machines) {
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

static void machines_get_callers_by_what_they_bear(void) {
    machine machines[DAEMONS];
    uint32_t named = 0;
    make_machines(machines);
    spread(machines, &named);
    CU_ASSERT_TRUE(worst_share(machines) <= 1.3);
    CU_ASSERT_TRUE(named >= 4);
    for (int index = 0; index < DAEMONS; index += 2)
        machines[index].is_lost = true;
    spread(machines, &named);
    CU_ASSERT_TRUE(worst_share(machines) <= 1.3);
    make_machines(machines); /* All were lost and are back. */
    spread(machines, &named);
    CU_ASSERT_TRUE(worst_share(machines) <= 1.3);
}

static void slow_machines_get_fewer(void) {
    machine machines[DAEMONS];
    uint32_t named = 0;
    make_machines(machines);
    spread(machines, &named);
    double before = machines[0].callers;
    for (int index = 0; index < 20; index++)
        machines[index * 3].size.taken_percent = 75;
    spread(machines, &named);
    CU_ASSERT_TRUE(machines[0].callers < before / 2);
    CU_ASSERT_TRUE(machines[0].callers > 0);
    CU_ASSERT_TRUE(worst_share(machines) <= 1.3);
}

static void a_caller_keeps_its_daemons(void) {
    hs_caller_choice before[DAEMONS];
    hs_caller_choice after[DAEMONS];
    for (int index = 0; index < DAEMONS; index++)
        before[index] = (hs_caller_choice){.daemon = (uint64_t)index + 1,
                                           .capacity = hs_caller_capacity(&sizes[index % 3])};
    memcpy(after, before, sizeof before);
    after[1].capacity /= 4;
    hs_caller_choice_make(before, DAEMONS, 7, NAMED_MOST);
    hs_caller_choice_make(after, DAEMONS, 7, NAMED_MOST);
    int changed = 0;
    for (int index = 0; index < DAEMONS; index++)
        changed += before[index].is_chosen != after[index].is_chosen;
    CU_ASSERT_TRUE(changed <= 2);
}

/** Fewer than four are all named; sizes that nobody told decide nothing. */
static void few_or_unknown_machines_are_all_named(void) {
    hs_caller_choice choices[8];
    for (int index = 0; index < 8; index++)
        choices[index] = (hs_caller_choice){.daemon = (uint64_t)index + 1};
    CU_ASSERT_TRUE(hs_caller_choice_is_even(choices, 8));
    hs_caller_choice_make(choices, 8, 3, NAMED_MOST);
    for (int index = 0; index < 8; index++)
        CU_ASSERT_TRUE(choices[index].is_chosen);
    choices[0].capacity = 1000;
    choices[1].capacity = 1;
    choices[2].capacity = 1;
    CU_ASSERT_FALSE(hs_caller_choice_is_even(choices, 3));
    hs_caller_choice_make(choices, 3, 3, NAMED_MOST);
    for (int index = 0; index < 3; index++)
        CU_ASSERT_TRUE(choices[index].is_chosen);
    CU_ASSERT_EQUAL(hs_caller_capacity(&(hs_member_size){0}), 0);
}

static Hs__MemberRecord account(const char *id, uint32_t version, const hs_member_size *size) {
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
        record.taken_percent = size->taken_percent;
    }
    return record;
}

/** An older build passes accounts on without sizes: what is known stays, and is filled in later. */
static void a_size_outlives_an_older_teller(void) {
    static const hs_membership_settings settings = {.forget_ms = 1000};
    hs_member self = {.id = (char *)"self", .zone = (char *)ZONE, .size = sizes[0]};
    hs_membership *membership = hs_membership_new(&self, &settings, 1);
    Hs__MemberRecord without = account("b", 3, NULL);
    Hs__MemberRecord with = account("b", 3, &sizes[2]);
    hs_membership_learn(membership, &without, HS_ACCOUNT_NEWS, 1);
    CU_ASSERT_EQUAL(hs_membership_find(membership, "b")->size.cores_permille, 0);
    hs_membership_learn(membership, &with, HS_ACCOUNT_NEWS, 2);
    CU_ASSERT_EQUAL(hs_membership_find(membership, "b")->size.cores_permille, 90);
    without.version = 4;
    hs_membership_learn(membership, &without, HS_ACCOUNT_NEWS, 3);
    CU_ASSERT_EQUAL(hs_membership_find(membership, "b")->size.cores_permille, 90);
    CU_ASSERT_EQUAL(hs_membership_self(membership)->size.cores_permille, 500);
    with.version = 4; /* The account that the older build passed on without what is taken. */
    with.taken_percent = 75;
    hs_membership_learn(membership, &with, HS_ACCOUNT_NEWS, 4);
    CU_ASSERT_EQUAL(hs_membership_find(membership, "b")->size.taken_percent, 75);
    hs_membership_free(membership);
}

/** Callers that cannot be told from each other are not all sent to the same daemons. */
static void unknown_callers_are_named_daemons_by_chance(void) {
    static const hs_membership_settings settings = {.forget_ms = 1000};
    hs_member self = {.id = (char *)"self", .zone = (char *)ZONE, .size = sizes[0]};
    hs_membership *membership = hs_membership_new(&self, &settings, 1);
    for (uint32_t index = 0; index < 90; index++) {
        g_autofree char *id = g_strdup_printf("daemon-%u", index);
        Hs__MemberRecord record = account(id, index + 1, &sizes[index % 3]);
        hs_membership_learn(membership, &record, HS_ACCOUNT_NEWS, 1);
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

/** Machines that are alike are named as ever: all of the zone, and many by chance. */
static void like_machines_are_named_by_chance(void) {
    static const hs_membership_settings settings = {.forget_ms = 1000};
    hs_member self = {.id = (char *)"self", .zone = (char *)ZONE, .size = sizes[0]};
    hs_membership *membership = hs_membership_new(&self, &settings, 1);
    for (uint32_t index = 0; index < 90; index++) {
        g_autofree char *id = g_strdup_printf("daemon-%u", index);
        Hs__MemberRecord record = account(id, index + 1, &sizes[0]);
        hs_membership_learn(membership, &record, HS_ACCOUNT_NEWS, 1);
    }
    hs_resolve_query query = {.zone = ZONE, .caller = 1, .without_self = true};
    g_auto(GStrv) one = hs_resolve_addresses(membership, &query);
    g_auto(GStrv) other = hs_resolve_addresses(membership, &query);
    CU_ASSERT_EQUAL(g_strv_length(one), NAMED_MOST);
    CU_ASSERT_EQUAL(g_strv_length(other), NAMED_MOST);
    guint same = 0;
    for (guint index = 0; index < NAMED_MOST; index++)
        same += g_strv_contains((const char *const *)one, other[index]);
    CU_ASSERT_TRUE(same < NAMED_MOST);
    hs_membership_free(membership);
}

static void a_pressed_machine_says_so_and_takes_it_back(void) {
    hs_machine_load load = {0};
    uint64_t now_ms = 1000;
    uint32_t before = 0;
    for (int round = 0; round < 750; round++, now_ms += 80) {
        bool is_slow = round >= 100 && round < 400;
        hs_machine_load_note(&load, is_slow ? 30.0 + round % 5 : round % 3);
        uint32_t taken = hs_machine_load_taken_percent(&load, now_ms);
        if (round > 100 && round < 400)
            CU_ASSERT_TRUE(taken >= before); /* It doesn't swing. */
        if (round > 400)
            CU_ASSERT_TRUE(taken <= before);
        before = taken;
        if (round == 90)
            CU_ASSERT_EQUAL(taken, 0);
        if (round == 200)
            CU_ASSERT_TRUE(taken >= 50);
    }
    CU_ASSERT_EQUAL(before, 0);
    hs_machine_load_note(&load, 3000);
    CU_ASSERT_TRUE(load.late_ms < 5);
}

/** Fleet in which what callers bring decides what machines say, and the other way round. */
#define LOOP_MACHINES 90
#define LOOP_CALLERS 900
#define LOOP_SLOW 10
#define LOOP_TICK_MS 80
#define LOOP_SETTLE_MS 20000
#define LOOP_MS 80000
/** For so long a caller keeps to what it was named. */
#define LOOP_TTL_MS 5000
/** Of all machines' capacity that callers take. */
#define LOOP_USE 0.4

typedef struct {
    hs_member_size size;
    hs_machine_load load;
    double bears;
    double callers;
    int turns; /**< Times its load went the other way after the fleet has settled. */
    int direction;
} loop_machine;

static void name_for(loop_machine *machines, bool (*named)[LOOP_MACHINES], uint64_t caller) {
    hs_caller_choice choices[LOOP_MACHINES];
    for (size_t index = 0; index < LOOP_MACHINES; index++)
        choices[index] = (hs_caller_choice){.daemon = index + 1,
                                            .capacity = hs_caller_capacity(&machines[index].size)};
    hs_caller_choice_make(choices, LOOP_MACHINES, caller + 1, NAMED_MOST);
    for (int index = 0; index < LOOP_MACHINES; index++)
        named[caller][index] = choices[index].is_chosen;
}

static void count_callers(loop_machine *machines, bool (*named)[LOOP_MACHINES]) {
    for (int index = 0; index < LOOP_MACHINES; index++)
        machines[index].callers = 0;
    for (int caller = 0; caller < LOOP_CALLERS; caller++) {
        int count = 0;
        for (int index = 0; index < LOOP_MACHINES; index++)
            count += named[caller][index];
        for (int index = 0; index < LOOP_MACHINES; index++)
            if (named[caller][index])
                machines[index].callers += 1.0 / count;
    }
}

/** A machine that is taken to a share of what it bears lets threads wait the longer. */
static void tell_load(loop_machine *machine, double all_bear, int now_ms) {
    double use = machine->callers * LOOP_USE * all_bear / LOOP_CALLERS / machine->bears;
    uint32_t before = machine->size.taken_percent;
    hs_machine_load_note(&machine->load, fmin(12 * use / fmax(1 - use, 0.05), 200));
    machine->size.taken_percent =
        hs_machine_load_taken_percent(&machine->load, (uint64_t)now_ms + 1);
    if (machine->size.taken_percent == before)
        return;
    int direction = machine->size.taken_percent > before ? 1 : -1;
    if (now_ms > LOOP_SETTLE_MS)
        machine->turns += machine->direction == -direction;
    machine->direction = direction;
}

/** Machines that swing after the fleet has settled; some are @p slow_times slower than they say. */
static int count_swinging(double slow_times) {
    static bool named[LOOP_CALLERS][LOOP_MACHINES];
    loop_machine machines[LOOP_MACHINES] = {0};
    double all_bear = 0;
    int swinging = 0;
    for (int index = 0; index < LOOP_MACHINES; index++) {
        machines[index].size = sizes[index % 3];
        machines[index].bears = hs_caller_capacity(&sizes[index % 3]);
        if (index < LOOP_SLOW)
            machines[index].bears /= slow_times;
        all_bear += machines[index].bears;
    }
    for (uint64_t caller = 0; caller < LOOP_CALLERS; caller++)
        name_for(machines, named, caller);
    for (int now_ms = 0; now_ms < LOOP_MS; now_ms += LOOP_TICK_MS) {
        for (uint64_t caller = 0; caller < LOOP_CALLERS; caller++)
            if ((now_ms + (int)caller * 7) % LOOP_TTL_MS < LOOP_TICK_MS)
                name_for(machines, named, caller);
        count_callers(machines, named);
        for (int index = 0; index < LOOP_MACHINES; index++)
            tell_load(&machines[index], all_bear, now_ms);
    }
    for (int index = 0; index < LOOP_MACHINES; index++) {
        swinging += machines[index].turns > 0;
        g_debug("machine %d taken %u turns %d callers %.1f", index,
                machines[index].size.taken_percent, machines[index].turns, machines[index].callers);
    }
    return swinging;
}

/** Callers that leave a pressed machine don't swing back and forth. */
static void callers_and_loads_settle(void) {
    CU_ASSERT_EQUAL(count_swinging(1), 0);
    CU_ASSERT_EQUAL(count_swinging(2), 0);
    CU_ASSERT_EQUAL(count_swinging(6), 0);
}

/** The same where a slow machine bears some of its callers, but not all. */
static void callers_of_half_slow_machines_settle(void) {
    CU_ASSERT_EQUAL(count_swinging(3), 0);
    CU_ASSERT_EQUAL(count_swinging(4), 0);
}

const test_case caller_tests[] = {
    {"machines_get_callers_by_what_they_bear", machines_get_callers_by_what_they_bear},
    {"slow_machines_get_fewer", slow_machines_get_fewer},
    {"a_caller_keeps_its_daemons", a_caller_keeps_its_daemons},
    {"few_or_unknown_machines_are_all_named", few_or_unknown_machines_are_all_named},
    {"a_size_outlives_an_older_teller", a_size_outlives_an_older_teller},
    {"unknown_callers_are_named_daemons_by_chance", unknown_callers_are_named_daemons_by_chance},
    {"like_machines_are_named_by_chance", like_machines_are_named_by_chance},
    {"a_pressed_machine_says_so_and_takes_it_back", a_pressed_machine_says_so_and_takes_it_back},
    {"callers_and_loads_settle", callers_and_loads_settle},
    {"callers_of_half_slow_machines_settle", callers_of_half_slow_machines_settle},
    {NULL, NULL},
};
