#include "consensus/wal.h"

#include "consensus/record.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>
#include <fcntl.h>
#include <fstream>
#include <rapidcheck.h>
#include <sys/stat.h>
#include <unistd.h>

using namespace turmericpier;
using namespace turmericpier::consensus;

namespace {

namespace fs = std::filesystem;

/// A write-ahead log in a folder that is removed at the end of the test.
struct Disk {
    fs::path folder;
    Metrics metrics;
    std::unique_ptr<Wal> wal;

    Disk()
    {
        std::string name = (fs::temp_directory_path() / "consensus-wal-XXXXXX").string();
        folder = ::mkdtemp(name.data());
    }
    ~Disk() { fs::remove_all(folder); }

    absl::Status tryOpen()
    {
        wal.reset();
        auto opened = Wal::open({ .folder = folder }, metrics);
        if (opened.ok())
            wal = std::move(*opened);
        return opened.status();
    }
    StoredState open()
    {
        const auto status = tryOpen();
        INFO(status.ToString());
        REQUIRE(status.ok());
        return wal->takeStoredState();
    }
    void append(uint64_t from, uint64_t to, uint64_t term = 1)
    {
        for (auto index = from; index <= to; ++index)
            REQUIRE(wal->append(hardState(term), { entry(index, term) }).ok());
    }
    void snapshot(uint64_t index, uint64_t term, bool resetLog)
    {
        REQUIRE(wal->writeSnapshot(snapshotAt(index, term)).ok());
        REQUIRE(wal->activateSnapshot(Index { index }, Term { term }, hardState(term), resetLog).ok());
    }
    std::vector<fs::path> files(std::string_view prefix) const
    {
        std::vector<fs::path> found;
        for (const auto& item : fs::directory_iterator(folder)) {
            if (item.path().filename().string().starts_with(prefix))
                found.push_back(item.path());
        }
        std::ranges::sort(found);
        return found;
    }
    size_t count(std::string_view prefix) const { return files(prefix).size(); }
    fs::path lastSegment() const { return files("log-").back(); }
    static std::string read(const fs::path& path)
    {
        std::ifstream in(path, std::ios::binary);
        return { std::istreambuf_iterator<char>(in), {} };
    }
    static void write(const fs::path& path, std::string_view bytes)
    {
        std::ofstream(path, std::ios::binary | std::ios::trunc).write(bytes.data(), bytes.size());
    }
    static Snapshot snapshotAt(uint64_t index, uint64_t term)
    {
        return { Index { index }, Term { term }, { InstanceId("a") }, "state " + std::to_string(index) };
    }
    static HardState hardState(uint64_t term) { return { Term { term }, InstanceId("a"), Index { 0 }, false }; }
    static LogEntry entry(uint64_t index, uint64_t term)
    {
        return { Term { term }, Index { index }, EntryKind::Data, "entry " + std::to_string(index) };
    }
};

} // namespace

// Guards against entries or votes that are lost by a restart.
TEST_CASE("the log is recovered on open", "[consensus]")
{
    Disk disk;
    CHECK(disk.open().hardState.recovering);
    disk.append(1, 10);
    const auto stored = disk.open();
    CHECK(stored.hardState == Disk::hardState(1));
    REQUIRE(stored.entries.size() == 10);
    CHECK(stored.entries.back().data == "entry 10");
}

// Guards against a replica that fails to start after a power failure, or keeps a part of a torn record.
TEST_CASE("an incomplete record at the end is truncated and counted", "[consensus]")
{
    Disk disk;
    std::ignore = disk.open();
    disk.append(1, 10);
    const auto size = fs::file_size(disk.lastSegment());
    disk.append(11, 11);
    const auto full = fs::file_size(disk.lastSegment());
    const auto bytes = Disk::read(disk.lastSegment());
    for (auto kept = size + 1; kept < full; ++kept) {
        CAPTURE(kept, full);
        Disk torn;
        Disk::write(torn.folder / disk.lastSegment().filename(), bytes.substr(0, kept));
        CHECK(torn.open().entries.size() == 10);
        CHECK(torn.metrics.counter("consensus_wal_torn_tails_total").value() == 1);
        torn.append(11, 12, 2);
        const auto stored = torn.open();
        REQUIRE(stored.entries.size() == 12);
        CHECK(stored.entries.back().term == Term { 2 });
        CHECK(torn.metrics.counter("consensus_wal_torn_tails_total").value() == 1);
    }
}

// Guards against the loss of entries when corruption in the middle of the log is mistaken for an incomplete write.
TEST_CASE("opening a log with a changed byte in the middle fails", "[consensus]")
{
    Disk disk;
    std::ignore = disk.open();
    disk.append(1, 10);
    const auto middle = fs::file_size(disk.lastSegment());
    disk.append(11, 11);
    const auto end = fs::file_size(disk.lastSegment());
    disk.append(12, 13);
    const auto name = disk.lastSegment().filename();
    const auto bytes = Disk::read(disk.lastSegment());
    for (auto offset = middle; offset < end; ++offset) { // header, length and body
        Disk corrupt;
        auto changed = bytes;
        changed[offset] = static_cast<char>(~changed[offset]);
        Disk::write(corrupt.folder / name, changed);
        const auto status = corrupt.tryOpen();
        CAPTURE(offset, status.ToString());
        REQUIRE(status.code() == absl::StatusCode::kDataLoss);
        CHECK(absl::StrContains(std::string(status.message()), absl::StrCat(name.string(), ": offset ", middle)));
        CHECK(Disk::read(corrupt.folder / name) == changed); // nothing was truncated
    }
}

// Guards against undetected corruption at the end of a segment that is not the last one.
TEST_CASE("opening a log fails if a segment before the last is corrupt or missing", "[consensus]")
{
    Disk disk;
    std::ignore = disk.open();
    disk.append(1, 10);
    const auto first = disk.lastSegment();
    std::ignore = disk.open();
    disk.append(11, 12);
    const auto second = disk.lastSegment();
    std::ignore = disk.open();
    disk.append(13, 14);
    const auto bytes = Disk::read(first);
    Disk::write(first, bytes.substr(0, bytes.size() - 1));
    CHECK(disk.tryOpen().code() == absl::StatusCode::kDataLoss);
    Disk::write(first, bytes);
    fs::remove(second);
    CHECK(disk.tryOpen().code() == absl::StatusCode::kDataLoss);
}

// Guards against entries that reappear after a new leader replaced them.
TEST_CASE("replaced entries do not reappear", "[consensus]")
{
    Disk disk;
    std::ignore = disk.open();
    disk.append(1, 10);
    disk.append(5, 6, 2);
    const auto stored = disk.open();
    REQUIRE(stored.entries.size() == 6);
    CHECK(stored.entries[3].term == Term { 1 });
    CHECK(stored.entries[4].term == Term { 2 });
    disk.append(7, 7, 2);
    CHECK(disk.open().entries.size() == 7);
}

// Guards against a log that grows without limit, or is compacted beyond the snapshot.
TEST_CASE("the log is compacted after a snapshot", "[consensus]")
{
    Disk disk;
    std::ignore = disk.open();
    for (uint64_t round = 0; round < 5; ++round) {
        disk.append(round * 10 + 1, round * 10 + 10);
        disk.snapshot(round * 10 + 5, 1, false);
        REQUIRE(disk.wal->compact(Index { round < 1 ? 0 : round * 10 - 5 }, Disk::hardState(1)).ok());
    }
    CHECK(disk.count("log-") <= 3);
    CHECK(disk.count("snapshot-") == 1);
    const auto stored = disk.open();
    REQUIRE(stored.snapshot);
    CHECK(stored.snapshot->index == Index { 45 });
    CHECK(stored.snapshot->data == "state 45");
    CHECK(stored.baseIndex.value <= 35);
    CHECK(stored.entries.back().index == Index { 50 });
}

// Guards against a replica that ends at each start because its first segment replaces an entry of a removed one.
TEST_CASE("an entry that replaces one of a removed segment is read", "[consensus]")
{
    Disk disk;
    std::ignore = disk.open();
    disk.append(1, 10);
    std::ignore = disk.open(); // Starts a segment after entry 10.
    disk.append(9, 12, 2);
    disk.snapshot(11, 2, false);
    REQUIRE(disk.wal->compact(Index { 10 }, Disk::hardState(2)).ok());
    REQUIRE(disk.files("log-").front().filename() != "log-00000000000000000001");
    const auto stored = disk.open();
    CHECK(stored.baseIndex == Index { 11 });
    CHECK(stored.baseTerm == Term { 2 });
    REQUIRE(stored.entries.size() == 1);
    CHECK(stored.entries.front().index == Index { 12 });
    disk.append(13, 14, 2);
    CHECK(disk.open().entries.size() == 3);
    // Without the snapshot, entries are missing.
    fs::remove(disk.files("snapshot-").front());
    CHECK(disk.tryOpen().code() == absl::StatusCode::kDataLoss);
}

// Guards against old entries that are combined with a snapshot from the leader, also after a crash between writing the
// snapshot and resetting the log.
TEST_CASE("a snapshot from the leader replaces the log", "[consensus]")
{
    const bool crash = GENERATE(false, true);
    const uint64_t last = GENERATE(10, 200); // the old log ends before or after the snapshot
    Disk disk;
    std::ignore = disk.open();
    disk.append(1, last);
    if (crash)
        REQUIRE(disk.wal->writeSnapshot(Disk::snapshotAt(100, 3)).ok());
    else
        disk.snapshot(100, 3, true);
    Disk::write(disk.folder / "snapshot-00000000000000000150.tmp", "left by a crash");
    auto stored = disk.open();
    CHECK(stored.baseIndex == Index { 100 });
    CHECK(stored.baseTerm == Term { 3 });
    CHECK(stored.entries.empty());
    CHECK(disk.count("snapshot-") == 1);
    disk.append(101, 105, 3);
    stored = disk.open();
    REQUIRE(stored.entries.size() == 5);
    CHECK(stored.entries.front().index == Index { 101 });
}

// Guards against a state machine that is restored from a corrupt snapshot.
TEST_CASE("opening a log with a corrupt snapshot fails", "[consensus]")
{
    Disk disk;
    std::ignore = disk.open();
    disk.snapshot(100, 3, true);
    const auto file = disk.folder / "snapshot-00000000000000000100";
    auto bytes = Disk::read(file);
    bytes[bytes.size() / 2] ^= 1;
    Disk::write(file, bytes);
    CHECK(disk.tryOpen().code() == absl::StatusCode::kDataLoss);
}

// Guards against a replica that continues after a disk failure, when a later sync can succeed although pages were lost.
TEST_CASE("after a failed write or sync nothing more is written", "[consensus]")
{
    const bool failWrite = GENERATE(false, true);
    Disk disk;
    bool broken = false;
    int calls = 0;
    WalOptions options { .folder = disk.folder };
    options.write = [&](int file, const char* data, size_t size) {
        ++calls;
        return broken && failWrite ? (errno = ENOSPC, -1) : ::write(file, data, size);
    };
    options.sync = [&](int file) {
        ++calls;
        return broken && !failWrite ? (errno = EIO, -1) : ::fdatasync(file);
    };
    disk.wal = Wal::open(options, disk.metrics).value();
    disk.append(1, 3);
    broken = true;
    CHECK(disk.wal->append(Disk::hardState(1), { Disk::entry(4, 1) }).code() == absl::StatusCode::kInternal);
    broken = false;
    const auto before = calls;
    CHECK_FALSE(disk.wal->append(Disk::hardState(1), { Disk::entry(4, 1) }).ok());
    CHECK_FALSE(disk.wal->compact(Index { 1 }, Disk::hardState(1)).ok());
    CHECK(calls == before);
}

// Guards against a replica that fails to start. A process is killed between a write and its sync; the next one reads
// the record and starts a new segment. A power failure then tears the record, which is no longer the last one.
TEST_CASE("a record that a killed process did not sync is synced on open", "[consensus]")
{
    Disk disk;
    std::ignore = disk.open();
    disk.append(1, 3);
    const auto inodeOf = [](int file) {
        struct stat status { };
        REQUIRE(::fstat(file, &status) == 0);
        return status.st_ino;
    };
    const auto segment = disk.lastSegment();
    std::vector<ino_t> synced;
    WalOptions options { .folder = disk.folder };
    options.sync = [&](int file) {
        synced.push_back(inodeOf(file));
        return ::fdatasync(file);
    };
    disk.wal = Wal::open(options, disk.metrics).value();
    const int file = ::open(segment.c_str(), O_RDONLY);
    const auto inode = inodeOf(file);
    ::close(file);
    REQUIRE(synced.size() >= 2);
    CHECK(synced.front() == inode);
    CHECK(synced.back() != inode);
}

// Guards against a record that is believed to be on disk after its sync was refused: another sync of the same file may
// succeed without writing it.
TEST_CASE("a segment whose sync was refused is written anew on open", "[consensus]")
{
    Disk disk;
    bool refuses = false;
    WalOptions options { .folder = disk.folder };
    options.sync = [&](int file) { return refuses ? (errno = EIO, -1) : ::fdatasync(file); };
    disk.wal = Wal::open(options, disk.metrics).value();
    disk.append(1, 3);
    const auto inodeOf = [](const fs::path& path) {
        struct stat status { };
        REQUIRE(::stat(path.c_str(), &status) == 0);
        return status.st_ino;
    };
    const auto segment = disk.lastSegment();
    const auto before = inodeOf(segment);
    refuses = true;
    CHECK_FALSE(disk.wal->append(Disk::hardState(1), { Disk::entry(4, 1) }).ok());
    const int keepsInode = ::open(segment.c_str(), O_RDONLY);
    refuses = false;
    const auto stored = disk.open();
    CHECK(inodeOf(segment) != before);
    CHECK(stored.entries.size() == 4);
    ::close(keepsInode);
}

// Guards against a folder that fills with segments while the log is opened again and again on a full disk.
TEST_CASE("a log that cannot be opened on a full disk leaves no files", "[consensus]")
{
    Disk disk;
    std::ignore = disk.open();
    disk.append(1, 3);
    const auto files = disk.files("");
    int allowed = 0;
    WalOptions options { .folder = disk.folder };
    options.write = [&](int file, const char* data, size_t size) {
        return --allowed < 0 ? (errno = ENOSPC, -1) : ::write(file, data, size);
    };
    for (int i = 0; i < 2; ++i) {
        allowed = i;
        const auto status = Wal::open(options, disk.metrics).status();
        CHECK(isDiskError(status));
        CHECK(disk.files("") == files);
    }
    CHECK(Wal::checkWritable(options, disk.metrics).code() == absl::StatusCode::kInternal);
    CHECK(disk.files("") == files);
    CHECK(disk.open().entries.size() == 3);
}

// Guards against a checksum or length check that misses a corrupt record.
TEST_CASE("a record with any single byte changed is rejected", "[consensus]")
{
    ::setenv("RC_PARAMS", "seed=1 max_success=500", 0);
    CHECK(rc::check([](const std::string& body, uint64_t sequence) {
        const auto bytes = detail::frameRecord(sequence, body);
        const auto record = detail::readRecord(bytes, 0);
        RC_ASSERT(record.has_value());
        RC_ASSERT(record->body == body);
        RC_ASSERT(record->sequence == sequence);
        auto changed = bytes;
        changed[*rc::gen::inRange<size_t>(0, bytes.size())] ^= *rc::gen::inRange(1, 256);
        RC_ASSERT(!detail::readRecord(changed, 0));
        RC_ASSERT(!detail::readRecord(std::string_view(bytes).substr(0, bytes.size() - 1), 0));
    }));
}
