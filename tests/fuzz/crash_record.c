/**
 * @file crash_record.c
 * Fuzz target: evidence on crashes, as other daemons and the store tell it, of any build. Evidence
 * that is told twice changes nothing the second time; a claim to a trial is decided for any of it.
 */
#include "directory/crash_codec.h"
#include "fleet/crash_trials.h"
#include "tests/fuzz/fuzz.h"

/** As some time after a machine's start: ages may be longer. */
#define NOW_MS 1000000U

static void learn(hs_crash_ledger *ledger, const hs_crash_evidence *told) {
    for (uint32_t index = 0; index < told->engine_count; index++) {
        const hs_crash_engine *engine = &told->engines[index];
        hs_crash_loss loss = {.content = told->content,
                              .engine = engine->engine,
                              .lost_ms = engine->lost_ms,
                              .ran_ms = engine->ran_ms};
        hs_crash_ledger_add_loss(ledger, &loss, NOW_MS);
    }
    if (told->is_acquitted)
        hs_crash_ledger_acquit(ledger, told->content, told->acquitted_ms);
}

static void decide(const hs_crash_ledger *ledger, uint64_t content) {
    hs_crash_evidence known;
    if (!hs_crash_ledger_find(ledger, content, &known))
        return;
    FUZZ_CHECK(known.engine_count <= HS_MAX_CRASH_ENGINES);
    hs_crash_trials *trials = hs_crash_trials_new();
    hs_trial_candidate claim = {.evidence = &known, .is_accepted = true};
    hs_trial_verdict verdict = hs_crash_trials_decide(trials, &claim, NOW_MS);
    FUZZ_CHECK(hs_trial_verdict_name(verdict) != NULL);
    hs_crash_trials_free(trials);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size) {
    Hs__CrashEvidence *message = hs__crash_evidence__unpack(NULL, size, data);
    if (message == NULL)
        return 0;
    hs_crash_evidence told = hs_crash_codec_read(message, NOW_MS);
    hs__crash_evidence__free_unpacked(message, NULL);
    FUZZ_CHECK(told.engine_count <= HS_MAX_CRASH_ENGINES);
    hs_crash_ledger *ledger = hs_crash_ledger_new();
    g_autoptr(GArray) changes = g_array_new(FALSE, FALSE, sizeof(hs_crash_quarantine));
    learn(ledger, &told);
    hs_crash_ledger_evaluate(ledger, NOW_MS, changes);
    uint64_t digest = hs_crash_ledger_digest(ledger);
    learn(ledger, &told);
    FUZZ_CHECK(hs_crash_ledger_digest(ledger) == digest);
    decide(ledger, told.content);
    hs_crash_ledger_free(ledger);
    return 0;
}
