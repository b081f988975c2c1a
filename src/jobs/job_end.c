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
/** Time for a daemon's first confirmation, and the maximum to which it doubles. */
#define FIRST_REPORT_LIMIT_MS 250
#define MAX_REPORT_LIMIT_MS 2000
/** Pause between two attempts. */
#define REPORT_PAUSE_MS 40

hs_store_outcome hs_job_end_store(hs_job_partition *partition, const char *job_id,
                                  uint64_t received_ms, hs_deadline deadline) {
    uint64_t offset = 0;
    uint32_t attempt = 0;
    hs_store_outcome outcome = HS_STORE_REFUSED;
    bool may_be_stored = false;
    do {
        if (attempt > 0)
            hs_clock_sleep_ms(HS_JOB_RETRY_PAUSE_MS);
        outcome = hs_job_partition_append_end(
            partition, job_id, hs_job_partition_append_deadline(partition, attempt++, 0, deadline),
            &offset);
        may_be_stored = may_be_stored || outcome == HS_STORE_UNKNOWN;
    } while (outcome != HS_STORE_DONE && outcome != HS_STORE_INVALID &&
             hs_clock_monotonic_ms() < deadline);
    if (outcome != HS_STORE_DONE && may_be_stored)
        outcome = HS_STORE_UNKNOWN;
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

/** A report of one end. */
typedef struct {
    char *target;
    GByteArray *record;
    GArray *confirmed; /**< Of hs_daemon_address: the daemons that need no further report. */
    uint64_t attempt_limit_ms; /**< Time for one daemon's confirmation. */
} end_report;

/**
 * Reports the end to one daemon unless it has confirmed; returns whether it has. The answer of a
 * daemon that does not rely on reports is not needed.
 */
static bool report_to(end_report *report, const hs_daemon_address *daemon, hs_deadline deadline) {
    if (hs_job_peer_is_listed(report->confirmed, daemon))
        return true;
    hs_deadline limit = MIN(deadline, hs_clock_monotonic_ms() + report->attempt_limit_ms);
    hs_peer_answer answer;
    uint32_t status = 0;
    if (hs_job_peer_post(daemon, report->target, report->record, limit, &answer) ==
        HS_PEER_ANSWERED) {
        status = answer.status;
        hs_peer_answer_clear(&answer);
    }
    if (status != 200 && (status == 0 || daemon->reports_ends))
        return false;
    g_array_append_val(report->confirmed, *daemon);
    return true;
}

/** Reports the end to each daemon that claims the partition; returns whether all confirmed. */
static bool report_to_claimants(end_report *report, hs_daemon_directory *daemons, uint32_t number,
                                hs_deadline deadline) {
    g_autoptr(GArray) claimants = hs_daemon_directory_list_claimants(daemons, number);
    bool is_complete = true;
    for (guint index = 0; index < claimants->len; index++)
        is_complete =
            report_to(report, &g_array_index(claimants, hs_daemon_address, index), deadline) &&
            is_complete;
    return is_complete;
}

/** Reports the end once to the daemons that run restricted items of the partition. */
static void report_to_runners(end_report *report, hs_daemon_directory *daemons,
                              const hs_fleet_config *config, uint32_t number,
                              hs_deadline deadline) {
    g_autoptr(GArray) policies =
        hs_region_runner_list_policies(hs_daemon_directory_topology(daemons), config);
    if (policies->len == 0)
        return;
    g_autoptr(GArray) candidates = hs_daemon_directory_list_regions(daemons);
    for (guint index = 0; index < policies->len; index++) {
        const hs_region_policy *policy = &g_array_index(policies, hs_region_policy, index);
        uint64_t runner = hs_region_runner_choose(candidates, number, policy);
        hs_daemon_address daemon;
        if (hs_daemon_directory_find_daemon(daemons, runner, &daemon))
            report_to(report, &daemon, deadline);
    }
}

bool hs_job_end_report(hs_job_partition *partition, const char *job_id,
                       hs_daemon_directory *daemons, const hs_fleet_config *config,
                       hs_deadline deadline) {
    if (daemons == NULL)
        return true;
    uint32_t number = hs_job_partition_number(partition);
    uint64_t started_ms = hs_clock_monotonic_ms();
    end_report report = {.target = g_strdup_printf(TARGET_FORMAT, number),
                         .record = pack_end(job_id),
                         .confirmed = g_array_new(FALSE, FALSE, sizeof(hs_daemon_address)),
                         .attempt_limit_ms = FIRST_REPORT_LIMIT_MS};
    if (config != NULL)
        report_to_runners(&report, daemons, config, number, deadline);
    bool is_complete = report_to_claimants(&report, daemons, number, deadline);
    bool is_settled = hs_daemon_directory_is_settled(daemons);
    while (!(is_complete && is_settled) && hs_clock_monotonic_ms() < deadline) {
        hs_clock_sleep_ms(REPORT_PAUSE_MS);
        report.attempt_limit_ms = MIN(2 * report.attempt_limit_ms, MAX_REPORT_LIMIT_MS);
        is_settled = hs_daemon_directory_is_settled(daemons);
        is_complete = report_to_claimants(&report, daemons, number, deadline);
    }
    is_complete = is_complete && is_settled;
    hs_log_info("job_end_reported", "job=%s part=%u confirmed=%u complete=%d took_ms=%u", job_id,
                number, report.confirmed->len, is_complete,
                (unsigned)(hs_clock_monotonic_ms() - started_ms));
    g_free(report.target);
    g_byte_array_unref(report.record);
    g_array_unref(report.confirmed);
    return is_complete;
}

bool hs_job_end_is_report(const char *target) {
    return g_str_has_prefix(target, "/ended?");
}

static bool read_target(const char *target, uint32_t *number) {
    return sscanf(target, TARGET_FORMAT, number) == 1;
}

void hs_job_end_apply(hs_job_service *service, hs_inbound *inbound) {
    uint32_t number = 0;
    bool is_readable = read_target(inbound->target, &number);
    Hs__JobRecord *record = hs__job_record__unpack(NULL, inbound->body->len, inbound->body->data);
    uint32_t part_count = hs_job_service_partition_count(service);
    bool is_valid = is_readable && record != NULL &&
                    record->kind_case == HS__JOB_RECORD__KIND_END &&
                    hs_job_partition_number_for_job(record->end->job_id, part_count) == number;
    if (is_valid)
        hs_job_partition_apply_end(hs_job_service_partition(service, number), record->end->job_id,
                                   "report");
    if (record != NULL)
        hs__job_record__free_unpacked(record, NULL);
    hs_inbound_reply(inbound, is_valid ? 200 : 400, NULL, "", 0);
}
