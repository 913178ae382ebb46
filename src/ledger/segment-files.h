#pragma once

#include "log.pb.h"

#include <absl/status/statusor.h>
#include <filesystem>

/// Files of ledger records that no longer fit into memory.
namespace turmericpier::ledger::detail {

/// Segment files in one folder, named by their first log index. A file's bytes follow from the log alone, so that all
/// replicas write the same ones, and a segment that is written again after a restart does not change.
class SegmentFiles {
public:
    explicit SegmentFiles(std::filesystem::path folder)
        : m_folder(std::move(folder))
    {
    }

    /// The facts of the segment with these records, of which there must be at least one.
    static log::LedgerSegment describe(const log::LedgerSnapshot& records);
    /// Writes the records durably and returns the segment's facts.
    absl::StatusOr<log::LedgerSegment> write(const log::LedgerSnapshot& records) const;
    /// Fails if the file is missing or its bytes do not match the checksum.
    absl::StatusOr<log::LedgerSnapshot> read(const log::LedgerSegment& segment) const;
    bool exists(const log::LedgerSegment& segment) const;

private:
    std::filesystem::path pathOf(uint64_t firstIndex) const;

    std::filesystem::path m_folder;
};

} // namespace turmericpier::ledger::detail
