#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

/// Structured log lines: for changes of state, and a bounded number for decisions. What is more frequent is a counter.
namespace turmericpier {

/// One named value of a log line.
using LogField = std::pair<std::string_view, std::string>;

/// Where log lines go.
enum class LogTarget {
    StandardError,
    StandardOutput, ///< Through a bounded queue: lines are dropped and counted when it is full.
};

/// Sends JSON lines to the target, each with the id of this process.
void configureLog(std::string_view instance, LogTarget target = LogTarget::StandardError);

/// Logs a change of state: logState("consensus", "became leader", { { "term", "7" } });
void logState(std::string_view component, std::string_view message, std::initializer_list<LogField> fields = {});

/// Logs a decision about the request, task or worker `id`: its outcome and the inputs that led to it. Lines beyond 40 a
/// second for one kind are left out; the next line of the kind tells how many.
void logDecision(std::string_view component, std::string_view kind, std::string_view id, std::string_view outcome,
    std::initializer_list<LogField> fields = {});

/// Logs an error that needs an operator.
void logError(std::string_view component, std::string_view message, std::initializer_list<LogField> fields = {});

} // namespace turmericpier
