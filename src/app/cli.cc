#include "turmericpier/app/cli.h"

#include "app/command.h"
#include "app/flags.h"
#include "platform/command.h"
#include "turmericpier/base/error.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdio>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_bool(json, false, "print JSON instead of text");
DEFINE_string(entries, "127.0.0.1:7001", "addresses of entries, separated by commas; tried in turn");
DEFINE_string(request_id, "", "request id; resend with the same id to get the first answer; made up if empty");
DEFINE_string(partner, "", "partner whose ledger counts the request or job");
DEFINE_string(region, "", "home region of the request, or region of the ledger");
DEFINE_uint32(timeout_ms, 15'000, "time to wait for an answer, in milliseconds");

namespace turmericpier::app {

namespace {
    std::vector<Command> allCommands()
    {
        return { runCommand(), checkSettingsCommand(), statusCommand(), teamCommand(), policyCommand(),
            serviceCommand(), jobCommand(), gangCommand(), workerCommand(), drainCommand(), configCommand(),
            requestCommand(), ledgerCommand(), dumpCommand(), platform::cellEntryCommand(),
            platform::cellControlCommand() };
    }

    void printUsage(const std::vector<Command>& commands)
    {
        std::cout << "usage: turmericpier COMMAND [ARGUMENT...] [--FLAG...]\n\ncommands:\n";
        for (const auto& command : commands)
            std::printf("  %-16s%s\n", command.name.c_str(), command.summary.c_str());
        std::cout << "\n'turmericpier COMMAND --help' tells more. Exit codes: 0 done, 1 wrong arguments or settings, 2 "
                     "refused and "
                     "not run,\n3 not known whether it ran, 4 ran with an error, 5 the ledgers differ.\n";
    }

    bool isHelp(std::string_view argument)
    {
        return argument == "--help" || argument == "-help" || argument == "-h" || argument == "help";
    }

    void printIndented(std::ostream& out, const boost::json::value& value, const std::string& indentation)
    {
        if (const auto* object = value.if_object(); object && !object->empty()) {
            for (const auto& member : *object) {
                const bool isNested = member.value().is_object() || member.value().is_array();
                out << indentation << std::string_view(member.key()) << ":";
                if (isNested) {
                    out << "\n";
                    printIndented(out, member.value(), indentation + "  ");
                } else {
                    out << " ";
                    printIndented(out, member.value(), "");
                }
            }
        } else if (const auto* array = value.if_array()) {
            for (const auto& item : *array) {
                if (item.is_object() || item.is_array())
                    out << indentation << "-\n";
                printIndented(out, item, indentation + "  ");
            }
        } else if (value.is_string()) {
            out << indentation << std::string_view(value.as_string()) << "\n";
        } else {
            out << indentation << boost::json::serialize(value) << "\n";
        }
    }
} // namespace

ExitCode usageError(const std::string& command, const std::string& message)
{
    std::cerr << "turmericpier " << command << ": " << message << "\nsee: turmericpier " << command << " --help\n";
    return ExitCode::Usage;
}

ExitCode report(const absl::Status& status)
{
    const auto details = detailsOf(status);
    if (FLAGS_json) {
        std::cerr << boost::json::serialize(boost::json::object { { "error", std::string(status.message()) },
            { "outcome", std::string(toString(details.outcome)) }, { "reason", details.reason },
            { "step", details.step }, { "peer", details.peer } })
                  << "\n";
    } else {
        std::cerr << "error: " << status.message() << " (outcome " << toString(details.outcome) << ", reason "
                  << details.reason << ", step " << details.step << ", peer " << details.peer << ")\n";
    }
    switch (details.outcome) {
    case Outcome::NotRun:
        return ExitCode::NotRun;
    case Outcome::Ran:
        return ExitCode::Failed;
    case Outcome::Unknown:
        break;
    }
    return ExitCode::Unknown;
}

void printJson(const std::string& json)
{
    boost::json::error_code error;
    const auto value = boost::json::parse(json, error);
    if (FLAGS_json || error)
        std::cout << json << "\n";
    else
        printIndented(std::cout, value, "");
}

int runCommandLine(int argc, char** argv)
{
    const auto commands = allCommands();
    if (argc < 2 || isHelp(argv[1])) {
        printUsage(commands);
        return static_cast<int>(argc < 2 ? ExitCode::Usage : ExitCode::Ok);
    }
    const auto command
        = std::find_if(commands.begin(), commands.end(), [&](const Command& known) { return known.name == argv[1]; });
    if (command == commands.end()) {
        std::cerr << "turmericpier: unknown command \"" << argv[1] << "\"\nsee: turmericpier --help\n";
        return static_cast<int>(ExitCode::Usage);
    }
    if (std::any_of(argv + 2, argv + argc, isHelp)) {
        std::cout << command->help;
        return static_cast<int>(ExitCode::Ok);
    }
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return static_cast<int>(command->run(Arguments(argv + 2, argv + argc)));
}

} // namespace turmericpier::app
