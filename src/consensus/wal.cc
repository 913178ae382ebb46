#include "consensus/wal.h"

#include "consensus/record.h"
#include "turmericpier/base/disk-error.h"
#include "turmericpier/base/error.h"
#include "turmericpier/base/log.h"
#include "wal.pb.h"

#include <absl/cleanup/cleanup.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <algorithm>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <unistd.h>

namespace turmericpier::consensus {

namespace {
    namespace fs = std::filesystem;

    constexpr std::string_view segmentPrefix = "log-";
    constexpr std::string_view snapshotPrefix = "snapshot-";
    constexpr std::string_view temporarySuffix = ".tmp";
    constexpr const char* diskFailed = "DISK_FAILED";
    constexpr size_t probeBytes = 4 * kib;

    absl::Status corruptionError(const fs::path& path, size_t offset, std::string_view what)
    {
        return makeError({ absl::StatusCode::kDataLoss, Outcome::Unknown, "LOG_CORRUPT", "open", path.string() },
            absl::StrCat(path.string(), ": offset ", offset, ": ", absl::string_view(what.data(), what.size())));
    }

    absl::Status diskError(const char* step, const fs::path& path)
    {
        const int number = errno;
        return makeError({ absl::StatusCode::kInternal, Outcome::Unknown,
                             mayDiskRecover(number) ? diskRefused : diskFailed, step, path.string() },
            absl::StrCat(path.string(), ": ", step, " failed: ", std::strerror(number)));
    }

    absl::StatusOr<std::string> readFile(const fs::path& path)
    {
        std::ifstream in(path, std::ios::binary);
        std::string bytes { std::istreambuf_iterator<char>(in), {} };
        if (!in.is_open() || in.bad())
            return corruptionError(path, 0, "the file cannot be read");
        return bytes;
    }

    /// Removes the files that were left by a crash or a refused write before they were renamed.
    void removeTemporaryFiles(const fs::path& folder)
    {
        std::error_code ignored;
        for (const auto& item : fs::directory_iterator(folder)) {
            if (item.path().string().ends_with(temporarySuffix))
                fs::remove(item.path(), ignored);
        }
    }

    std::vector<fs::path> listFiles(const fs::path& folder, std::string_view prefix)
    {
        std::vector<fs::path> files;
        for (const auto& item : fs::directory_iterator(folder)) {
            const auto name = item.path().filename().string();
            if (name.starts_with(prefix) && !name.ends_with(temporarySuffix))
                files.push_back(item.path());
        }
        std::ranges::sort(files); // the fixed width of the numbers makes this their numeric order
        return files;
    }

    uint64_t parseFileNumber(const fs::path& path)
    {
        uint64_t number = 0;
        const auto name = path.filename().string();
        if (!absl::SimpleAtoi(name.substr(name.find('-') + 1), &number))
            return 0;
        return number;
    }

    void toProto(const HardState& state, log::WalHardState& out)
    {
        out.set_term(state.term.value);
        out.set_vote(state.vote.str());
        out.set_commit(state.commit.value);
        out.set_recovering(state.recovering);
        out.set_empty_vote(state.emptyLogVote);
    }
} // namespace

Wal::Wal(WalOptions options, Metrics& metrics)
    : m_options(std::move(options))
    , m_tornTails(metrics.counter("consensus_wal_torn_tails_total"))
    , m_bytesWritten(metrics.counter("consensus_wal_bytes_total"))
    , m_syncLatency(metrics.latency("consensus_wal_sync_seconds"))
{
    if (!m_options.write)
        m_options.write = [](int file, const char* data, size_t size) { return ::write(file, data, size); };
    if (!m_options.sync)
        m_options.sync = [](int file) { return ::fdatasync(file); };
}

Wal::~Wal()
{
    if (m_file >= 0)
        ::close(m_file);
}

bool isDiskError(const absl::Status& status)
{
    const auto reason = detailsOf(status).reason;
    return reason == diskRefused || reason == diskFailed;
}

absl::Status Wal::checkWritable(WalOptions options, Metrics& metrics)
{
    const Wal wal(std::move(options), metrics);
    const auto path = wal.m_options.folder / "probe";
    auto status = wal.replaceFile(path, std::string(probeBytes, '\0'));
    std::error_code ignored;
    fs::remove(path, ignored);
    return status;
}

absl::StatusOr<std::unique_ptr<Wal>> Wal::open(WalOptions options, Metrics& metrics)
{
    std::unique_ptr<Wal> wal(new Wal(std::move(options), metrics));
    if (auto status = wal->load(); !status.ok())
        return status;
    return wal;
}

fs::path Wal::segmentPath(uint64_t number) const { return m_options.folder / absl::StrFormat("log-%020d", number); }

fs::path Wal::snapshotPath(Index index) const
{
    return m_options.folder / absl::StrFormat("snapshot-%020d", index.value);
}

absl::Status Wal::load()
{
    std::error_code error;
    fs::create_directories(m_options.folder, error);
    if (error)
        return diskError("create folder", m_options.folder);
    removeTemporaryFiles(m_options.folder);
    const auto snapshots = listFiles(m_options.folder, snapshotPrefix);
    const auto segments = listFiles(m_options.folder, segmentPrefix);
    m_stored.hardState.recovering = true; // overwritten by the records of the log
    if (auto status = loadSnapshot(snapshots); !status.ok())
        return status;
    for (const auto& path : segments) {
        const auto number = parseFileNumber(path);
        if (!m_segments.empty() && number != m_segments.back().number + 1)
            return corruptionError(
                path, 0, absl::StrCat("segment ", m_segments.back().number + 1, " before it is missing"));
        m_segments.push_back({ number, m_stored.entries.empty() ? m_stored.baseIndex : m_stored.entries.back().index });
        if (auto status = loadSegment(number, path == segments.back()); !status.ok())
            return status;
    }
    if (auto status = reconcileWithSnapshot(); !status.ok())
        return status;
    m_lastIndex = m_stored.entries.empty() ? m_stored.baseIndex : m_stored.entries.back().index;
    m_lastTerm = m_stored.entries.empty() ? m_stored.baseTerm : m_stored.entries.back().term;
    return startSegment(m_stored.hardState);
}

absl::Status Wal::loadSnapshot(const std::vector<fs::path>& files)
{
    if (files.empty())
        return absl::OkStatus();
    m_snapshotFile = files.back();
    std::error_code ignored;
    for (const auto& path : files) {
        if (path != m_snapshotFile) // left by a crash before its removal
            fs::remove(path, ignored);
    }
    const auto bytes = readFile(m_snapshotFile);
    if (!bytes.ok())
        return bytes.status();
    const auto record = detail::readRecord(*bytes, 0);
    log::WalSnapshot proto;
    if (!record || record->size != bytes->size()
        || !proto.ParseFromArray(record->body.data(), static_cast<int>(record->body.size())))
        return corruptionError(m_snapshotFile, 0, "the snapshot is corrupt");
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->index = Index { proto.index() };
    snapshot->term = Term { proto.term() };
    for (const auto& voter : proto.voters())
        snapshot->voters.emplace_back(voter);
    snapshot->data = std::move(*proto.mutable_data());
    m_stored.snapshot = std::move(snapshot);
    return absl::OkStatus();
}

absl::Status Wal::loadSegment(uint64_t number, bool isLast)
{
    const auto path = segmentPath(number);
    const auto bytes = readFile(path);
    if (!bytes.ok())
        return bytes.status();
    size_t offset = 0;
    while (offset < bytes->size()) {
        const auto record = detail::readRecord(*bytes, offset);
        if (!record) {
            const auto later = detail::findRecord(*bytes, offset + 1, m_sequence + 1);
            if (!isLast || later) {
                return corruptionError(path, offset,
                    absl::StrCat("the record is corrupt: record ", m_sequence + 1, " of ", bytes->size(), " bytes, ",
                        isLast ? "last segment, " : "a later segment exists, ",
                        later ? absl::StrCat("an intact record follows at ", *later) : "no intact record follows"));
            }
            countTornRecord(path, bytes->size(), offset);
            break;
        }
        if (m_sequence != 0 && record->sequence != m_sequence + 1)
            return corruptionError(
                path, offset, absl::StrCat("record ", m_sequence + 1, " is missing, found record ", record->sequence));
        m_sequence = record->sequence;
        log::WalRecord proto;
        if (!proto.ParseFromArray(record->body.data(), static_cast<int>(record->body.size())))
            return corruptionError(path, offset, "the record cannot be parsed");
        if (auto status = replay(proto, path, offset); !status.ok())
            return status;
        offset += record->size;
    }
    // The last record may not be on disk, because the process was killed before it synced the file, or because the sync
    // was refused. In the latter case another sync of the same file may succeed without writing anything, so that the
    // segment is written anew. Without this, a power failure could remove what this replica has already read.
    return isLast ? replaceFile(path, std::string_view(*bytes).substr(0, offset)) : absl::OkStatus();
}

absl::Status Wal::replay(const log::WalRecord& record, const fs::path& path, size_t offset)
{
    auto& entries = m_stored.entries;
    const auto last = [&] { return entries.empty() ? m_stored.baseIndex : entries.back().index; };
    if (record.has_start()) {
        const Index start { record.start().index() };
        m_segments.back().start = start;
        const Term term { record.start().term() };
        const auto lastTerm = entries.empty() ? m_stored.baseTerm : entries.back().term;
        if (last() != start || lastTerm != term) {
            entries.clear();
            m_stored.baseIndex = start;
            m_stored.baseTerm = term;
            m_baseReplaced = false;
        }
    }
    const auto& hard = record.hard_state();
    m_stored.hardState = { Term { hard.term() }, InstanceId(hard.vote()), Index { hard.commit() }, hard.recovering(),
        hard.empty_vote() };
    for (const auto& proto : record.entries()) {
        LogEntry entry { Term { proto.term() }, Index { proto.index() }, static_cast<EntryKind>(proto.kind()),
            proto.data() };
        if (entry.index > last().next() || entry.index == Index {})
            return corruptionError(path, offset, absl::StrCat("entry ", entry.index.value, " follows ", last().value));
        if (entry.index <= m_stored.baseIndex) {
            // The entry replaces one of a segment that was removed. A snapshot that covers it must exist, which is
            // checked after the last segment.
            entries.clear();
            m_stored.baseIndex = Index { entry.index.value - 1 };
            m_baseReplaced = true;
        }
        entries.resize(entry.index.value - m_stored.baseIndex.value - 1);
        entries.push_back(std::move(entry));
    }
    return absl::OkStatus();
}

void Wal::countTornRecord(const fs::path& path, size_t bytes, size_t offset)
{
    m_tornTails.increment();
    logState("consensus", "truncated an incomplete record at the end of the log",
        { { "file", path.string() }, { "offset", std::to_string(offset) },
            { "bytes", std::to_string(bytes - offset) } });
}

absl::Status Wal::reconcileWithSnapshot()
{
    if (!m_stored.snapshot && m_baseReplaced) {
        return corruptionError(segmentPath(m_segments.front().number), 0,
            absl::StrCat(
                "entry ", m_stored.baseIndex.value + 1, " replaces one before the log, and there is no snapshot"));
    }
    if (!m_stored.snapshot)
        return absl::OkStatus();
    const auto& snapshot = *m_stored.snapshot;
    auto& entries = m_stored.entries;
    if (m_stored.baseIndex > snapshot.index)
        return corruptionError(m_snapshotFile, 0,
            absl::StrCat("the log starts after entry ", m_stored.baseIndex.value, ", the snapshot ends at ",
                snapshot.index.value));
    const auto position = snapshot.index.value - m_stored.baseIndex.value;
    const bool matches = position == 0 ? m_stored.baseTerm == snapshot.term
                                       : position <= entries.size() && entries[position - 1].term == snapshot.term;
    if (!matches) // a crash occurred after the snapshot was installed and before the log was reset
        entries.clear();
    else if (m_baseReplaced) // the term of the entry at the base is not known
        entries.erase(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(position));
    if (!matches || m_baseReplaced) {
        m_stored.baseIndex = snapshot.index;
        m_stored.baseTerm = snapshot.term;
    }
    return absl::OkStatus();
}

absl::Status Wal::startSegment(const HardState& hardState)
{
    if (m_file >= 0)
        ::close(m_file);
    const auto number = m_segments.empty() ? 1 : m_segments.back().number + 1;
    const auto path = segmentPath(number);
    m_file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_APPEND | O_CLOEXEC, 0644);
    if (m_file < 0)
        return diskError("create", path);
    m_fileBytes = 0;
    m_segments.push_back({ number, m_lastIndex });
    auto status = writeSegmentStart(hardState);
    if (!status.ok())
        ::unlink(path.c_str()); // Each later try to open the log would leave another segment.
    return status;
}

absl::Status Wal::writeSegmentStart(const HardState& hardState)
{
    log::WalRecord record;
    record.mutable_start()->set_index(m_lastIndex.value);
    record.mutable_start()->set_term(m_lastTerm.value);
    toProto(hardState, *record.mutable_hard_state());
    if (auto status = writeRecord(record); !status.ok())
        return status;
    return syncFolder();
}

absl::Status Wal::append(const HardState& hardState, const std::vector<LogEntry>& entries)
{
    if (!m_failure.ok())
        return m_failure;
    return recordFailure(appendRecord(hardState, entries));
}

absl::Status Wal::appendRecord(const HardState& hardState, const std::vector<LogEntry>& entries)
{
    if (m_fileBytes > m_options.segmentBytes) {
        if (auto status = startSegment(hardState); !status.ok())
            return status;
    }
    log::WalRecord record;
    toProto(hardState, *record.mutable_hard_state());
    for (const auto& entry : entries) {
        auto& proto = *record.add_entries();
        proto.set_term(entry.term.value);
        proto.set_index(entry.index.value);
        proto.set_kind(static_cast<uint32_t>(entry.kind));
        proto.set_data(entry.data);
    }
    if (!entries.empty()) {
        m_lastIndex = entries.back().index;
        m_lastTerm = entries.back().term;
    }
    return writeRecord(record);
}

absl::Status Wal::writeRecord(const log::WalRecord& record)
{
    const auto bytes = detail::frameRecord(++m_sequence, record.SerializeAsString());
    const auto path = segmentPath(m_segments.back().number);
    if (auto status = writeAll(m_file, bytes, path); !status.ok())
        return status;
    m_fileBytes += bytes.size();
    return syncFile(m_file, path);
}

absl::Status Wal::writeSnapshot(const Snapshot& snapshot) const
{
    log::WalSnapshot proto;
    proto.set_index(snapshot.index.value);
    proto.set_term(snapshot.term.value);
    for (const auto& voter : snapshot.voters)
        proto.add_voters(voter.str());
    proto.set_data(snapshot.data);
    return replaceFile(
        snapshotPath(snapshot.index), detail::frameRecord(snapshot.index.value, proto.SerializeAsString()));
}

/// Writes and syncs a file under a temporary name and renames it.
absl::Status Wal::replaceFile(const fs::path& path, std::string_view bytes) const
{
    auto temporary = path;
    temporary += temporarySuffix;
    const int file = ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
    if (file < 0)
        return diskError("create", temporary);
    const absl::Cleanup close = [file] { ::close(file); };
    auto status = writeAll(file, bytes, temporary);
    if (status.ok())
        status = syncFile(file, temporary);
    if (status.ok() && ::rename(temporary.c_str(), path.c_str()) != 0)
        status = diskError("rename", temporary);
    if (status.ok())
        return syncFolder();
    ::unlink(temporary.c_str()); // A full disk needs the space.
    return status;
}

absl::Status Wal::activateSnapshot(Index index, Term term, const HardState& hardState, bool resetLog)
{
    if (!m_failure.ok())
        return m_failure;
    std::error_code ignored;
    const auto path = snapshotPath(index);
    if (!m_snapshotFile.empty() && m_snapshotFile != path)
        fs::remove(m_snapshotFile, ignored);
    m_snapshotFile = path;
    if (!resetLog)
        return absl::OkStatus();
    m_lastIndex = index;
    m_lastTerm = term;
    return compact(index, hardState);
}

void Wal::discardSnapshot(Index index)
{
    std::error_code ignored;
    fs::remove(snapshotPath(index), ignored);
}

absl::Status Wal::compact(Index index, const HardState& hardState)
{
    if (!m_failure.ok())
        return m_failure;
    auto status = startSegment(hardState);
    return recordFailure(status.ok() ? removeSegments(index) : status);
}

absl::Status Wal::removeSegments(Index index)
{
    while (m_segments.size() > 1 && m_segments[1].start <= index) {
        std::error_code ignored;
        fs::remove(segmentPath(m_segments.front().number), ignored);
        m_segments.erase(m_segments.begin());
        // Syncs the folder after each removal, so that after a crash no earlier segment outlives a later one.
        if (auto status = syncFolder(); !status.ok())
            return status;
    }
    return absl::OkStatus();
}

absl::Status Wal::writeAll(int file, std::string_view bytes, const fs::path& path) const
{
    m_bytesWritten.increment(bytes.size());
    while (!bytes.empty()) {
        const auto written = m_options.write(file, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR)
            continue;
        if (written <= 0)
            return diskError("write", path);
        bytes.remove_prefix(static_cast<size_t>(written));
    }
    return absl::OkStatus();
}

absl::Status Wal::syncFile(int file, const fs::path& path) const
{
    const SteadyClock clock;
    const auto start = clock.now();
    if (m_options.sync(file) != 0)
        return diskError("sync", path);
    m_syncLatency.record(clock.now() - start);
    return absl::OkStatus();
}

absl::Status Wal::syncFolder() const
{
    const int folder = ::open(m_options.folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (folder < 0)
        return diskError("open", m_options.folder);
    const absl::Cleanup close = [folder] { ::close(folder); };
    if (::fsync(folder) != 0)
        return diskError("sync", m_options.folder);
    return absl::OkStatus();
}

absl::Status Wal::recordFailure(absl::Status status)
{
    if (!status.ok())
        m_failure = status;
    return status;
}

} // namespace turmericpier::consensus
