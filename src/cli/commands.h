/**
 * @file
 * The command line: one subcommand for each role and each operator's act.
 */
#pragma once

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

/** Runs the command that the arguments name; returns the exit code. */
int run(int argc, const char *const *argv);

} // namespace pimentoshed::cli
