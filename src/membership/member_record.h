/** @file member_record.h  A member's account as it goes over the wire. */
#ifndef HS_MEMBERSHIP_MEMBER_RECORD_H
#define HS_MEMBERSHIP_MEMBER_RECORD_H

#include "membership/membership.h"

/** Describe @p member; free with hs_member_record_free. */
Hs__MemberRecord *hs_member_record_new(const hs_member *member);

/** @p data: Hs__MemberRecord made by hs_member_record_new. */
void hs_member_record_free(gpointer data);

#endif
