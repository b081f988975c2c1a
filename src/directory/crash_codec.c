/** @file crash_codec.c  See crash_codec.h. */
#include "directory/crash_codec.h"

static uint64_t compute_age_ms(uint64_t then_ms, uint64_t now_ms) {
    return now_ms > then_ms ? now_ms - then_ms : 0;
}

static uint64_t compute_time_ms(uint64_t age_ms, uint64_t now_ms) {
    return now_ms > age_ms ? now_ms - age_ms : 0;
}

void hs_crash_codec_write(const hs_crash_evidence *evidence, uint64_t now_ms,
                          hs_crash_message *out) {
    Hs__CrashEvidence *message = &out->message;
    hs__crash_evidence__init(message);
    message->content = evidence->content;
    message->is_acquitted = evidence->is_acquitted;
    message->acquitted_age_ms = compute_age_ms(evidence->acquitted_ms, now_ms);
    message->n_engines = evidence->engine_count;
    message->engines = out->engine_list;
    for (uint32_t index = 0; index < evidence->engine_count; index++) {
        Hs__CrashedEngine *engine = &out->engines[index];
        hs__crashed_engine__init(engine);
        engine->engine_hash = evidence->engines[index].engine;
        engine->age_ms = compute_age_ms(evidence->engines[index].lost_ms, now_ms);
        engine->ran_ms = evidence->engines[index].ran_ms;
        out->engine_list[index] = engine;
    }
}

hs_crash_evidence hs_crash_codec_read(const Hs__CrashEvidence *message, uint64_t now_ms) {
    hs_crash_evidence evidence = {.content = message->content,
                                  .is_acquitted = message->is_acquitted,
                                  .acquitted_ms =
                                      compute_time_ms(message->acquitted_age_ms, now_ms)};
    for (size_t index = 0; index < MIN(message->n_engines, (size_t)HS_MAX_CRASH_ENGINES); index++)
        evidence.engines[evidence.engine_count++] =
            (hs_crash_engine){.engine = message->engines[index]->engine_hash,
                              .lost_ms = compute_time_ms(message->engines[index]->age_ms, now_ms),
                              .ran_ms = message->engines[index]->ran_ms};
    return evidence;
}
