/**
 * @file ctl.h
 * heathsailctl's commands. Each prints its answer and returns the program's exit status:
 * 0 done, 1 refused or failed, 2 the outcome is unknown.
 */
#ifndef TOOLS_CTL_CTL_H
#define TOOLS_CTL_CTL_H

#include <stdbool.h>

/** Where to send and how to print; from the command line. */
typedef struct {
    const char *admin_url;
    const char *caller_url;
    const char *tenant;
    const char *if_match; /**< NULL: unconditional. */
    const char *key;      /**< Idempotency-Key, or NULL. */
    const char *endpoint;
    const char *window;
    bool json_output;
} ctl_options;

/** A command: @p arguments are the words after its name, NULL-terminated. */
typedef struct {
    const char *group; /**< First word. */
    const char *verb;  /**< Second word, or NULL. */
    int argument_count;
    int (*run)(const ctl_options *options, char **arguments);
    const char *usage;
} ctl_command;

extern const ctl_command ctl_commands[];

#endif
