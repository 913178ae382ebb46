#include "turmericpier/base/log.h"

#include <chrono>
#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/mdc.h>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

namespace turmericpier {

namespace {
    std::string& instanceName()
    {
        static std::string name;
        return name;
    }

    constexpr int lineQueueCapacity = 1'024; // Lines that wait for standard output; more are dropped.
    // Limit for each kind of decision; bounds the processor time spent on logging under load.
    constexpr uint32_t maxLinesPerSecond = 40;

    /// Limits the rate of log lines of each kind.
    class LineRateLimiter {
    public:
        static LineRateLimiter& instance()
        {
            static LineRateLimiter limiter;
            return limiter;
        }

        /// Returns the number of lines of this kind suppressed since the last one written, or nullopt if this line is
        /// to be suppressed too.
        std::optional<uint64_t> tryAcquire(std::string_view kind)
        {
            const auto second
                = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now().time_since_epoch());
            std::lock_guard lock(m_mutex);
            auto found = m_windows.find(kind);
            if (found == m_windows.end())
                found = m_windows.emplace(std::string(kind), Window {}).first;
            auto& window = found->second;
            if (window.second != second)
                window = { second, 0, window.suppressed };
            if (window.lines >= maxLinesPerSecond) {
                ++window.suppressed;
                return std::nullopt;
            }
            ++window.lines;
            return std::exchange(window.suppressed, 0);
        }

    private:
        struct Window {
            std::chrono::seconds second { 0 };
            uint32_t lines = 0;
            uint64_t suppressed = 0;
        };
        std::mutex m_mutex;
        std::map<std::string, Window, std::less<>> m_windows;
    };

    /// Sets the fields in the mapped diagnostic context (MDC) of the thread and clears the context on destruction.
    class ScopedFields {
    public:
        explicit ScopedFields(std::initializer_list<LogField> fields)
            : m_fields(fields)
        {
            log4cxx::MDC::put("instance", instanceName());
            for (const auto& [name, value] : m_fields)
                log4cxx::MDC::put(std::string(name), value);
        }
        ~ScopedFields() { log4cxx::MDC::clear(); }
        ScopedFields(const ScopedFields&) = delete;
        ScopedFields& operator=(const ScopedFields&) = delete;

    private:
        std::initializer_list<LogField> m_fields;
    };
} // namespace

void configureLog(std::string_view instance, LogTarget target)
{
    instanceName() = std::string(instance);
    const bool toOutput = target == LogTarget::StandardOutput;
    auto console = std::make_shared<log4cxx::ConsoleAppender>(
        std::make_shared<log4cxx::JSONLayout>(), toOutput ? LOG4CXX_STR("System.out") : LOG4CXX_STR("System.err"));
    if (toOutput) {
        auto queue = std::make_shared<log4cxx::AsyncAppender>();
        queue->setBlocking(false);
        queue->setBufferSize(lineQueueCapacity);
        queue->addAppender(console);
        log4cxx::BasicConfigurator::configure(queue);
    } else {
        log4cxx::BasicConfigurator::configure(console);
    }
    log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::getInfo());
}

void logDecision(std::string_view component, std::string_view kind, std::string_view id, std::string_view outcome,
    std::initializer_list<LogField> fields)
{
    const auto suppressed = LineRateLimiter::instance().tryAcquire(kind);
    if (!suppressed)
        return;
    const ScopedFields scope(fields);
    log4cxx::MDC::put("kind", std::string(kind));
    log4cxx::MDC::put("id", std::string(id));
    log4cxx::MDC::put("outcome", std::string(outcome));
    if (*suppressed > 0)
        log4cxx::MDC::put("left_out", std::to_string(*suppressed));
    LOG4CXX_INFO(log4cxx::Logger::getLogger(std::string(component)), "decision");
}

void logState(std::string_view component, std::string_view message, std::initializer_list<LogField> fields)
{
    const ScopedFields scope(fields);
    LOG4CXX_INFO(log4cxx::Logger::getLogger(std::string(component)), std::string(message));
}

void logError(std::string_view component, std::string_view message, std::initializer_list<LogField> fields)
{
    const ScopedFields scope(fields);
    LOG4CXX_ERROR(log4cxx::Logger::getLogger(std::string(component)), std::string(message));
}

} // namespace turmericpier
