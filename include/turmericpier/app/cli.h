#pragma once

/// The command line of turmericpier.
namespace turmericpier::app {

/// Exit codes of every subcommand.
enum class ExitCode {
    Ok = 0,
    Usage = 1, ///< Wrong arguments or settings.
    NotRun = 2, ///< Refused; it is certain that the command was not carried out.
    Unknown = 3, ///< It is not known whether the command was carried out.
    Failed = 4, ///< The command was carried out, but with an error.
    Differences = 5, ///< `ledger reconcile` found differences.
};

/// Runs the subcommand that the arguments name and returns the exit code for the process.
int runCommandLine(int argc, char** argv);

} // namespace turmericpier::app
