/**
 * @file crash_record.c
 * Fuzz target: crash evidence received from other daemons and the store. Adding the same evidence a
 * second time must change nothing, and a trial decision must exist for any evidence.
 */
#include "directory/crash_codec.h"
#include "fleet/crash_trials.h"
#include "tests/fuzz/fuzz.h"

/** Short uptime: ages in the evidence may exceed it. */
#define NOW_MS 1000000U

static void add_evidence(hs_crash_ledger *ledger, const hs_crash_evidence *received) {
    for (uint32_t index = 0; index < received->engine_count; index++) {
        const hs_crash_engine *engine = &received->engines[index];
        hs_crash_loss loss = {.content = received->content,
                              .engine = engine->engine,
                              .lost_ms = engine->lost_ms,
                              .ran_ms = engine->ran_ms};
        hs_crash_ledger_add_loss(ledger, &loss, NOW_MS);
    }
    if (received->is_acquitted)
        hs_crash_ledger_acquit(ledger, received->content, received->acquitted_ms);
}

static void check_trial_decision(const hs_crash_ledger *ledger, uint64_t content) {
    hs_crash_evidence known_evidence;
    if (!hs_crash_ledger_find(ledger, content, &known_evidence))
        return;
    FUZZ_CHECK(known_evidence.engine_count <= HS_MAX_CRASH_ENGINES);
    hs_crash_trials *trials = hs_crash_trials_new();
    hs_trial_candidate candidate = {.evidence = &known_evidence, .is_accepted = true};
    hs_trial_verdict verdict = hs_crash_trials_decide(trials, &candidate, NOW_MS);
    FUZZ_CHECK(hs_trial_verdict_name(verdict) != NULL);
    hs_crash_trials_free(trials);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) {
    Hs__CrashEvidence *message = hs__crash_evidence__unpack(NULL, size, data);
    if (message == NULL)
        return 0;
    hs_crash_evidence received = hs_crash_codec_read(message, NOW_MS);
    hs__crash_evidence__free_unpacked(message, NULL);
    FUZZ_CHECK(received.engine_count <= HS_MAX_CRASH_ENGINES);
    hs_crash_ledger *ledger = hs_crash_ledger_new();
    g_autoptr(GArray) changes = g_array_new(FALSE, FALSE, sizeof(hs_crash_quarantine));
    add_evidence(ledger, &received);
    hs_crash_ledger_evaluate(ledger, NOW_MS, changes);
    uint64_t digest = hs_crash_ledger_digest(ledger);
    add_evidence(ledger, &received);
    FUZZ_CHECK(hs_crash_ledger_digest(ledger) == digest);
    check_trial_decision(ledger, received.content);
    hs_crash_ledger_free(ledger);
    return 0;
}
