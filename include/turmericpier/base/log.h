#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

/// Structured log lines for changes of state; everything that is frequent is a counter instead.
namespace turmericpier {

/// One named value of a log line.
using LogField = std::pair<std::string_view, std::string>;

/// Sends JSON lines to standard error, each with the id of this process.
void configureLog(std::string_view instance);

/// Logs a change of state: logState("consensus", "became leader", { { "term", "7" } });
void logState(std::string_view component, std::string_view message, std::initializer_list<LogField> fields = {});

/// Logs an error that needs an operator.
void logError(std::string_view component, std::string_view message, std::initializer_list<LogField> fields = {});

} // namespace turmericpier
