#pragma once

#include "log.pb.h"

#include <absl/status/statusor.h>
#include <filesystem>

/// Implements the files of ledger records that were moved out of memory.
namespace turmericpier::ledger::detail {

/// Reads and writes the segment files in one folder, which are named by their first log index. The contents of a file
/// depend on the log only: all replicas write the same bytes, and writing a segment again after a restart does not
/// change it.
class SegmentFiles {
public:
    explicit SegmentFiles(std::filesystem::path folder)
        : m_folder(std::move(folder))
    {
    }

    /// Returns the index range, count and checksum of the segment with these records, of which there must be at least
    /// one.
    static log::LedgerSegment describe(const log::LedgerSnapshot& records);
    /// Writes the records, syncs the file and its folder, and returns what describe() returns. There must be at least
    /// one record.
    absl::StatusOr<log::LedgerSegment> write(const log::LedgerSnapshot& records) const;
    /// Reads the records of a segment. Fails if the file is missing or does not match the checksum.
    absl::StatusOr<log::LedgerSnapshot> read(const log::LedgerSegment& segment) const;
    /// Returns true if the file exists; does not verify the checksum.
    bool exists(const log::LedgerSegment& segment) const;

private:
    std::filesystem::path pathOf(uint64_t firstIndex) const;

    std::filesystem::path m_folder;
};

} // namespace turmericpier::ledger::detail
