#include "cases.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <unistd.h>

/// Usage: review-cases CASE REPOSITORY RECORD
///
/// Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 there is no
/// disruption.
int main(int argumentCount, char** arguments)
{
    using namespace review;
    const std::map<std::string, bool (*)(Record&, const std::filesystem::path&, bool)> cases {
        { "filling-tasks", fillingTasks },
        { "advice-after-restart", adviceAfterRestart },
        { "cut-off-worker", cutOffWorker },
        { "late-starts", lateStarts },
        { "failing-service", failingService },
    };
    const auto found = argumentCount == 4 ? cases.find(arguments[1]) : cases.end();
    if (found == cases.end()) {
        std::cerr << "usage: review-cases CASE REPOSITORY RECORD\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    // The processes end with this one.
    constexpr unsigned longestSeconds = 115;
    std::signal(SIGALRM, [](int) { ::_exit(2); });
    ::alarm(longestSeconds);
    const char* trouble = std::getenv("TROUBLE");
    const bool isDisturbed = !trouble || std::string(trouble) != "0";
    auto& record = *new Record(arguments[3]); // Used by threads until the process ends.
    int result = 2;
    try {
        result = found->second(record, arguments[2], isDisturbed) ? 1 : 0;
    } catch (const std::exception& failure) {
        record.write(std::string("the case cannot run: ") + failure.what());
    }
    Cluster::endCurrent();
    record.write(result == 1 ? "RULE BROKEN" : result == 0 ? "the rule held" : "no result");
    std::cout << arguments[1] << ": " << (result == 1 ? "rule broken" : result == 0 ? "rule held" : "not run") << "\n";
    std::cout.flush();
    ::_exit(result);
}
