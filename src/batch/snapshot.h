/**
 * @file snapshot.h
 * Encodes a partition's state as records of the snapshot stream and decodes the records. Does no
 * I/O.
 *
 * A snapshot consists of parts followed by a seal. The content depends only on the prefix of the
 * partition's stream, so that a snapshot of any daemon can be used. A reader loads the newest
 * sealed snapshot and then reads the rest of the partition's stream.
 */
#ifndef HS_BATCH_SNAPSHOT_H
#define HS_BATCH_SNAPSHOT_H

#include "batch/partition_state.h"

/** Returns the parts as an array of GByteArray*. Free with g_ptr_array_unref. */
GPtrArray *hs_snapshot_encode_parts(const hs_partition *partition, const char *snapshot_id);

/** Returns a seal without the offset of the first part. Free with g_byte_array_unref. */
GByteArray *hs_snapshot_encode_seal(const hs_partition *partition, const char *snapshot_id,
                                    uint32_t part_count);

/** Returns a copy of the seal with the offset of the first part. Free with g_byte_array_unref. */
GByteArray *hs_snapshot_set_first_part(const GByteArray *seal, uint64_t first_part_offset);

/** Adds a part's entries to @p partition. Returns false if the part is malformed. */
bool hs_snapshot_apply_part(hs_partition *partition, const Hs__SnapshotPart *part);

/** Sets owner, epoch, time and next offset from the seal. Call after all parts. */
void hs_snapshot_apply_seal(hs_partition *partition, const Hs__SnapshotSeal *seal);

#endif
