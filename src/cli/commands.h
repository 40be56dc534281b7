/**
 * @file
 * The command line: one subcommand for each role and each operator's act.
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
    Refused = 1,
    Usage = 2,
    StartFailed = 3,
    StoppedWithWork = 4,
    Unreachable = 5,
};

/** Adds subcommands that set the exit code. */
using CommandAdder = std::function<void(CLI::App &, ExitCode &)>;

/** Runs the command that the arguments name, also of those that @p more adds; returns the exit code. */
int run(int argc, const char *const *argv, const CommandAdder &more = nullptr);

} // namespace pimentoshed::cli
