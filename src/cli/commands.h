/**
 * @file
 * The command line: subcommands that run hosts, and subcommands for operators.
 */
#pragma once

#include <functional>

namespace CLI
{
class App;
}

namespace pimentoshed::cli
{

/** The process's exit codes, listed in docs/ERRORS.md. */
enum class ExitCode : int {
    Success = 0,
    /** A file is invalid or unreadable, or the host refused the request. */
    Refused = 1,
    /** An argument or setting is invalid. */
    Usage = 2,
    StartFailed = 3,
    /** Requests were still in progress when the limit for stopping passed, and were cut. */
    RequestsCut = 4,
    /** The host that the command was sent to did not respond. */
    Unreachable = 5,
};

/** Adds subcommands to the app; when run, they set the exit code. */
using CommandAdder = std::function<void(CLI::App &, ExitCode &)>;

/** Runs the subcommand that the arguments name and returns its exit code. @p addMore may add further subcommands. */
int run(int argc, const char *const *argv, const CommandAdder &addMore = nullptr);

} // namespace pimentoshed::cli
