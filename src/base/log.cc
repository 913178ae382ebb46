#include "turmericpier/base/log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/mdc.h>

namespace turmericpier {

namespace {
    std::string& instanceName()
    {
        static std::string name;
        return name;
    }

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

void configureLog(std::string_view instance)
{
    instanceName() = std::string(instance);
    auto layout = std::make_shared<log4cxx::JSONLayout>();
    auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, LOG4CXX_STR("System.err"));
    log4cxx::BasicConfigurator::configure(appender);
    log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::getInfo());
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
