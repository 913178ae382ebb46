#include "consensus/wal.h"

#include <catch2/catch.hpp>
#include <fstream>
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
        return wal->takeStored();
    }
    void append(uint64_t from, uint64_t to, uint64_t term = 1)
    {
        for (auto index = from; index <= to; ++index)
            REQUIRE(wal->append(hard(term), { entry(index, term) }).ok());
    }
    static HardState hard(uint64_t term) { return { Term { term }, InstanceId("a"), Index { 0 }, false }; }
    static LogEntry entry(uint64_t index, uint64_t term)
    {
        return { Term { term }, Index { index }, EntryKind::Data, "entry " + std::to_string(index) };
    }
};

} // namespace

// Guards against entries or votes that are not found again after a restart.
TEST_CASE("the log is found again", "[consensus]")
{
    Disk disk;
    CHECK(disk.open().hardState.recovering);
    disk.append(1, 10);
    const auto stored = disk.open();
    CHECK(stored.hardState == Disk::hard(1));
    REQUIRE(stored.entries.size() == 10);
    CHECK(stored.entries.back().data == "entry 10");
}
