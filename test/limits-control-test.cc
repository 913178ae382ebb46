// Untrusted clients and workers of a control process, on loopback: the process must live, stay within the memory and
// descriptors of its machine, and answer an ordinary request afterwards.
#include "limits-processes.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

using namespace turmericpier::test;

namespace {

constexpr MachineLimits entryLimits { .memoryMb = 160, .descriptors = 1'024 };
constexpr MachineLimits controlLimits { .memoryMb = 96, .descriptors = 1'024 };
constexpr size_t megabyte = size_t { 1 } << 20U;

const std::string answerHeader = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
const std::string chunkedAnswer = answerHeader + "Transfer-Encoding: chunked\r\n\r\n";

std::string jobOfSteps(size_t steps, const std::string& step)
{
    std::string list;
    for (size_t i = 0; i < steps; ++i)
        absl::StrAppend(&list, i == 0 ? "" : ",", step);
    return absl::StrCat("{\"spec\":\"x\",\"steps\":[", list, "]}");
}

/// Lets workers answer each call with the attack, and checks both processes.
void answerWith(const Attack& attack)
{
    TestCell cell(controlLimits, entryLimits);
    cell.configure();
    cell.serveWorkers(4, attack, std::chrono::seconds(4));
    cell.checkAll();
}

} // namespace

// Guards against endless trailers at the port for workers and operators.
TEST_CASE("endless trailers at the control port", "[limits]")
{
    TestCell cell(controlLimits, entryLimits);
    cell.configure();
    cell.attack(cell.controlAddress(),
        { .prefix = "PUT /turmericpier/instances/i-x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            .filler = absl::StrCat("X-Trailer: ", std::string(1'000, 'x'), "\r\n"),
            .bytes = 64 * megabyte,
            .connections = 4 });
    cell.checkAll();
}

// Guards against jobs inside the limits of one request that fill the replicated state without a limit.
TEST_CASE("many jobs of the largest allowed size", "[limits]")
{
    TestCell cell(controlLimits, entryLimits);
    cell.configure();
    const auto body = jobOfSteps(21'000, "{\"count\":1}");
    for (int i = 0; i < 40; ++i)
        cell.submit(body);
    cell.checkWithinLimits(cell.entry(), entryLimits);
    cell.checkWithinLimits(cell.control(), controlLimits);
    // The state may be full; an accepted job is still known and can be cancelled.
    CHECK(cell.requestFirstJob("GET").status == 200);
    CHECK(cell.requestFirstJob("DELETE").status == 200);
}

// Guards against small jobs that ask for millions of tasks, each of which takes memory at each replica.
TEST_CASE("jobs of millions of tasks", "[limits]")
{
    TestCell cell(controlLimits, entryLimits);
    cell.configure();
    const auto body = jobOfSteps(50, "{\"count\":100000,\"cpu\":1000000}");
    for (int i = 0; i < 20; ++i)
        cell.submit(body, 10);
    TestCell::settle();
    cell.checkAll();
}

// Guards against large responses that pile up for clients that do not read.
TEST_CASE("configurations that are asked for and not read", "[limits]")
{
    TestCell cell(controlLimits, entryLimits);
    cell.configure(megabyte);
    cell.attack(cell.controlAddress(),
        { .prefix = "",
            .filler = "GET /turmericpier/config HTTP/1.1\r\nHost: a\r\n\r\n",
            .bytes = 2'000,
            .connections = 150,
            .reads = false });
    cell.checkAll();
}

// Guards against workers that register under ever new names with large records.
TEST_CASE("heartbeats of many workers with large records", "[limits]")
{
    TestCell cell(controlLimits, entryLimits);
    cell.configure();
    const auto labels = absl::StrCat("[\"a\",\"r1\",\"", std::string(megabyte, 'x'), "\"]");
    for (int i = 0; i < 100; ++i) {
        cell.sendOnce("PUT", absl::StrCat("/turmericpier/instances/w-", i),
            absl::StrCat("{\"service\":\"svc\",\"addr\":\"", cell.untrustedHost(50), ":", 1'000 + i,
                "\",\"zone\":\"a\",\"state\":\"ready\",\"born\":1,\"seq\":1,\"capacity\":{},\"labels\":", labels, "}"));
    }
    cell.checkAll();
}

// Guards against trailers of a worker's answer that are collected without a limit.
TEST_CASE("answers of workers with endless trailers", "[limits]")
{
    answerWith({ .prefix = chunkedAnswer + "0\r\n",
        .filler = absl::StrCat("X-Trailer: ", std::string(1'000, 'x'), "\r\n"),
        .bytes = 256 * megabyte });
}

// Guards against a chunk extension of a worker's answer that is buffered without a limit.
TEST_CASE("answers of workers with an endless chunk extension", "[limits]")
{
    answerWith({ .prefix = chunkedAnswer + "1;x=", .filler = std::string(1'000, 'x'), .bytes = 256 * megabyte });
}

// Guards against workers whose answers never get beyond informational responses.
TEST_CASE("answers of workers with endless informational responses", "[limits]")
{
    answerWith({ .prefix = "", .filler = "HTTP/1.1 100 Continue\r\n\r\n", .bytes = 16 * megabyte });
}

// Guards against messages between processes that are collected without a limit on all of them.
TEST_CASE("unfinished messages at the peer port of a control process", "[limits]")
{
    TestCell cell(controlLimits, entryLimits);
    cell.configure();
    cell.attack(cell.peerAddress(false), unfinishedPeerMessage(16));
    cell.checkAll();
}

// Guards against a peer port whose connections are all taken, so that no process of the system gets through any more.
TEST_CASE("silent connections at the peer port", "[limits]")
{
    TestCell cell(controlLimits, entryLimits);
    cell.configure();
    cell.stopEntry();
    const auto held = cell.holdConnections(cell.peerAddress(false), 200);
    cell.startEntry();
    cell.checkAll();
}
