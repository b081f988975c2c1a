/** @file fault_point.c  Fault points of a test build; see fault_point.h. */
#include "base/fault_point.h"

#ifdef HS_FAULT_POINTS

#include "base/log.h"

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define FAULT_VARIABLE "HS_FAULT"

/** The fault asked for, read once. */
typedef struct {
    char *point;
    char *action;
    int nth;
} wanted_fault;

static gint pass_count;

static gpointer read_fault(gpointer unused) {
    (void)unused;
    wanted_fault *fault = g_new0(wanted_fault, 1);
    const char *text = getenv(FAULT_VARIABLE);
    if (text == NULL)
        return fault;
    g_auto(GStrv) parts = g_strsplit(text, ":", 3);
    if (g_strv_length(parts) < 2)
        return fault;
    fault->point = g_strdup(parts[0]);
    fault->action = g_strdup(parts[1]);
    fault->nth = parts[2] != NULL ? atoi(parts[2]) : 1;
    return fault;
}

void hs_fault_point_pass(const char *name) {
    static GOnce once = G_ONCE_INIT;
    const wanted_fault *fault = g_once(&once, read_fault, NULL);
    if (fault->point == NULL || strcmp(fault->point, name) != 0)
        return;
    if (g_atomic_int_add(&pass_count, 1) + 1 != fault->nth)
        return;
    hs_log_warning("fault_point", "point=%s action=%s", name, fault->action);
    if (strcmp(fault->action, "kill") == 0)
        kill(getpid(), SIGKILL);
    if (strcmp(fault->action, "freeze") == 0)
        kill(getpid(), SIGSTOP);
}

#else
typedef int hs_fault_point_not_built;
#endif
