/** @file build_info.c  See build_info.h. */
#include "base/build_info.h"

/* The Makefile defines the commit. */
#ifndef HS_BUILD_COMMIT
#define HS_BUILD_COMMIT "unknown"
#endif

const char *hs_build_commit(void) {
    return HS_BUILD_COMMIT;
}
