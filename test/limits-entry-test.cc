// Untrusted clients of an entry, on loopback: the process must live, stay within the memory and descriptors of its
// machine, and answer an ordinary request afterwards.
#include "limits-processes.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

using namespace turmericpier::test;

namespace {

constexpr MachineLimits entryLimits { .memoryMb = 48, .descriptors = 1'024 };
constexpr MachineLimits controlLimits { .memoryMb = 96, .descriptors = 1'024 };
constexpr size_t megabyte = size_t { 1 } << 20U;

const std::string jobHeader = "POST /q/00000000000000ff HTTP/1.1\r\nHost: jobs.example\r\n";
const std::string chunkedHeader = jobHeader + "Transfer-Encoding: chunked\r\n\r\n";

std::string headerWithLength(size_t bytes) { return absl::StrCat(jobHeader, "Content-Length: ", bytes, "\r\n\r\n"); }

/// Attacks an entry and checks it, and that ordinary callers are answered afterwards.
void attackEntry(const Attack& attack)
{
    TestCell cell(controlLimits, entryLimits);
    cell.configure();
    cell.attack(cell.clientAddress(), attack);
    cell.checkAll();
}

} // namespace

// Guards against trailers that are collected without a limit: 4 connections took 4,480 MB in 12 s.
TEST_CASE("endless trailers behind a chunked body", "[limits]")
{
    attackEntry({ .prefix = chunkedHeader + "0\r\n",
        .filler = absl::StrCat("X-Trailer: ", std::string(1'000, 'x'), "\r\n"),
        .bytes = 64 * megabyte,
        .connections = 4 });
}

// Guards against a chunk extension that is buffered without a limit: 4 connections took 2,484 MB in 5 s.
TEST_CASE("an endless chunk extension", "[limits]")
{
    attackEntry({ .prefix = chunkedHeader + "1;x=",
        .filler = std::string(1'000, 'x'),
        .bytes = 64 * megabyte,
        .connections = 4 });
}

// Guards against many bodies at the limit of one request: 200 connections took 799 MB.
TEST_CASE("large bodies that never complete", "[limits]")
{
    attackEntry({ .prefix = headerWithLength(4'194'000),
        .filler = std::string(65'536, ' '),
        .bytes = 4'190'000,
        .connections = 40 });
}

// Guards against many bodies inside the limits of one client: 1,500 connections took 338 MB.
TEST_CASE("bodies inside the limits that never complete", "[limits]")
{
    attackEntry({ .prefix = headerWithLength(262'144),
        .filler = std::string(65'536, ' '),
        .bytes = 262'000,
        .connections = 300 });
}

// Guards against header fields that take many times their size for as long as the body is read.
TEST_CASE("thousands of short header fields before a body that never completes", "[limits]")
{
    std::string fields;
    for (int i = 0; i < 3'000; ++i)
        fields += "a:b\r\n";
    attackEntry({ .prefix = absl::StrCat(jobHeader, fields, "Content-Length: 1000\r\n\r\n"),
        .filler = " ",
        .bytes = 15'500,
        .connections = 300 });
}

// Guards against JSON that takes many times its size while it is parsed.
TEST_CASE("a JSON text of millions of small values", "[limits]")
{
    constexpr size_t bytes = 8'000'000;
    std::string values = "[0";
    while (values.size() < bytes - 1)
        values += ",0";
    values.resize(bytes - 1);
    values += ']';
    attackEntry({ .prefix = headerWithLength(bytes), .filler = values, .bytes = bytes + 500, .connections = 2 });
}

// Guards against decoded jobs that wait for a leader and take many times the size of their bodies.
TEST_CASE("jobs of many steps that wait for a leader", "[limits]")
{
    std::string steps;
    while (steps.size() < 261'000)
        absl::StrAppend(&steps, steps.empty() ? "" : ",", "{\"count\":1}");
    const auto body = absl::StrCat("{\"spec\":\"x\",\"steps\":[", steps, "]}");
    const auto request = headerWithLength(body.size()) + body;
    TestCell cell(controlLimits, entryLimits);
    cell.configure();
    cell.suspendControl(true);
    cell.attack(
        cell.clientAddress(), { .prefix = request, .filler = request, .bytes = request.size(), .connections = 24 });
    cell.suspendControl(false);
    cell.checkAll();
}

// Guards against requests that arrive a byte in a chunk, each chunk with its own header.
TEST_CASE("endless chunks of one byte", "[limits]")
{
    std::string chunks;
    for (int i = 0; i < 1'000; ++i)
        chunks += "1\r\nx\r\n";
    attackEntry({ .prefix = chunkedHeader, .filler = chunks, .bytes = 64 * megabyte, .connections = 4 });
}

// Guards against headers that never end.
TEST_CASE("endless header bytes", "[limits]")
{
    attackEntry({ .prefix = jobHeader + "X-Long: ",
        .filler = std::string(1'000, 'x'),
        .bytes = 16 * megabyte,
        .connections = 4 });
}

// Guards against the headers of many connections that stay just below the limit of one header.
TEST_CASE("unfinished headers on many connections", "[limits]")
{
    attackEntry(
        { .prefix = jobHeader + "X-Long: ", .filler = std::string(1'000, 'x'), .bytes = 16'000, .connections = 500 });
}

// Guards against responses that pile up for clients that pipeline requests and do not read.
TEST_CASE("pipelined requests whose responses are not read", "[limits]")
{
    attackEntry({ .prefix = "",
        .filler = "GET /q/ HTTP/1.1\r\nHost: jobs.example\r\n\r\n",
        .bytes = megabyte,
        .connections = 50,
        .reads = false });
}

// Guards against messages between processes that are collected without a limit on all of them.
TEST_CASE("unfinished messages at the peer port of an entry", "[limits]")
{
    TestCell cell(controlLimits, entryLimits);
    cell.configure();
    cell.attack(cell.peerAddress(true), unfinishedPeerMessage(16));
    cell.checkAll();
}
