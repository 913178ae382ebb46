#pragma once

#include "record.h"

#include <string>

/// Stand-in for the advice service: every worker may run every step.
namespace review {

class Advisor {
public:
    Advisor(Record& record, std::string ip, int port);

    /// Serves until the process ends. Returns false if the address is taken.
    bool start();

private:
    void serveConnection(int socket);

    Record& m_record;
    const std::string m_ip;
    const int m_port;
    int m_listener = -1;
};

} // namespace review
