/** @file build_info.h  The commit that heathsail was built from. */
#ifndef HS_BASE_BUILD_INFO_H
#define HS_BASE_BUILD_INFO_H

/**
 * Returns the commit of this build: twelve hexadecimal digits, followed by "-changed" if the
 * sources differed from that commit; "unknown" if the build was made outside a checkout. A static
 * string.
 */
const char *hs_build_commit(void);

#endif
