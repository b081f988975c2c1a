/** @file job_end.c  See job_end.h. */
#include "jobs/job_end.h"

#include "base/clock.h"
#include "base/log.h"
#include "jobs/job_peer.h"
#include "jobs/job_service_state.h"
#include "jobs/region_runner.h"

#include <stdio.h>

/** Target of a report between daemons; the body is a JobRecord. */
#define TARGET_FORMAT "/ended?part=%u"
/** Maximum time for a daemon's confirmation, and the number of attempts. */
#define REPORT_LIMIT_MS 250
#define REPORT_ATTEMPTS 3
#define REPORT_PAUSE_MS 40

hs_store_outcome hs_job_end_store(hs_job_partition *partition, const char *job_id,
                                  uint64_t received_ms, hs_deadline deadline) {
    uint64_t offset = 0;
    uint32_t attempt = 0;
    hs_store_outcome outcome = HS_STORE_REFUSED;
    do {
        if (attempt > 0)
            hs_clock_sleep_ms(HS_JOB_RETRY_PAUSE_MS);
        outcome = hs_job_partition_append_end(
            partition, job_id, hs_job_partition_append_deadline(partition, attempt++, 0, deadline),
            &offset);
    } while (outcome != HS_STORE_DONE && outcome != HS_STORE_INVALID &&
             hs_clock_monotonic_ms() < deadline);
    hs_log_info("job_end_requested",
                "job=%s part=%u outcome=%s offset=%" G_GUINT64_FORMAT " attempts=%u took_ms=%u",
                job_id, hs_job_partition_number(partition), hs_store_outcome_name(outcome),
                (guint64)offset, attempt, (unsigned)(hs_clock_monotonic_ms() - received_ms));
    if (outcome == HS_STORE_DONE)
        hs_job_partition_apply_end(partition, job_id, "append");
    return outcome;
}

static GByteArray *pack_end(const char *job_id) {
    Hs__JobEnd end = HS__JOB_END__INIT;
    end.job_id = (char *)job_id;
    Hs__JobRecord record = HS__JOB_RECORD__INIT;
    record.kind_case = HS__JOB_RECORD__KIND_END;
    record.end = &end;
    GByteArray *packed = g_byte_array_new();
    g_byte_array_set_size(packed, (guint)hs__job_record__get_packed_size(&record));
    hs__job_record__pack(&record, packed->data);
    return packed;
}

/** Reports the end to one daemon; returns whether it confirmed. */
static bool report_to(const hs_daemon_address *daemon, const char *target,
                      const GByteArray *record) {
    for (uint32_t attempt = 0; attempt < REPORT_ATTEMPTS; attempt++) {
        if (attempt > 0)
            hs_clock_sleep_ms(REPORT_PAUSE_MS);
        hs_peer_answer answer;
        if (hs_job_peer_post(daemon, target, record, hs_clock_monotonic_ms() + REPORT_LIMIT_MS,
                             &answer) != HS_PEER_ANSWERED)
            continue;
        uint32_t status = answer.status;
        hs_peer_answer_clear(&answer);
        return status == 200; /* An older build answers 503 each time. */
    }
    return false;
}

static void add_daemon(GArray *daemons, const hs_daemon_address *added) {
    bool is_listed = false;
    for (guint index = 0; index < daemons->len && !is_listed; index++) {
        const hs_daemon_address *listed = &g_array_index(daemons, hs_daemon_address, index);
        is_listed = listed->address == added->address && listed->port == added->port;
    }
    if (!is_listed)
        g_array_append_val(daemons, *added);
}

/** Lists the daemons that may run items of the partition: of hs_daemon_address. */
static GArray *list_daemons(uint32_t partition, const hs_job_end_audience *audience) {
    GArray *daemons = g_array_new(FALSE, FALSE, sizeof(hs_daemon_address));
    hs_daemon_address daemon;
    if (!audience->is_owner_informed &&
        hs_daemon_directory_find_owner(audience->daemons, partition, &daemon))
        add_daemon(daemons, &daemon);
    if (audience->config == NULL)
        return daemons;
    g_autoptr(GArray) policies = hs_region_runner_list_policies(
        hs_daemon_directory_topology(audience->daemons), audience->config);
    if (policies->len == 0)
        return daemons;
    g_autoptr(GArray) candidates = hs_daemon_directory_list_regions(audience->daemons);
    for (guint index = 0; index < policies->len; index++) {
        const hs_region_policy *policy = &g_array_index(policies, hs_region_policy, index);
        uint64_t runner = hs_region_runner_choose(candidates, partition, policy);
        if (hs_daemon_directory_find_daemon(audience->daemons, runner, &daemon))
            add_daemon(daemons, &daemon);
    }
    return daemons;
}

void hs_job_end_report(hs_job_partition *partition, const char *job_id,
                       const hs_job_end_audience *audience) {
    if (audience->daemons == NULL)
        return;
    uint32_t number = hs_job_partition_number(partition);
    uint64_t started_ms = hs_clock_monotonic_ms();
    g_autoptr(GArray) daemons = list_daemons(number, audience);
    g_autoptr(GByteArray) record = pack_end(job_id);
    g_autofree char *target = g_strdup_printf(TARGET_FORMAT, number);
    guint confirmed = 0;
    for (guint index = 0; index < daemons->len; index++)
        confirmed +=
            report_to(&g_array_index(daemons, hs_daemon_address, index), target, record) ? 1 : 0;
    hs_log_info("job_end_reported", "job=%s part=%u daemons=%u confirmed=%u took_ms=%u", job_id,
                number, daemons->len, confirmed, (unsigned)(hs_clock_monotonic_ms() - started_ms));
}

bool hs_job_end_is_report(const char *target) {
    return g_str_has_prefix(target, "/ended?");
}

bool hs_job_end_read_target(const char *target, uint32_t *partition) {
    return sscanf(target, TARGET_FORMAT, partition) == 1;
}

void hs_job_end_apply(hs_job_partition *partition, hs_inbound *inbound) {
    Hs__JobRecord *record = hs__job_record__unpack(NULL, inbound->body->len, inbound->body->data);
    bool is_end = record != NULL && record->kind_case == HS__JOB_RECORD__KIND_END;
    if (is_end)
        hs_job_partition_apply_end(partition, record->end->job_id, "report");
    if (record != NULL)
        hs__job_record__free_unpacked(record, NULL);
    hs_inbound_reply(inbound, is_end ? 200 : 400, NULL, "", 0);
}
