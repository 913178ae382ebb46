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

    constexpr int queuedLines = 1'024;
    constexpr uint32_t linesPerSecond = 40; // Of one kind; bounds the processor time of logs under load.

    /// Bounds the lines of each kind per second.
    class LineBudget {
    public:
        static LineBudget& instance()
        {
            static LineBudget budget;
            return budget;
        }

        /// Returns the number of lines left out since the last one of the kind, or nothing if this one is left out.
        std::optional<uint64_t> take(std::string_view kind)
        {
            const auto second
                = std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now().time_since_epoch());
            std::lock_guard lock(m_mutex);
            auto found = m_kinds.find(kind);
            if (found == m_kinds.end())
                found = m_kinds.emplace(std::string(kind), Kind {}).first;
            auto& entry = found->second;
            if (entry.second != second)
                entry = { second, 0, entry.leftOut };
            if (entry.lines >= linesPerSecond) {
                ++entry.leftOut;
                return std::nullopt;
            }
            ++entry.lines;
            return std::exchange(entry.leftOut, 0);
        }

    private:
        struct Kind {
            std::chrono::seconds second { 0 };
            uint32_t lines = 0;
            uint64_t leftOut = 0;
        };
        std::mutex m_mutex;
        std::map<std::string, Kind, std::less<>> m_kinds;
    };

    /// Puts the fields into the thread's log context while a line is written.
    class Fields {
    public:
        explicit Fields(std::initializer_list<LogField> fields)
            : m_fields(fields)
        {
            log4cxx::MDC::put("instance", instanceName());
            for (const auto& [name, value] : m_fields)
                log4cxx::MDC::put(std::string(name), value);
        }
        ~Fields() { log4cxx::MDC::clear(); }
        Fields(const Fields&) = delete;
        Fields& operator=(const Fields&) = delete;

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
        queue->setBufferSize(queuedLines);
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
    const auto leftOut = LineBudget::instance().take(kind);
    if (!leftOut)
        return;
    const Fields scope(fields);
    log4cxx::MDC::put("kind", std::string(kind));
    log4cxx::MDC::put("id", std::string(id));
    log4cxx::MDC::put("outcome", std::string(outcome));
    if (*leftOut > 0)
        log4cxx::MDC::put("left_out", std::to_string(*leftOut));
    LOG4CXX_INFO(log4cxx::Logger::getLogger(std::string(component)), "decision");
}

void logState(std::string_view component, std::string_view message, std::initializer_list<LogField> fields)
{
    const Fields scope(fields);
    LOG4CXX_INFO(log4cxx::Logger::getLogger(std::string(component)), std::string(message));
}

void logError(std::string_view component, std::string_view message, std::initializer_list<LogField> fields)
{
    const Fields scope(fields);
    LOG4CXX_ERROR(log4cxx::Logger::getLogger(std::string(component)), std::string(message));
}

} // namespace turmericpier
