#pragma once

#include "turmericpier/app/cli.h"

#include <absl/status/status.h>
#include <functional>
#include <string>
#include <vector>

/// Subcommands of the command line.
namespace turmericpier::app {

using Arguments = std::vector<std::string>; ///< Arguments after the subcommand, without flags.

/// A subcommand.
struct Command {
    std::string name;
    std::string summary; ///< One line for the list of commands.
    std::string help; ///< Text for --help: usage, arguments and flags.
    std::function<ExitCode(const Arguments& arguments)> run;
};

Command runCommand();
Command checkSettingsCommand();
Command dumpCommand();
Command statusCommand();
Command teamCommand();
Command policyCommand();
Command serviceCommand();
Command jobCommand();
Command gangCommand();
Command workerCommand();
Command drainCommand();
Command configCommand();
Command requestCommand();
Command ledgerCommand();

/// Prints the message and a hint at --help of the command to standard error. Returns ExitCode::Usage.
ExitCode usageError(const std::string& command, const std::string& message);

/// Prints an error with its outcome, reason, step and peer to standard error, as JSON with --json. Returns the exit
/// code for its outcome.
ExitCode report(const absl::Status& status);

/// Prints a JSON document: unchanged with --json, otherwise as indented text.
void printJson(const std::string& json);

} // namespace turmericpier::app
