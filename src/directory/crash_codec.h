/**
 * @file crash_codec.h
 * Converts crash evidence to and from its protobuf message. The message holds ages instead of
 * times, since the daemons' clocks differ.
 */
#ifndef HS_DIRECTORY_CRASH_CODEC_H
#define HS_DIRECTORY_CRASH_CODEC_H

#include "fleet/crash_ledger.h"
#include "gen/peer.pb-c.h"

/** A message with the memory that it points to. It must not be copied or moved once written. */
typedef struct {
    Hs__CrashEvidence message;
    Hs__CrashedEngine engines[HS_MAX_CRASH_ENGINES];
    Hs__CrashedEngine *engine_list[HS_MAX_CRASH_ENGINES];
} hs_crash_message;

/** Writes evidence to @p out. @p now_ms: monotonic, like the times in @p evidence. */
void hs_crash_codec_write(const hs_crash_evidence *evidence, uint64_t now_ms,
                          hs_crash_message *out);

/** Reads evidence from a message. Engines beyond HS_MAX_CRASH_ENGINES are ignored. */
hs_crash_evidence hs_crash_codec_read(const Hs__CrashEvidence *message, uint64_t now_ms);

#endif
