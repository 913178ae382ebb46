#pragma once

#include "turmericpier/app/cli.h"

#include <absl/status/status.h>
#include <functional>
#include <string>
#include <vector>

/// One subcommand of the command line.
namespace turmericpier::app {

using Arguments = std::vector<std::string>; ///< After the subcommand; flags are taken out.

struct Command {
    std::string name;
    std::string summary; ///< One line.
    std::string help; ///< Usage, arguments and flags.
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

/// Prints the message and how to get help; returns ExitCode::Usage.
ExitCode usageError(const std::string& command, const std::string& message);

/// Prints an error with its outcome, step and peer (as JSON with --json) and returns the exit code of its outcome.
ExitCode report(const absl::Status& status);

/// Prints a JSON text: as it is with --json, else indented for reading.
void printJson(const std::string& json);

} // namespace turmericpier::app
