/** @file main.c  heathsailctl: the operators' command-line tool. */
#include "tools/ctl/ctl.h"

#include <argp.h>
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <ulfius.h>

const char *argp_program_version = "heathsailctl 0.1.0";

#define MAX_WORDS 8

typedef struct {
    ctl_options options;
    char *words[MAX_WORDS + 1];
    int word_count;
} command_line;

static const struct argp_option option_list[] = {
    {"admin", 'a', "URL", 0, "URL of the admin listener (http://127.0.0.1:8090)", 0},
    {"caller", 'c', "URL", 0, "URL of the caller listener (http://127.0.0.1:8080)", 0},
    {"tenant", 't', "NAME", 0, "tenant for batch commands (operator)", 0},
    {"if-match", 'm', "REVISION", 0, "fail if the object has another revision", 0},
    {"key", 'k', "KEY", 0, "idempotency key of a submitted job", 0},
    {"endpoint", 'e', "PATH", 0, "endpoint of a submitted job (/v1/chat/completions)", 0},
    {"window", 'w', "WINDOW", 0, "completion window of a submitted job (24h)", 0},
    {"output", 'o', "FORMAT", 0, "text or json (text)", 0},
    {0}};

static error_t parse_option(int key, char *argument, struct argp_state *state) {
    command_line *line = state->input;
    switch (key) {
    case 'a':
        line->options.admin_url = argument;
        return 0;
    case 'c':
        line->options.caller_url = argument;
        return 0;
    case 't':
        line->options.tenant = argument;
        return 0;
    case 'm':
        line->options.if_match = argument;
        return 0;
    case 'k':
        line->options.key = argument;
        return 0;
    case 'e':
        line->options.endpoint = argument;
        return 0;
    case 'w':
        line->options.window = argument;
        return 0;
    case 'o':
        if (strcmp(argument, "json") != 0 && strcmp(argument, "text") != 0)
            argp_error(state, "--output must be text or json");
        line->options.json_output = strcmp(argument, "json") == 0;
        return 0;
    case ARGP_KEY_ARG:
        if (line->word_count >= MAX_WORDS)
            argp_usage(state);
        line->words[line->word_count++] = argument;
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

/** Returns the command that matches the words and their number, or NULL. */
static const ctl_command *find_command(const command_line *line) {
    for (const ctl_command *command = ctl_commands; command->group != NULL; command++) {
        int name_words = command->verb != NULL ? 2 : 1;
        if (line->word_count != name_words + command->argument_count)
            continue;
        if (strcmp(line->words[0], command->group) != 0)
            continue;
        if (command->verb == NULL || strcmp(line->words[1], command->verb) == 0)
            return command;
    }
    return NULL;
}

static char *usage_text(void) {
    GString *text = g_string_new("Operate a heathsail daemon.\vCommands:\n");
    for (const ctl_command *command = ctl_commands; command->group != NULL; command++)
        g_string_append_printf(text, "  %s\n", command->usage);
    return g_string_free(text, FALSE);
}

int main(int argument_count, char **arguments) {
    command_line line = {.options = {.admin_url = "http://127.0.0.1:8090",
                                     .caller_url = "http://127.0.0.1:8080",
                                     .tenant = "operator",
                                     .endpoint = "/v1/chat/completions",
                                     .window = "24h"}};
    g_autofree char *usage = usage_text();
    struct argp parser = {option_list, parse_option, "COMMAND [ARGUMENT...]", usage, NULL,
                          NULL,        NULL};
    argp_parse(&parser, argument_count, arguments, 0, NULL, &line);
    const ctl_command *command = find_command(&line);
    if (command == NULL) {
        argp_help(&parser, stderr, ARGP_HELP_STD_ERR, "heathsailctl");
        return EXIT_FAILURE;
    }
    signal(SIGPIPE, SIG_IGN);
    ulfius_global_init();
    return command->run(&line.options, line.words + (command->verb != NULL ? 2 : 1));
}
