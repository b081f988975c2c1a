/**
 * Two engines of a service carry different weights, as while new ones are brought in. Some clients
 * ask for the weights of one or the other, which an engine with other weights answers with 421: does
 * the service's work still run?
 */
#include "review/lib/engine.h"
#include "review/lib/fleet.h"

#include "base/clock.h"
#include "platform/names.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#define DAEMONS 3
#define ENGINES 2
#define ITEMS 2
/** Requests for each of the two weights, in turn, at each daemon. */
#define REQUESTS_OF_WEIGHTS 4
#define FINISH_MS 18000
/** The last part of FINISH_MS, in which nothing else happens. */
#define CALM_MS 5000

static engine *engines[ENGINES];

/** Sends a request on the route "plain" to a daemon. */
static uint32_t send_plain(int daemon, const char *id, unsigned weights) {
    g_autofree char *field =
        weights > 0 ? g_strdup_printf("Heathsail-Expected-Version: %u\r\n", weights) : g_strdup("");
    fleet_answer answer = fleet_call_with(daemon, "POST", "/plain/q", id, "prompt", 4000, 0, 4000,
                                          field);
    if (weights > 0)
        fleet_record("request %s for weights %u: daemon %d answers %u", id, weights, daemon,
                     answer.status);
    else
        fleet_record("request %s: daemon %d answers %u", id, daemon, answer.status);
    uint32_t status = answer.status;
    fleet_answer_clear(&answer);
    return status;
}

/** The number of results that a job has; -1: no answer. */
static int count_results(const char *job, int daemon) {
    g_autofree char *target = g_strdup_printf(PATH_JOBS "%s?after=0", job);
    fleet_answer answer = fleet_call(daemon, "GET", target, NULL, NULL, 2000, 0, 3000);
    json_t *page = answer.status == 200 ? json_loads(answer.body, 0, NULL) : NULL;
    int count = page != NULL ? (int)json_array_size(json_object_get(page, "results")) : -1;
    json_decref(page);
    fleet_answer_clear(&answer);
    return count;
}

static uint32_t count_runs(void) {
    uint32_t runs = 0;
    for (int index = 0; index < ENGINES; index++)
        runs += engine_all_runs(engines[index]);
    return runs;
}

int main(void) {
    fleet_begin("3", DAEMONS, NULL, NULL);
    fleet_configure(1, 60);
    for (int index = 0; index < ENGINES; index++) {
        g_autofree char *id = g_strdup_printf("i-%d", index);
        engines[index] = engine_start(&(engine_settings){.id = id,
                                                         .slots = 8,
                                                         .queue = 32,
                                                         .events = 12,
                                                         .event_ms = 15,
                                                         .weights_version = (uint32_t)index + 1},
                                      fleet_store());
    }
    bool is_up = true;
    for (int index = 0; index < DAEMONS; index++)
        is_up = fleet_start_daemon(index) && is_up;
    for (int index = 0; index < DAEMONS; index++)
        is_up = fleet_wait_ready(index, 8000) && is_up;
    if (!is_up || !fleet_wait_owners(15000))
        return fleet_end(FLEET_CANNOT_RUN);
    for (int daemon = 0; daemon < DAEMONS; daemon++) {
        g_autofree char *id = g_strdup_printf("before-%d", daemon);
        if (send_plain(daemon, id, 0) != 200)
            return fleet_end(FLEET_CANNOT_RUN);
    }
    for (int number = 0; number < 2 * REQUESTS_OF_WEIGHTS; number++)
        for (int daemon = 0; daemon < DAEMONS; daemon++) {
            g_autofree char *id = g_strdup_printf("weights-%d-%d", daemon, number);
            send_plain(daemon, id, fleet_has_trouble() ? (unsigned)number % 2 + 1 : 0);
        }
    for (int index = 0; index < ENGINES; index++)
        fleet_record("engine i-%d, with weights %d, has answered %u requests with 421", index,
                     index + 1, engine_misdirected(engines[index]));
    char *jobs[FLEET_PARTITIONS];
    uint32_t statuses[FLEET_PARTITIONS];
    for (uint32_t partition = 0; partition < FLEET_PARTITIONS; partition++) {
        jobs[partition] = fleet_id_in_partition("c", partition);
        statuses[partition] = fleet_submit((int)partition % DAEMONS, jobs[partition], ITEMS, 4000);
    }
    uint64_t finish_ms = fleet_now_ms() + FINISH_MS;
    fleet_sleep_until(finish_ms - CALM_MS);
    uint32_t runs_before = count_runs();
    for (int daemon = 0; daemon < DAEMONS; daemon++) {
        g_autofree char *id = g_strdup_printf("after-%d", daemon);
        send_plain(daemon, id, 0);
    }
    fleet_sleep_until(finish_ms);
    bool is_idle = true;
    for (int index = 0; index < ENGINES; index++)
        is_idle = is_idle && engine_open(engines[index]) == 0;
    fleet_record("in the last %d s the engines ran %u requests; now they are %s", CALM_MS / 1000,
                 count_runs() - runs_before, is_idle ? "idle" : "busy");
    int lost = 0;
    for (int index = 0; index < FLEET_PARTITIONS; index++) {
        if (statuses[index] != 202)
            continue;
        int count = count_results(jobs[index], index % DAEMONS);
        if (count >= ITEMS)
            continue;
        lost++;
        fleet_record("LOST: accepted job %s has %d results of %d, though the engines are idle",
                     jobs[index], count, ITEMS);
    }
    return fleet_end(lost > 0 && is_idle ? FLEET_BROKEN : FLEET_HELD);
}
