/**
 * @file ctl.h
 * Commands of heathsailctl. Each prints the response and returns the program's exit status:
 * 0 success, 1 refused or failed, 2 outcome unknown.
 */
#ifndef TOOLS_CTL_CTL_H
#define TOOLS_CTL_CTL_H

#include <stdbool.h>

/** Options of the command line. */
typedef struct {
    const char *admin_url;
    const char *caller_url;
    const char *tenant;
    const char *if_match; /**< Required revision; NULL: unconditional. */
    const char *key;      /**< Idempotency-Key; NULL: none. */
    const char *endpoint;
    const char *window; /**< Completion window of a job. */
    bool json_output;
} ctl_options;

/** A command. */
typedef struct {
    const char *group;  /**< First word. */
    const char *verb;   /**< Second word; NULL: the name is one word. */
    int argument_count; /**< Required arguments after the name. */
    /** @p arguments: the words after the name, NULL-terminated. */
    int (*run)(const ctl_options *options, char **arguments);
    const char *usage;
} ctl_command;

/** All commands; the last entry has a NULL group. */
extern const ctl_command ctl_commands[];

#endif
