#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

/// Structured logging of state changes, of errors, and of a limited number of decisions. More frequent events are only
/// counted, in Metrics.
namespace turmericpier {

/// Name and value of one field of a log line.
using LogField = std::pair<std::string_view, std::string>;

/// Destination of the log lines.
enum class LogTarget {
    StandardError,
    StandardOutput, ///< Written through a bounded queue; lines are dropped and counted when it is full.
};

/// Writes the log as JSON lines to the target. Every line has the field `instance`.
void configureLog(std::string_view instance, LogTarget target = LogTarget::StandardError);

/// Logs a change of state: logState("consensus", "became leader", { { "term", "7" } });
void logState(std::string_view component, std::string_view message, std::initializer_list<LogField> fields = {});

/// Logs a decision about the request, task or worker `id`: its outcome and the inputs that led to it. At most 40 lines
/// per second are written for each kind; the field `left_out` of its next line holds the number of lines suppressed.
void logDecision(std::string_view component, std::string_view kind, std::string_view id, std::string_view outcome,
    std::initializer_list<LogField> fields = {});

/// Logs an error that needs the attention of an operator.
void logError(std::string_view component, std::string_view message, std::initializer_list<LogField> fields = {});

} // namespace turmericpier
