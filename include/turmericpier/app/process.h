#pragma once

#include "turmericpier/settings/settings.h"

#include <absl/status/statusor.h>
#include <memory>

/// One process of turmericpier with the roles that its settings name.
namespace turmericpier::app {

class Process {
public:
    static absl::StatusOr<std::unique_ptr<Process>> open(settings::Settings settings);
    ~Process();

    absl::Status start();
    /// Graceful shutdown: refuses new calls, lets those in flight end, then stops every role.
    void shutDown();

private:
    struct Impl;
    explicit Process(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> m_impl;
};

} // namespace turmericpier::app
