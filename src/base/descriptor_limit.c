/** @file descriptor_limit.c  See descriptor_limit.h. */
#include "base/descriptor_limit.h"

#include "base/log.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <sys/resource.h>

/** Assumed if the limit cannot be read. */
#define FALLBACK_DESCRIPTOR_LIMIT 256

uint32_t hs_descriptor_limit_raise(void) {
    struct rlimit limit;
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        hs_log_warning("descriptor_limit_unknown", "reason=\"%s\"", strerror(errno));
        return FALLBACK_DESCRIPTOR_LIMIT;
    }
    struct rlimit raised = {.rlim_cur = limit.rlim_max, .rlim_max = limit.rlim_max};
    if (setrlimit(RLIMIT_NOFILE, &raised) == 0)
        limit = raised;
    else
        hs_log_warning("descriptor_limit_not_raised", "limit=%" G_GUINT64_FORMAT " reason=\"%s\"",
                       (guint64)limit.rlim_cur, strerror(errno));
    return (uint32_t)MIN(limit.rlim_cur, G_MAXUINT32);
}
