#pragma once

#include "consensus/core.h"
#include "turmericpier/base/metrics.h"

#include <filesystem>

namespace turmericpier::log {
class WalRecord;
}

/// Durable part of one replica: segments of the write-ahead log and the latest snapshot.
///
/// A record is a magic number, length, sequence number, CRC-32C and a WalRecord message. One record holds all that is
/// made durable by one sync, so that after a crash only the last record can be incomplete.
namespace turmericpier::consensus {

struct WalOptions {
    std::filesystem::path folder;
    size_t segmentBytes = 64 * mib; ///< A new file is started when this is exceeded.
    /// Writes and syncs; tests replace them to make the disk fail. They return as ::write and ::fdatasync do.
    std::function<ssize_t(int file, const char* data, size_t size)> write;
    std::function<int(int file)> sync;
};

/// After a failed write or sync every call fails: what the disk holds is not known any more.
class Wal {
public:
    /// Reads the folder, creating it if needed. Cuts an incomplete record off the end of the log and counts it; any
    /// other damage is an error that names the file and offset.
    static absl::StatusOr<std::unique_ptr<Wal>> open(WalOptions options, Metrics& metrics);
    ~Wal();
    Wal(const Wal&) = delete;
    Wal& operator=(const Wal&) = delete;

    /// What was found by open(); `hardState.recovering` is set if the folder was empty.
    StoredState takeStored() { return std::move(m_stored); }

    /// Writes and syncs one record.
    absl::Status append(const HardState& hardState, const std::vector<LogEntry>& entries);
    /// Writes, syncs and renames a snapshot file. May run on another thread beside the other methods.
    absl::Status writeSnapshot(const Snapshot& snapshot) const;
    /// Makes a snapshot that was written the one in force and removes the one before it. With `resetLog` the log
    /// restarts after the snapshot.
    absl::Status adoptSnapshot(Index index, Term term, const HardState& hardState, bool resetLog);
    /// Removes a snapshot that was written but is older than the one in force.
    void discardSnapshot(Index index);
    /// Starts a new segment and removes those that hold only entries up to `index`.
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
    absl::Status syncSegment(const std::filesystem::path& path) const;
    absl::Status cutTail(const std::filesystem::path& path, const std::string& bytes, size_t offset);
    absl::Status reconcileWithSnapshot();
    absl::Status startSegment(const HardState& hardState);
    absl::Status removeSegments(Index index);
    absl::Status appendRecord(const HardState& hardState, const std::vector<LogEntry>& entries);
    absl::Status writeRecord(const log::WalRecord& record);
    absl::Status writeAll(int file, std::string_view bytes, const std::filesystem::path& path) const;
    absl::Status syncFile(int file, const std::filesystem::path& path) const;
    absl::Status syncFolder() const;
    absl::Status remember(absl::Status status);
    std::filesystem::path segmentPath(uint64_t number) const;
    std::filesystem::path snapshotPath(Index index) const;

    const WalOptions m_options;
    Counter& m_tornTails;
    Counter& m_bytesWritten;
    Latency& m_syncLatency;
    absl::Status m_failed; ///< The first failure of the disk.
    StoredState m_stored;
    std::filesystem::path m_snapshotFile;
    std::vector<Segment> m_segments;
    uint64_t m_sequence = 0; ///< Of the last record.
    Index m_last;
    Term m_lastTerm;
    int m_file = -1;
    size_t m_fileBytes = 0;
};

} // namespace turmericpier::consensus
