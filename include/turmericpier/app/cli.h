#pragma once

/// The command line of turmericpier.
namespace turmericpier::app {

/// Exit codes of every subcommand.
enum class ExitCode {
    Ok = 0,
    Usage = 1, ///< Wrong arguments or settings.
    NotRun = 2, ///< Refused; proved not to have been carried out.
    Unknown = 3, ///< Not known whether it was carried out.
    Failed = 4, ///< Carried out, but with an error.
    Differences = 5, ///< `ledger reconcile` found differences.
};

/// Runs the subcommand named by the arguments and returns the exit code of the process.
int runCommandLine(int argc, char** argv);

} // namespace turmericpier::app
