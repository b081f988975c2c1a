/**
 * @file snapshot.h
 * A partition's state as records of its snapshot stream, and back. Pure.
 *
 * A snapshot is a function of the stream's prefix alone, so it is valid whoever wrote it. It is a
 * run of parts closed by a seal; a reader starts from the newest sealed one and reads the tail.
 */
#ifndef HS_BATCH_SNAPSHOT_H
#define HS_BATCH_SNAPSHOT_H

#include "batch/partition_state.h"

/** Encode the state as parts (GByteArray each) without the seal. Free with g_ptr_array_unref. */
GPtrArray *hs_snapshot_encode_parts(const hs_partition *partition, const char *snapshot_id);

/** Encode the seal; where the parts begin is set later. Free with g_byte_array_unref. */
GByteArray *hs_snapshot_encode_seal(const hs_partition *partition, const char *snapshot_id,
                                    uint32_t part_count);

/** The seal again, for parts that begin at @p first_part_offset. Free with g_byte_array_unref. */
GByteArray *hs_snapshot_place_seal(const GByteArray *seal, uint64_t first_part_offset);

/** Put one part's jobs and files into @p partition. False when malformed. */
bool hs_snapshot_apply_part(hs_partition *partition, const Hs__SnapshotPart *part);

/** Set owner, epoch and next offset from the seal, after all of its parts. */
void hs_snapshot_apply_seal(hs_partition *partition, const Hs__SnapshotSeal *seal);

#endif
