#include "app/command.h"
#include "platform/command.h"
#include "turmericpier/app/process.h"
#include "turmericpier/base/log.h"
#include "turmericpier/settings/settings.h"

#include <csignal>
#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(settings, "", "settings file");

namespace turmericpier::app {

namespace {
    sigset_t blockStopSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        pthread_sigmask(SIG_BLOCK, &signals, nullptr);
        return signals;
    }

    std::string settingsFile(const Arguments& arguments)
    {
        return arguments.empty() ? FLAGS_settings : arguments.front();
    }

    ExitCode runProcess(const Arguments& arguments)
    {
        const auto file = settingsFile(arguments);
        if (file.empty())
            return usageError("run", "--settings is missing");
        auto settings = settings::loadSettings(file);
        if (!settings.ok()) {
            report(settings.status());
            return ExitCode::Usage;
        }
        // Block the signals before any thread starts: every thread inherits the mask, so only sigwait() receives them.
        const auto signals = blockStopSignals();
        configureLog(settings->instance.str());
        auto process = Process::open(std::move(*settings));
        if (!process.ok())
            return report(process.status());
        if (auto status = (*process)->start(); !status.ok())
            return report(status);
        int signal = 0;
        sigwait(&signals, &signal);
        logState("process", "stopping", { { "signal", std::to_string(signal) } });
        (*process)->shutDown();
        return ExitCode::Ok;
    }

    ExitCode checkSettings(const Arguments& arguments)
    {
        const auto file = settingsFile(arguments);
        if (file.empty())
            return usageError("check-settings", "the file is missing");
        if (file.ends_with(".toml"))
            return platform::checkNodeSettings(file);
        const auto settings = settings::loadSettings(file);
        if (!settings.ok()) {
            report(settings.status());
            return ExitCode::Usage;
        }
        std::cout << file << ": valid settings of instance " << settings->instance.str() << "\n";
        return ExitCode::Ok;
    }
} // namespace

Command runCommand()
{
    return { "run", "run one process with the roles that its settings name",
        "usage: turmericpier run --settings FILE\n\n"
        "Runs until SIGTERM or SIGINT, then shuts down gracefully: new calls are refused, calls in flight end.\n",
        runProcess };
}

Command checkSettingsCommand()
{
    return { "check-settings", "check a settings file", "usage: turmericpier check-settings FILE\n", checkSettings };
}

} // namespace turmericpier::app
