#include "ledger-samples.h"
#include "turmericpier/base/error.h"
#include "turmericpier/ledger/state.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <random>
#include <unistd.h>

using namespace turmericpier;
using namespace turmericpier::ledger;
using log::LedgerResult;
namespace fs = std::filesystem;

namespace {
/// A temporary folder that is removed at the end of the test.
struct Folder {
    explicit Folder(const std::string& name)
        : path(fs::temp_directory_path() / ("ledger-test-" + std::to_string(::getpid()) + "-" + name))
    {
        fs::remove_all(path);
    }
    ~Folder() { fs::remove_all(path); }
    Folder(const Folder&) = delete;
    Folder& operator=(const Folder&) = delete;

    fs::path path;
};

LedgerOptions smallSegments(const fs::path& folder)
{
    return { .folder = folder, .recordsPerSegment = 8, .segmentsInMemory = 2, .maxDigests = 100'000 };
}

log::LedgerBatch randomBatch(std::mt19937_64& random, size_t ids)
{
    log::LedgerBatch batch;
    for (size_t n = 1 + random() % 4; n > 0; --n) {
        const auto id = "r" + std::to_string(random() % ids);
        const auto attempt = static_cast<uint32_t>(1 + random() % 3);
        if (random() % 3 == 0)
            *batch.add_items() = claimOf(id, "e" + std::to_string(random() % 3), attempt);
        else
            *batch.add_items() = outcomeOf(id, static_cast<rpc::Outcome>(random() % 3), attempt);
    }
    return batch;
}

/// Returns all outcomes, read in pages of `limit`.
std::string exportOf(const LedgerState& state, size_t limit)
{
    std::string all;
    Index after;
    while (true) {
        const auto page = state.outcomesAfter(after, "", limit);
        if (page.results_size() == 0)
            return all;
        for (const auto& result : page.results())
            all += result.SerializeAsString();
        after = Index { page.results(page.results_size() - 1).outcome().index() };
    }
}

/// Backfills all missing outcomes in pages of `limit`.
void backfillAll(LedgerState& state, const LedgerState& from, size_t limit)
{
    while (const auto after = state.missingAfter())
        REQUIRE(state.backfill(from.outcomesAfter(*after, "", limit)).ok());
}

/// Applies `count` batches of one outcome each, for r<first> and the following requests, at the indexes after `first`.
void applyOutcomes(LedgerState& state, uint64_t first, uint64_t count)
{
    for (uint64_t i = first; i < first + count; ++i) {
        log::LedgerBatch batch;
        *batch.add_items() = outcomeOf("r" + std::to_string(i), static_cast<rpc::Outcome>(i % 3), 1);
        state.apply(Index { i + 1 }, batch);
    }
}
} // namespace

// Guards against different results, exports or lookups once records are in files, also after restarts that apply part
// of the log again.
TEST_CASE("a ledger with segment files behaves like one in memory", "[ledger]")
{
    for (uint64_t seed = 1; seed <= 5; ++seed) {
        std::mt19937_64 random(seed);
        Folder folder("equal");
        LedgerState inMemory;
        auto inFiles = std::make_unique<LedgerState>(smallSegments(folder.path));
        std::vector<log::LedgerBatch> batches;
        std::string snapshot = inFiles->snapshot();
        size_t inSnapshot = 0;
        for (uint64_t index = 1; index <= 400; ++index) {
            batches.push_back(randomBatch(random, 500));
            const auto expected = inMemory.apply(Index { index }, batches.back());
            const auto results = inFiles->apply(Index { index }, batches.back());
            for (int i = 0; i < expected.results_size(); ++i) {
                const auto& result = results.results(i);
                // A repeated outcome cannot be compared with a record in a file, so it is not recognised as identical.
                if (result.code() != expected.results(i).code()) {
                    REQUIRE(expected.results(i).code() == LedgerResult::ACCEPTED);
                    REQUIRE(result.code() == LedgerResult::ENDED_BEFORE);
                }
                REQUIRE(result.outcome().outcome() == expected.results(i).outcome().outcome());
                REQUIRE(result.outcome().request_id() == expected.results(i).outcome().request_id());
                REQUIRE(result.claim().SerializeAsString() == expected.results(i).claim().SerializeAsString());
            }
            if (random() % 20 == 0) {
                snapshot = inFiles->snapshot();
                inSnapshot = batches.size();
            }
            if (random() % 50 == 0) {
                inFiles = std::make_unique<LedgerState>(smallSegments(folder.path));
                REQUIRE(inFiles->restore(snapshot).ok());
                for (size_t i = inSnapshot; i < batches.size(); ++i)
                    inFiles->apply(Index { i + 1 }, batches[i]);
            }
        }
        CHECK(inFiles->dump().find("\"sealed_segments\":0") == std::string::npos);
        CHECK(inFiles->snapshot().size() < inMemory.snapshot().size());
        const auto expected = exportOf(inMemory, 1'000'000);
        for (size_t limit : { 1, 7, 64, 1'000'000 })
            CHECK(exportOf(*inFiles, limit) == expected);
        for (int id = 0; id < 500; ++id) {
            const auto key = requestKey("duftwerk", "east", "r" + std::to_string(id));
            REQUIRE(inFiles->find(key).SerializeAsString() == inMemory.find(key).SerializeAsString());
        }
    }
}

// Guards against a replica that installed a snapshot without the segment files, and returns different results or a
// truncated export that it does not report as incomplete.
TEST_CASE(
    "a replica without the segment files returns the same results and backfills them from another one", "[ledger]")
{
    for (size_t limit : { 1, 5, 1'000 }) {
        Folder first("first");
        Folder second("second");
        LedgerState leader(smallSegments(first.path));
        std::mt19937_64 random(3);
        uint64_t index = 0;
        while (index < 200)
            leader.apply(Index { ++index }, randomBatch(random, 1'000));
        LedgerState follower(smallSegments(second.path));
        REQUIRE(follower.restore(leader.snapshot()).ok());
        CHECK(follower.missingAfter());
        CHECK(exportOf(follower, 100).empty());
        for (; index < 400; ++index) {
            const auto batch = randomBatch(random, 1'000);
            const auto expected = leader.apply(Index { index + 1 }, batch).SerializeAsString();
            REQUIRE(follower.apply(Index { index + 1 }, batch).SerializeAsString() == expected);
        }
        CHECK(follower.snapshot() == leader.snapshot());
        backfillAll(follower, leader, limit);
        CHECK(exportOf(follower, 100) == exportOf(leader, 100));
        for (const auto& file : fs::directory_iterator(first.path))
            CHECK(fs::exists(second.path / file.path().filename()));
    }
}

// Guards against a damaged file that leads to a truncated export, and against backfilled records that are not verified.
TEST_CASE("a damaged segment is missing until it is backfilled with matching records", "[ledger]")
{
    Folder first("damaged");
    Folder second("whole");
    LedgerState damaged(smallSegments(first.path));
    LedgerState intact(smallSegments(second.path));
    for (auto* state : { &damaged, &intact })
        applyOutcomes(*state, 0, 100);
    const auto file = first.path / "segment-00000000000000000009.ledger";
    REQUIRE(fs::exists(file));
    std::fstream(file, std::ios::in | std::ios::out | std::ios::binary).seekp(20).put('\x7f');
    CHECK(damaged.outcomesAfter(Index {}, "", 1'000).results_size() == 8);
    REQUIRE(damaged.missingAfter() == Index { 8 });
    const auto old = damaged.find("duftwerk/east/r10");
    CHECK(old.code() == LedgerResult::ENDED_BEFORE);
    CHECK(old.outcome().outcome() == rpc::NOT_RUN);
    auto wrong = intact.outcomesAfter(Index { 8 }, "", 8);
    wrong.mutable_results(3)->mutable_outcome()->set_outcome(rpc::UNKNOWN);
    const auto status = damaged.backfill(wrong);
    REQUIRE_FALSE(status.ok());
    CHECK(detailsOf(status).reason == "SEGMENT_DIFFERS");
    // A page that omits records of the segment.
    CHECK_FALSE(damaged.backfill(intact.outcomesAfter(Index { 10 }, "", 20)).ok());
    CHECK(damaged.missingAfter() == Index { 8 });
    backfillAll(damaged, intact, 3);
    CHECK(exportOf(damaged, 100) == exportOf(intact, 100));
}

// Guards against replicas that recognise different old requests, in particular if one of them cannot write files.
TEST_CASE("the oldest digests are dropped by count only", "[ledger]")
{
    Folder folder("digests");
    Folder blocked("blocked");
    std::ofstream(blocked.path) << "a file in place of the folder";
    auto options = smallSegments(folder.path);
    options.maxDigests = 50;
    LedgerState state(options);
    LedgerState restored(options);
    options.folder = blocked.path;
    LedgerState unwritable(options);
    for (auto* one : { &state, &unwritable })
        applyOutcomes(*one, 0, 90);
    REQUIRE(restored.restore(state.snapshot()).ok());
    for (auto* one : { &state, &restored, &unwritable }) {
        applyOutcomes(*one, 90, 10);
        CHECK(one->find("duftwerk/east/r49").code() == LedgerResult::UNSPECIFIED);
        CHECK(one->find("duftwerk/east/r50").code() == LedgerResult::ENDED_BEFORE);
        CHECK(one->outcomesAfter(Index {}, "", 1'000).results_size() == 100);
    }
    CHECK(state.snapshot() == restored.snapshot());
}
