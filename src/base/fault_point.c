/** @file fault_point.c  See fault_point.h. */
#include "base/fault_point.h"

#ifdef HS_FAULT_POINTS

#include "base/log.h"

#include <signal.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define FAULT_VARIABLE "HS_FAULT"

typedef struct {
    char point[48];
    char action[16];
    int remaining_calls;
} fault_request;

static GMutex fault_lock;
static fault_request fault;
static bool environment_was_read;

/** Parses @p text (may be NULL) into the requested fault. The caller holds the lock. */
static void parse_fault(const char *text) {
    fault = (fault_request){{0}, {0}, 0};
    g_auto(GStrv) parts = g_strsplit(text != NULL ? text : "", ":", 3);
    if (g_strv_length(parts) < 2)
        return;
    g_strlcpy(fault.point, parts[0], sizeof fault.point);
    g_strlcpy(fault.action, parts[1], sizeof fault.action);
    fault.remaining_calls = parts[2] != NULL ? atoi(parts[2]) : 1;
}

void hs_fault_point_set(const char *text) {
    g_mutex_lock(&fault_lock);
    environment_was_read = true;
    parse_fault(text);
    g_mutex_unlock(&fault_lock);
}

/** Returns whether this call triggers the fault, and its action. */
static bool should_trigger(const char *name, char action[16]) {
    g_mutex_lock(&fault_lock);
    if (!environment_was_read)
        parse_fault(getenv(FAULT_VARIABLE));
    environment_was_read = true;
    bool now =
        fault.remaining_calls > 0 && strcmp(fault.point, name) == 0 && --fault.remaining_calls == 0;
    g_strlcpy(action, fault.action, sizeof fault.action);
    g_mutex_unlock(&fault_lock);
    return now;
}

void hs_fault_point_pass(const char *name) {
    char action[16];
    if (!should_trigger(name, action))
        return;
    hs_log_warning("fault_point", "point=%s action=%s", name, action);
    if (strcmp(action, "kill") == 0)
        kill(getpid(), SIGKILL);
    if (strcmp(action, "freeze") == 0)
        kill(getpid(), SIGSTOP);
}

#else
typedef int hs_fault_point_not_built;
#endif
