/** @file crash_codec.h  Evidence on crashes as a message: times become ages, since clocks differ.
 */
#ifndef HS_DIRECTORY_CRASH_CODEC_H
#define HS_DIRECTORY_CRASH_CODEC_H

#include "fleet/crash_ledger.h"
#include "gen/peer.pb-c.h"

/** A message with what it points to: not to be moved once written. */
typedef struct {
    Hs__CrashEvidence message;
    Hs__CrashedEngine engines[HS_CRASH_ENGINES_MOST];
    Hs__CrashedEngine *engine_list[HS_CRASH_ENGINES_MOST];
} hs_crash_message;

/** @p now_ms: monotonic, as the times of @p evidence. */
void hs_crash_codec_write(const hs_crash_evidence *evidence, uint64_t now_ms,
                          hs_crash_message *out);

/** Of more engines than are remembered the first ones are taken. */
hs_crash_evidence hs_crash_codec_read(const Hs__CrashEvidence *message, uint64_t now_ms);

#endif
