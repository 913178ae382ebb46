#include "app/command.h"
#include "app/flags.h"
#include "turmericpier/base/error.h"
#include "turmericpier/settings/settings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(admin, "127.0.0.1:7201", "admin address of the process");

namespace turmericpier::app {

namespace {
    namespace http = boost::beast::http;

    absl::StatusOr<std::string> httpGet(const peer::Address& address, const std::string& path)
    {
        boost::asio::io_context context;
        boost::beast::tcp_stream stream(context);
        stream.expires_after(std::chrono::milliseconds(FLAGS_timeout_ms));
        boost::system::error_code error;
        stream.connect({ boost::asio::ip::make_address(address.host), address.port }, error);
        http::request<http::empty_body> request(http::verb::get, path, 11);
        request.set(http::field::host, address.host);
        request.set(http::field::connection, "close");
        http::response_parser<http::string_body> parser;
        parser.body_limit(256U << 20U); // Dumps of large clusters exceed the default limit of 8 MiB.
        boost::beast::flat_buffer buffer;
        if (!error)
            http::write(stream, request, error);
        if (!error)
            http::read(stream, buffer, parser, error);
        if (error)
            return makeError(
                { absl::StatusCode::kUnavailable, Outcome::NotRun, "CONNECTION_FAILED", "dump", FLAGS_admin },
                "cannot read " + path + " from " + FLAGS_admin + ": " + error.message());
        return parser.get().body();
    }

    ExitCode runDump(const Arguments& arguments)
    {
        const std::string path = "/" + (arguments.empty() ? std::string("dump") : arguments.front());
        const auto address = settings::parseAddress(FLAGS_admin);
        if (!address.ok())
            return usageError("dump", "--admin: " + std::string(address.status().message()));
        const auto body = httpGet(*address, path);
        if (!body.ok())
            return report(body.status());
        if (path == "/dump")
            printJson(*body);
        else
            std::cout << *body;
        return ExitCode::Ok;
    }
} // namespace

Command dumpCommand()
{
    return { "dump", "show the whole state of one process",
        "usage: turmericpier dump [dump|metrics|healthz|readyz] --admin ADDRESS [--json]\n", runDump };
}

} // namespace turmericpier::app
