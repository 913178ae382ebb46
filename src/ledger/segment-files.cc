#include "ledger/segment-files.h"

#include "turmericpier/base/error.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <unistd.h>
#include <xxhash.h>

namespace turmericpier::ledger::detail {

namespace {
    absl::Status fileError(const std::filesystem::path& path, const std::string& step, const std::string& message)
    {
        return makeError({ absl::StatusCode::kDataLoss, Outcome::Unknown, "SEGMENT_FILE", step, path.string() },
            absl::StrCat(path.string(), ": ", message));
    }

    /// Owns a file descriptor.
    class Descriptor {
    public:
        Descriptor(const std::filesystem::path& path, int flags)
            : m_value(::open(path.c_str(), flags | O_CLOEXEC, 0644))
        {
        }
        ~Descriptor()
        {
            if (m_value >= 0)
                ::close(m_value);
        }
        Descriptor(const Descriptor&) = delete;
        Descriptor& operator=(const Descriptor&) = delete;

        bool writeAndSync(const std::string& bytes) const
        {
            if (m_value < 0)
                return false;
            for (size_t offset = 0; offset < bytes.size();) {
                const auto written = ::write(m_value, bytes.data() + offset, bytes.size() - offset);
                if (written < 0 && errno != EINTR)
                    return false;
                offset += written < 0 ? 0 : static_cast<size_t>(written);
            }
            return ::fsync(m_value) == 0;
        }

    private:
        int m_value;
    };

    log::LedgerSegment metadataOf(const log::LedgerSnapshot& records, const std::string& bytes)
    {
        log::LedgerSegment segment;
        segment.set_first_index(records.outcomes(0).index());
        segment.set_last_index(records.outcomes(records.outcomes_size() - 1).index());
        segment.set_count(static_cast<uint64_t>(records.outcomes_size()));
        segment.set_checksum(XXH3_64bits(bytes.data(), bytes.size()));
        return segment;
    }
} // namespace

std::filesystem::path SegmentFiles::pathOf(uint64_t firstIndex) const
{
    return m_folder / absl::StrFormat("segment-%020d.ledger", firstIndex);
}

log::LedgerSegment SegmentFiles::describe(const log::LedgerSnapshot& records)
{
    return metadataOf(records, records.SerializeAsString());
}

absl::StatusOr<log::LedgerSegment> SegmentFiles::write(const log::LedgerSnapshot& records) const
{
    const std::string bytes = records.SerializeAsString();
    const auto segment = metadataOf(records, bytes);
    const auto path = pathOf(segment.first_index());
    auto temporary = path;
    temporary += ".tmp";
    std::error_code ignored; // If the folder cannot be created, opening the file fails.
    std::filesystem::create_directories(m_folder, ignored);
    if (!Descriptor(temporary, O_WRONLY | O_CREAT | O_TRUNC).writeAndSync(bytes)
        || ::rename(temporary.c_str(), path.c_str()) != 0
        || !Descriptor(m_folder, O_RDONLY | O_DIRECTORY).writeAndSync({}))
        return fileError(path, "write ledger segment", std::strerror(errno)); // NOLINT(concurrency-mt-unsafe)
    return segment;
}

absl::StatusOr<log::LedgerSnapshot> SegmentFiles::read(const log::LedgerSegment& segment) const
{
    const auto path = pathOf(segment.first_index());
    std::ifstream in(path, std::ios::binary);
    const std::string bytes { std::istreambuf_iterator<char>(in), {} };
    log::LedgerSnapshot records;
    if (XXH3_64bits(bytes.data(), bytes.size()) != segment.checksum() || !records.ParseFromString(bytes))
        return fileError(path, "read ledger segment",
            absl::StrCat(bytes.size(), " bytes do not match the checksum of the snapshot"));
    return records;
}

bool SegmentFiles::exists(const log::LedgerSegment& segment) const
{
    std::error_code ignored;
    return std::filesystem::exists(pathOf(segment.first_index()), ignored);
}

} // namespace turmericpier::ledger::detail
