#include "app/command.h"
#include "app/flags.h"
#include "app/load.h"
#include "app/operator-client.h"
#include "turmericpier/base/error.h"

#include <boost/json.hpp>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(service, "", "service that the request is for");
DEFINE_string(payload, "", "payload of the request");
DEFINE_bool(non_repeatable, false, "the request runs at most once");
DEFINE_uint32(deadline_ms, 10'000, "time that the caller waits for one attempt, in milliseconds");
DEFINE_uint32(count, 1'000, "requests of the load");
DEFINE_uint32(non_repeatable_every, 10, "every n-th request of the load is non-repeatable; 0 for none");
DEFINE_uint32(callers, 16, "callers of the load at once");
DEFINE_uint32(rate, 0, "requests a second of the load; 0 for as fast as the callers go");
DEFINE_uint32(give_up_ms, 60'000, "time after which a caller of the load stops resending a request, in milliseconds");
DEFINE_string(record, "", "file for the callers' own ledger, one JSON object a line");

namespace turmericpier::app {

namespace {
    ExitCode sendOne()
    {
        rpc::CallRequest request;
        request.set_request_id(FLAGS_request_id.empty() ? newRequestId() : FLAGS_request_id);
        request.set_partner(FLAGS_partner);
        request.set_service(FLAGS_service);
        request.set_home_region(FLAGS_region);
        request.set_payload(FLAGS_payload);
        request.set_non_repeatable(FLAGS_non_repeatable);
        request.set_deadline_ms(FLAGS_deadline_ms);
        const auto reply = callWithResends(request, entryAddresses(), std::chrono::milliseconds(FLAGS_timeout_ms));
        if (!reply.ok())
            return report(reply.status());
        const boost::json::object result { { "request_id", request.request_id() }, { "answer", reply->answer() },
            { "worker", reply->worker() }, { "attempts", reply->attempts() } };
        printJson(boost::json::serialize(result));
        return ExitCode::Ok;
    }

    ExitCode sendLoad()
    {
        LoadOptions options;
        options.entries = entryAddresses();
        options.partner = FLAGS_partner;
        options.service = FLAGS_service;
        options.region = FLAGS_region;
        options.count = FLAGS_count;
        options.nonRepeatableEvery = FLAGS_non_repeatable_every;
        options.callers = FLAGS_callers;
        options.ratePerSecond = FLAGS_rate;
        options.deadline = std::chrono::milliseconds(FLAGS_deadline_ms);
        options.giveUpAfter = std::chrono::milliseconds(FLAGS_give_up_ms);
        options.recordFile = FLAGS_record;
        options.idPrefix = FLAGS_request_id.empty() ? newRequestId() : FLAGS_request_id;
        const auto result = runLoad(options);
        if (!result.ok())
            return report(result.status());
        printJson(toJson(*result));
        return result->wrongAnswers == 0 ? ExitCode::Ok : ExitCode::Failed;
    }

    ExitCode runRequest(const Arguments& arguments)
    {
        if (FLAGS_service.empty() || FLAGS_partner.empty() || FLAGS_region.empty())
            return usageError("request", "--service, --partner and --region are needed");
        if (arguments.size() == 1 && arguments[0] == "send")
            return sendOne();
        if (arguments.size() == 1 && arguments[0] == "load")
            return sendLoad();
        return usageError("request", "wrong arguments");
    }
} // namespace

Command requestCommand()
{
    return { "request", "send one request, or a load of them",
        "usage: turmericpier request send --service S --partner P --region R [--payload TEXT] [--non_repeatable]\n"
        "           [--request_id ID] [--deadline_ms N] [--timeout_ms N]\n"
        "       turmericpier request load --service S --partner P --region R --count N [--non_repeatable_every N]\n"
        "           [--callers N] [--rate N] [--deadline_ms N] [--give_up_ms N] [--record FILE]\n\n"
        "--region is the home region, which is part of the request's identity. A request without an answer is resent "
        "with\n"
        "its id through the next entry. The load writes what its callers saw to FILE, for `ledger reconcile`; it "
        "checks that\n"
        "each answer ends with the payload of its own request, as an endpoint that echoes its payload gives.\n"
        "\nflags: --entries A,B  --json\n",
        runRequest };
}

} // namespace turmericpier::app
