#include "app/command.h"
#include "app/flags.h"
#include "app/operator-client.h"
#include "turmericpier/ledger/reconcile.h"

#include <algorithm>
#include <boost/json.hpp>
#include <fstream>
#include <iostream>

namespace turmericpier::app {

namespace {
    boost::json::object toJson(const rpc::LedgerRecord& record)
    {
        return { { "partner", record.partner() }, { "home_region", record.home_region() },
            { "request_id", record.request_id() }, { "service", record.service() },
            { "outcome", rpc::Outcome_Name(record.outcome()) }, { "reason", record.reason() },
            { "worker", record.worker() }, { "attempts", record.attempts() }, { "index", record.index() },
            { "job", record.job() } };
    }

    ExitCode exportRecords()
    {
        const auto records = exportLedger(FLAGS_region, FLAGS_partner);
        if (!records.ok())
            return report(records.status());
        for (const auto& record : *records)
            std::cout << boost::json::serialize(toJson(record)) << "\n";
        return ExitCode::Ok;
    }

    std::vector<ledger::LedgerLine> toLedgerLines(const std::vector<rpc::LedgerRecord>& records)
    {
        std::vector<ledger::LedgerLine> lines;
        for (const auto& record : records) {
            if (!record.job())
                lines.push_back({ record.partner(), record.home_region(), record.request_id(), record.service(),
                    rpc::Outcome_Name(record.outcome()) });
        }
        return lines;
    }

    ExitCode reconcileFile(const std::string& file)
    {
        std::ifstream in(file);
        if (!in)
            return usageError("ledger", "cannot open " + file);
        const auto partnerLines = ledger::parseLedger(in, file);
        if (!partnerLines.ok())
            return report(partnerLines.status());
        const auto records = exportLedger(FLAGS_region, FLAGS_partner);
        if (!records.ok())
            return report(records.status());
        const auto result = ledger::reconcile(toLedgerLines(*records), *partnerLines);
        for (const auto& difference : result.differences)
            std::cout << ledger::toString(difference) << "\n";
        std::cout << "ledger reconcile: " << result.requests << " requests, " << result.differences.size()
                  << " differences\n";
        return result.differences.empty() ? ExitCode::Ok : ExitCode::Differences;
    }

    ExitCode runLedger(const Arguments& arguments)
    {
        if (FLAGS_region.empty())
            return usageError("ledger", "--region is missing");
        if (arguments.size() == 1 && arguments[0] == "export")
            return exportRecords();
        if (arguments.size() == 2 && arguments[0] == "reconcile")
            return reconcileFile(arguments[1]);
        return usageError("ledger", "wrong arguments");
    }
} // namespace

Command ledgerCommand()
{
    return { "ledger", "export a ledger and compare it with a partner's",
        "usage: turmericpier ledger export --region R [--partner P]\n"
        "       turmericpier ledger reconcile FILE --region R [--partner P]\n\n"
        "FILE holds one JSON object a line with partner, home_region, request_id, service and outcome (RAN, NOT_RUN "
        "or\n"
        "UNKNOWN). Each difference is printed with its request id. Jobs are exported, but not compared.\n"
        "\nflags: --entries A,B  --timeout_ms N\n",
        runLedger };
}

} // namespace turmericpier::app
