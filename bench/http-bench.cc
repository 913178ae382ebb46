// Cost of the HTTP server and client on loopback: requests a second, and the memory of idle connections.
#include "turmericpier/http/client.h"
#include "turmericpier/http/server.h"

#include <benchmark/benchmark.h>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace {

using namespace turmericpier;
using boost::asio::ip::tcp;

const std::string body(1'200, 'x'); // The mean size of a job.

struct Setup {
    boost::asio::io_context io;
    Metrics metrics;
    SteadyClock clock;
    uint16_t port = 0;
    std::unique_ptr<http::Server> server;

    Setup()
    {
        {
            tcp::acceptor free(io, { boost::asio::ip::make_address("127.0.0.1"), 0 });
            port = free.local_endpoint().port();
        }
        http::ServerOptions options;
        options.listen = { "127.0.0.1", port };
        server = std::make_unique<http::Server>(
            io, options,
            [](const http::Request&, const http::Respond& respond) { respond(http::Response { .body = "{}" }); },
            metrics);
        if (!server->start().ok())
            std::abort();
    }
};

void requests(benchmark::State& state)
{
    Setup setup;
    http::Client client(setup.io, {}, setup.clock, setup.metrics);
    const auto address = "127.0.0.1:" + std::to_string(setup.port);
    for ([[maybe_unused]] auto step : state) {
        bool done = false;
        client.call(address, { "POST", "/q/5c0e7a21d94b36f8", body, {} }, std::chrono::seconds(10),
            [&](const http::ClientResponse&) { done = true; });
        while (!done)
            setup.io.run_one();
    }
    state.SetItemsProcessed(state.iterations());
}

size_t residentBytes()
{
    std::ifstream in("/proc/self/statm");
    size_t total = 0;
    size_t resident = 0;
    in >> total >> resident;
    return resident * static_cast<size_t>(::sysconf(_SC_PAGESIZE));
}

void idleConnections(benchmark::State& state)
{
    const auto count = static_cast<size_t>(state.range(0));
    rlimit files {};
    ::getrlimit(RLIMIT_NOFILE, &files);
    files.rlim_cur = files.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &files);
    for ([[maybe_unused]] auto step : state) {
        Setup setup;
        const auto before = residentBytes();
        std::vector<tcp::socket> sockets;
        sockets.reserve(count);
        const auto request = "POST /q/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: a\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
        for (size_t i = 0; i < count; ++i) {
            auto& socket = sockets.emplace_back(setup.io);
            socket.connect({ boost::asio::ip::make_address("127.0.0.1"), setup.port });
            boost::asio::write(socket, boost::asio::buffer(request));
            setup.io.run_for(std::chrono::microseconds(100));
        }
        setup.io.run_for(std::chrono::milliseconds(100));
        state.counters["bytes_per_connection"]
            = static_cast<double>(residentBytes() - before) / static_cast<double>(count);
    }
}

BENCHMARK(requests)->UseRealTime()->MinTime(2)->Repetitions(5)->ReportAggregatesOnly(true);
BENCHMARK(idleConnections)->Arg(1'000)->Iterations(1);

} // namespace

BENCHMARK_MAIN();
