/**
 * The store turns away the owner of a job, whose end is then acknowledged by another daemon: is a
 * result that was read still there?
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
#define ROUNDS 3
#define SETTLE_MS 1000
/** Time from a join of the owner until jobs are sent; they run at the next join, a second later. */
#define SEND_AFTER_JOIN_MS 300
/** Time for which the store turns the owner away. */
#define TURNED_AWAY_MS 5000
#define READ_PAUSE_MS 100
#define RECOVERY_MS 8000

/** A job of a partition of the daemon that is turned away. */
typedef struct {
    char *id;
    uint32_t status;
    bool is_ended;
    uint64_t read_ms; /**< When a daemon listed its first result; 0: not yet. */
} job;

static gint turned_away = -1; /**< Daemon; -1: none. */

static gate_verdict turn_away(int daemon, const hs_inbound *call, void *user_data) {
    (void)call;
    (void)user_data;
    bool is_refused = fleet_has_trouble() && g_atomic_int_get(&turned_away) == daemon;
    return (gate_verdict){.action = is_refused ? GATE_REFUSE : GATE_PASS};
}

/** Sends a job of one short and one long item. */
static uint32_t submit(int daemon, const char *id) {
    g_autofree char *body = g_strdup_printf(
        "{\"requests\":[{\"id\":\"%s-0\",\"path\":\"/jobs/run\",\"headers\":{},\"body\":\"aGk=\","
        "\"tokens\":10},{\"id\":\"%s-1\",\"path\":\"/jobs/long\",\"headers\":{},"
        "\"body\":\"aGk=\",\"tokens\":10}]}",
        id, id);
    g_autofree char *target = g_strdup_printf("/jobs/%s", id);
    fleet_answer answer = fleet_call(daemon, "POST", target, id, body, 4000, 0, 5500);
    uint32_t status = answer.status;
    fleet_record("job %s is sent to daemon %d, which answers %u", id, daemon, status);
    fleet_answer_clear(&answer);
    return status;
}

/** Reads a job from position 0. Returns the number of results, or -1 without a 200. */
static int read_job(int daemon, const char *id, uint32_t *status) {
    g_autofree char *target = g_strdup_printf(PATH_JOBS "%s?after=0", id);
    fleet_answer answer = fleet_call(daemon, "GET", target, NULL, NULL, 2000, 0, 3500);
    json_t *page = answer.status == 200 ? json_loads(answer.body, 0, NULL) : NULL;
    int count = page != NULL ? (int)json_array_size(json_object_get(page, "results")) : -1;
    *status = answer.status;
    json_decref(page);
    fleet_answer_clear(&answer);
    return count;
}

static void end_job(int daemon, job *of) {
    g_autofree char *target = g_strdup_printf(PATH_JOBS "%s", of->id);
    fleet_answer answer = fleet_call(daemon, "DELETE", target, NULL, NULL, 4000, 0, 5500);
    fleet_record("the end of job %s is sent to daemon %d, which answers %u", of->id, daemon,
                 answer.status);
    of->is_ended = answer.status == 200;
    fleet_answer_clear(&answer);
}

/** Reads a job at a daemon that the store serves. Returns whether a result that was read is gone.
 */
static bool follow_job(int daemon, job *of) {
    uint64_t sent_ms = fleet_now_ms();
    uint32_t status = 0;
    int count = read_job(daemon, of->id, &status);
    if (of->read_ms == 0 && count > 0) {
        of->read_ms = fleet_now_ms();
        fleet_record("job %s: daemon %d lists %d results", of->id, daemon, count);
        return false;
    }
    if (of->read_ms != 0 && !of->is_ended)
        end_job(daemon, of);
    bool is_gone = of->read_ms != 0 && sent_ms > of->read_ms + SETTLE_MS && count == 0;
    if (is_gone)
        fleet_record("LOST: job %s: daemon %d answers 200 and has nothing at position 0, %.1f s "
                     "after the result there was read",
                     of->id, daemon, (double)(sent_ms - of->read_ms) / 1000);
    return is_gone;
}

/** Plays the case with one daemon turned away. Returns how many results were gone. */
static int play_round(int owner) {
    job jobs[FLEET_PARTITIONS] = {0};
    int count = 0;
    int lost = 0;
    int other = (owner + 1) % DAEMONS;
    uint64_t joined_ms = fleet_joined_ms(owner);
    while (fleet_joined_ms(owner) == joined_ms)
        hs_clock_sleep_ms(5);
    fleet_sleep_until(fleet_joined_ms(owner) + SEND_AFTER_JOIN_MS);
    for (uint32_t partition = 0; partition < FLEET_PARTITIONS; partition++) {
        if (fleet_owner(partition) != owner)
            continue;
        g_autofree char *prefix = g_strdup_printf("d%d", owner);
        jobs[count].id = fleet_id_in_partition(prefix, partition);
        jobs[count].status = submit(other, jobs[count].id);
        count++;
    }
    joined_ms = fleet_joined_ms(owner);
    while (fleet_joined_ms(owner) == joined_ms)
        hs_clock_sleep_ms(5);
    uint64_t until_ms = fleet_now_ms() + TURNED_AWAY_MS;
    if (fleet_has_trouble())
        fleet_record("the store turns daemon %d away: 503", owner);
    g_atomic_int_set(&turned_away, owner);
    for (int turn = 0; fleet_now_ms() < until_ms; turn++) {
        int daemon = (owner + 1 + turn % (DAEMONS - 1)) % DAEMONS;
        for (int index = 0; index < count; index++)
            if (jobs[index].status == 202)
                lost += follow_job(daemon, &jobs[index]);
        hs_clock_sleep_ms(READ_PAUSE_MS);
    }
    g_atomic_int_set(&turned_away, -1);
    if (fleet_has_trouble())
        fleet_record("the store serves daemon %d again", owner);
    return lost;
}

int main(void) {
    fleet_begin("3", DAEMONS, turn_away, NULL);
    fleet_configure(1, 60);
    for (int index = 0; index < ENGINES; index++) {
        g_autofree char *id = g_strdup_printf("i-%d", index);
        engine_start(&(engine_settings){.id = id,
                                        .slots = 16,
                                        .queue = 32,
                                        .events = 12,
                                        .long_events = 200,
                                        .event_ms = 75,
                                        .weights_version = 1},
                     fleet_store());
    }
    bool is_up = true;
    for (int index = 0; index < DAEMONS; index++)
        is_up = fleet_start_daemon(index) && is_up;
    for (int index = 0; index < DAEMONS; index++)
        is_up = fleet_wait_ready(index, 8000) && is_up;
    if (!is_up || !fleet_wait_owners(15000))
        return fleet_end(FLEET_CANNOT_RUN);
    int lost = 0;
    for (int round = 0; round < ROUNDS; round++) {
        lost += play_round(round % DAEMONS);
        hs_clock_sleep_ms(RECOVERY_MS);
    }
    fleet_record("%d times a result that had been read was gone", lost);
    return fleet_end(lost > 0 ? FLEET_BROKEN : FLEET_HELD);
}
