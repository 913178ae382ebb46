#pragma once

#include "scene.h"

#include <filesystem>

/// The cases. Each returns true if the rule was broken, and throws CannotRun if it cannot run.
namespace review {

bool fillingTasks(Record& record, const std::filesystem::path& repository, bool isDisturbed);
bool failingService(Record& record, const std::filesystem::path& repository, bool isDisturbed);
bool adviceAfterRestart(Record& record, const std::filesystem::path& repository, bool isDisturbed);
bool cutOffWorker(Record& record, const std::filesystem::path& repository, bool isDisturbed);
bool lateStarts(Record& record, const std::filesystem::path& repository, bool isDisturbed);

} // namespace review
