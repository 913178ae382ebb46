#pragma once

#include "consensus/core.h"
#include "turmericpier/base/metrics.h"

#include <filesystem>

namespace turmericpier::log {
class WalRecord;
}

/// Durable state of one replica: the segments of the write-ahead log and the latest snapshot.
///
/// A record consists of a magic number, a length, a sequence number, a CRC-32C and a WalRecord message. It holds
/// everything that one sync makes durable, so that after a crash only the last record can be incomplete.
namespace turmericpier::consensus {

/// Configuration of a write-ahead log.
struct WalOptions {
    std::filesystem::path folder;
    size_t segmentBytes = 64 * mib; ///< A new segment is started when the current one exceeds this size.
    /// System calls with the semantics of ::write and ::fdatasync; replaceable for tests of disk failures.
    std::function<ssize_t(int file, const char* data, size_t size)> write;
    std::function<int(int file)> sync;
};

/// Reason of the errors of a disk that is full or fails, which may end by itself. Other errors of files, such as a
/// missing permission, have the reason DISK_FAILED.
constexpr const char* diskRefused = "DISK_REFUSED";
/// True if the error is one of writing or reading files and says nothing about the contents of the log.
bool isDiskError(const absl::Status& status);

/// The write-ahead log and the snapshots of one replica. After append(), activateSnapshot() or compact() has failed,
/// all further calls of these methods fail, because the state of the disk is unknown. The log must then be opened
/// again.
class Wal {
public:
    /// Reads the folder, or creates it if it does not exist. An incomplete record at the end of the log is removed and
    /// counted in a metric; any other corruption is an error that names the file and offset. Everything that was read
    /// is durable afterwards, also if an earlier sync of it was refused.
    static absl::StatusOr<std::unique_ptr<Wal>> open(WalOptions options, Metrics& metrics);
    /// Writes, syncs and removes a small file, to find out whether the disk takes writes again.
    static absl::Status checkWritable(WalOptions options, Metrics& metrics);
    ~Wal();
    Wal(const Wal&) = delete;
    Wal& operator=(const Wal&) = delete;

    /// Returns the state read by open(), which may be taken once. `hardState.recovering` is set if the folder was
    /// empty.
    StoredState takeStoredState() { return std::move(m_stored); }

    /// Writes and syncs one record.
    absl::Status append(const HardState& hardState, const std::vector<LogEntry>& entries);
    /// Writes and syncs a snapshot file under a temporary name and renames it. May run on another thread, concurrently
    /// with the other methods.
    absl::Status writeSnapshot(const Snapshot& snapshot) const;
    /// Makes a written snapshot the current one and removes the previous one. With `resetLog`, the log restarts after
    /// the snapshot.
    absl::Status activateSnapshot(Index index, Term term, const HardState& hardState, bool resetLog);
    /// Removes a written snapshot that is older than the current one.
    void discardSnapshot(Index index);
    /// Starts a new segment and removes the segments that contain only entries up to `index`.
    absl::Status compact(Index index, const HardState& hardState);

private:
    struct Segment {
        uint64_t number = 0;
        Index start; ///< Last entry before the segment.
    };

    Wal(WalOptions options, Metrics& metrics);
    absl::Status load();
    absl::Status loadSnapshot(const std::vector<std::filesystem::path>& files);
    absl::Status loadSegment(uint64_t number, bool isLast);
    absl::Status replay(const log::WalRecord& record, const std::filesystem::path& path, size_t offset);
    void countTornRecord(const std::filesystem::path& path, size_t bytes, size_t offset);
    absl::Status replaceFile(const std::filesystem::path& path, std::string_view bytes) const;
    absl::Status reconcileWithSnapshot();
    absl::Status startSegment(const HardState& hardState);
    absl::Status writeSegmentStart(const HardState& hardState);
    absl::Status removeSegments(Index index);
    absl::Status appendRecord(const HardState& hardState, const std::vector<LogEntry>& entries);
    absl::Status writeRecord(const log::WalRecord& record);
    absl::Status writeAll(int file, std::string_view bytes, const std::filesystem::path& path) const;
    absl::Status syncFile(int file, const std::filesystem::path& path) const;
    absl::Status syncFolder() const;
    absl::Status recordFailure(absl::Status status);
    std::filesystem::path segmentPath(uint64_t number) const;
    std::filesystem::path snapshotPath(Index index) const;

    WalOptions m_options;
    Counter& m_tornTails;
    Counter& m_bytesWritten;
    Latency& m_syncLatency;
    absl::Status m_failure; ///< First error of append(), activateSnapshot() or compact().
    StoredState m_stored;
    /// An entry at or below the start of the first segment was replaced, so that the term at the base is not known.
    bool m_baseReplaced = false;
    std::filesystem::path m_snapshotFile;
    std::vector<Segment> m_segments;
    uint64_t m_sequence = 0; ///< Sequence number of the last record.
    Index m_lastIndex;
    Term m_lastTerm;
    int m_file = -1;
    size_t m_fileBytes = 0;
};

} // namespace turmericpier::consensus
