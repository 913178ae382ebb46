#pragma once

#include "turmericpier/settings/settings.h"

#include <absl/status/statusor.h>
#include <memory>

/// A turmericpier process.
namespace turmericpier::app {

/// Runs the roles that the settings name in this process.
class Process {
public:
    /// Opens the stored state of every role. Nothing runs before start().
    static absl::StatusOr<std::unique_ptr<Process>> open(settings::Settings settings);
    ~Process();

    /// Starts the admin server, the transport and every role.
    absl::Status start();
    /// Shuts down gracefully: refuses new calls, waits for calls in flight, then stops every role.
    void shutDown();

private:
    struct Impl;
    explicit Process(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace turmericpier::app
