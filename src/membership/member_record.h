/** @file member_record.h  Conversion of members to protobuf records. Thread-safe. */
#ifndef HS_MEMBERSHIP_MEMBER_RECORD_H
#define HS_MEMBERSHIP_MEMBER_RECORD_H

#include "membership/membership.h"

/** Returns a record with copies of the fields of @p member; free with hs_member_record_free. */
Hs__MemberRecord *hs_member_record_new(const hs_member *member);

/** Frees @p data, an Hs__MemberRecord created by hs_member_record_new; not NULL. */
void hs_member_record_free(gpointer data);

#endif
