#include "ledger/record-store.h"

#include "turmericpier/base/error.h"
#include "turmericpier/base/log.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <array>
#include <cstring>
#include <google/protobuf/io/coded_stream.h>
#include <xxhash.h>

namespace turmericpier::ledger::detail {

using google::protobuf::io::CodedInputStream;
using google::protobuf::io::CodedOutputStream;
using rpc::LedgerRecord;

namespace {
    constexpr size_t maxPrefixSize = 90; // Nine varints of up to 10 bytes precede the request id.
    constexpr uint64_t outcomeBits = 3;

    uint64_t hashOf(const std::string& text, uint64_t seed)
    {
        return XXH3_64bits_withSeed(text.data(), text.size(), seed);
    }
} // namespace

uint32_t Interner::intern(const std::string& text)
{
    const auto [found, isNew] = m_numbers.try_emplace(text, static_cast<uint32_t>(m_texts.size()));
    if (isNew)
        m_texts.push_back(&m_storage.emplace_back(text));
    return found->second;
}

uint64_t digestOf(const std::string& partner, const std::string& homeRegion, const std::string& requestId)
{
    return hashOf(requestId, hashOf(homeRegion, hashOf(partner, 0))) & ~outcomeBits;
}

RecordStore::RecordStore(LedgerOptions options)
    : m_options(std::move(options))
    , m_files(m_options.folder)
    , m_byDigest(0, HashByDigest { &m_digests }, EqualByDigest { &m_digests })
{
}

/// Returns the segment that takes the next record. A segment ends at the first change of index after recordsPerSegment
/// records.
RecordStore::Segment& RecordStore::segmentFor(uint64_t index)
{
    if (!m_segments.empty()) {
        auto& last = m_segments.back();
        const bool isSealed = m_sealed == m_segments.size();
        if (!isSealed && (last.metadata.count() < m_options.recordsPerSegment || last.metadata.last_index() == index))
            return last;
        last.bytes.shrink_to_fit();
    }
    auto& segment = m_segments.emplace_back();
    segment.firstNumber = m_size;
    segment.metadata.set_first_index(index);
    segment.ends.reserve(m_options.recordsPerSegment);
    return segment;
}

void RecordStore::append(uint64_t digest, const LedgerRecord& record)
{
    auto& segment = segmentFor(record.index());
    std::array<uint8_t, maxPrefixSize> prefix {};
    auto* out = prefix.data();
    const auto put = [&](uint64_t value) { out = CodedOutputStream::WriteVarint64ToArray(value, out); };
    put(record.index() - segment.metadata.first_index());
    put(m_names.intern(record.partner()));
    put(m_names.intern(record.home_region()));
    put(m_names.intern(record.service()));
    put(m_names.intern(record.worker()));
    put(m_names.intern(record.reason()));
    put(record.attempts());
    put(static_cast<uint32_t>(record.outcome()));
    put(record.job() ? 1 : 0);
    segment.bytes.append(reinterpret_cast<const char*>(prefix.data()), static_cast<size_t>(out - prefix.data()));
    segment.bytes.append(record.request_id());
    segment.ends.push_back(static_cast<uint32_t>(segment.bytes.size()));
    segment.metadata.set_last_index(record.index());
    segment.metadata.set_count(segment.metadata.count() + 1);
    addDigest(digest | (static_cast<uint64_t>(record.outcome()) & outcomeBits));
    ++m_size;
}

void RecordStore::addDigest(uint64_t digestWithOutcome)
{
    m_digests.values.push_back(digestWithOutcome);
    m_byDigest.insert(static_cast<uint32_t>(m_digests.first + m_digests.values.size() - 1));
    const bool isBounded = !m_options.folder.empty();
    if (!isBounded || m_digests.values.size() <= m_options.maxDigests)
        return;
    m_byDigest.erase(static_cast<uint32_t>(m_digests.first));
    m_digests.values.pop_front();
    ++m_digests.first;
}

void RecordStore::seal()
{
    if (m_options.folder.empty() || m_segments.size() == m_segmentsAtFailedSeal)
        return;
    // The last segment is still being appended to.
    while (m_segments.size() - m_sealed > m_options.segmentsInMemory + 1) {
        auto& segment = m_segments[m_sealed];
        const auto metadata = m_files.write(recordsOf(segment));
        if (!metadata.ok()) {
            // The records stay in memory, and sealing is retried with the next segment.
            m_segmentsAtFailedSeal = m_segments.size();
            logError("ledger", "failed to write segment", { { "message", std::string(metadata.status().message()) } });
            return;
        }
        segment.metadata = *metadata;
        std::string().swap(segment.bytes); // Assigning an empty string would keep the buffer.
        segment.ends = std::vector<uint32_t>();
        ++m_sealed;
    }
}

std::optional<uint64_t> RecordStore::find(uint64_t digest) const
{
    const auto found = m_byDigest.find(digest);
    if (found == m_byDigest.end())
        return std::nullopt;
    return m_digests.first + (*found - static_cast<uint32_t>(m_digests.first));
}

rpc::Outcome RecordStore::outcomeOf(uint64_t number) const
{
    return static_cast<rpc::Outcome>(m_digests.values[number - m_digests.first] & outcomeBits);
}

bool RecordStore::isInMemory(uint64_t number) const
{
    return m_sealed < m_segments.size() && number >= m_segments[m_sealed].firstNumber;
}

const RecordStore::Segment& RecordStore::segmentOf(uint64_t number) const
{
    const auto next = std::ranges::upper_bound(m_segments, number, {}, &Segment::firstNumber);
    return *std::prev(next);
}

LedgerRecord RecordStore::at(uint64_t number) const
{
    const auto& segment = segmentOf(number);
    return decode(segment, number - segment.firstNumber);
}

std::optional<LedgerRecord> RecordStore::load(uint64_t number) const
{
    if (isInMemory(number))
        return at(number);
    const auto& segment = segmentOf(number);
    const auto* records = loadSegment(segment);
    if (!records)
        return std::nullopt;
    return records->outcomes(static_cast<int>(number - segment.firstNumber));
}

LedgerRecord RecordStore::decode(const Segment& segment, size_t position) const
{
    const uint32_t begin = position == 0 ? 0 : segment.ends[position - 1];
    const auto size = static_cast<int>(segment.ends[position] - begin);
    CodedInputStream in(reinterpret_cast<const uint8_t*>(segment.bytes.data()) + begin, size);
    const auto get = [&] {
        uint64_t value = 0;
        in.ReadVarint64(&value);
        return value;
    };
    const auto getName = [&] { return m_names.textOf(static_cast<uint32_t>(get())); };
    LedgerRecord record;
    record.set_index(segment.metadata.first_index() + get());
    record.set_partner(getName());
    record.set_home_region(getName());
    record.set_service(getName());
    record.set_worker(getName());
    record.set_reason(getName());
    record.set_attempts(static_cast<uint32_t>(get()));
    record.set_outcome(static_cast<rpc::Outcome>(get()));
    record.set_job(get() != 0);
    in.ReadString(record.mutable_request_id(), size - in.CurrentPosition());
    return record;
}

log::LedgerSnapshot RecordStore::recordsOf(const Segment& segment) const
{
    log::LedgerSnapshot records;
    for (size_t position = 0; position < segment.ends.size(); ++position)
        *records.add_outcomes() = decode(segment, position);
    return records;
}

const log::LedgerSnapshot* RecordStore::loadSegment(const Segment& segment) const
{
    if (segment.isMissing)
        return nullptr;
    if (m_loadedFirstIndex == segment.metadata.first_index())
        return &m_loaded;
    auto records = m_files.read(segment.metadata);
    if (!records.ok()) {
        segment.isMissing = true;
        logError("ledger", "failed to read segment", { { "message", std::string(records.status().message()) } });
        return nullptr;
    }
    m_loaded = *std::move(records);
    m_loadedFirstIndex = segment.metadata.first_index();
    return &m_loaded;
}

void RecordStore::visitAfter(Index index, const std::function<bool(const LedgerRecord&)>& visit) const
{
    auto segment = std::ranges::upper_bound(
        m_segments, index.value, {}, [](const Segment& s) { return s.metadata.last_index(); });
    for (; segment != m_segments.end(); ++segment) {
        const bool isSealed = static_cast<size_t>(segment - m_segments.begin()) < m_sealed;
        const auto* records = isSealed ? loadSegment(*segment) : nullptr;
        if (isSealed && !records)
            return;
        const auto at = [&](size_t position) {
            return isSealed ? records->outcomes(static_cast<int>(position)) : decode(*segment, position);
        };
        const size_t count = segment->metadata.count();
        size_t position = 0;
        for (size_t end = count; position < end;) {
            const size_t middle = position + (end - position) / 2;
            if (at(middle).index() > index.value)
                end = middle;
            else
                position = middle + 1;
        }
        for (; position < count; ++position) {
            if (!visit(at(position)))
                return;
        }
    }
}

size_t RecordStore::missingSegments() const
{
    return static_cast<size_t>(std::ranges::count(m_segments, true, &Segment::isMissing));
}

void RecordStore::writeTo(log::LedgerSnapshot& snapshot) const
{
    uint64_t sealedRecords = 0;
    for (size_t i = 0; i < m_segments.size(); ++i) {
        if (i < m_sealed) {
            *snapshot.add_segments() = m_segments[i].metadata;
            sealedRecords += m_segments[i].metadata.count();
            continue;
        }
        for (size_t position = 0; position < m_segments[i].ends.size(); ++position)
            *snapshot.add_outcomes() = decode(m_segments[i], position);
    }
    // readFrom() recomputes the digests of records in memory.
    for (uint64_t number = m_digests.first; number < sealedRecords; ++number) {
        const uint64_t digest = m_digests.values[number - m_digests.first];
        snapshot.mutable_digests()->append(reinterpret_cast<const char*>(&digest), sizeof digest);
    }
}

absl::Status RecordStore::readFrom(const log::LedgerSnapshot& snapshot)
{
    for (const auto& metadata : snapshot.segments()) {
        auto& segment = m_segments.emplace_back();
        segment.firstNumber = m_size;
        segment.metadata = metadata;
        segment.isMissing = !m_files.exists(metadata);
        m_size += metadata.count();
    }
    m_sealed = m_segments.size();
    const std::string& digests = snapshot.digests();
    const size_t count = digests.size() / sizeof(uint64_t);
    if (digests.size() % sizeof(uint64_t) != 0 || count > m_size)
        return absl::DataLossError(
            absl::StrCat("ledger snapshot has ", digests.size(), " bytes of digests for ", m_size, " records"));
    m_digests.first = m_size - count;
    m_byDigest.reserve(count + static_cast<size_t>(snapshot.outcomes_size()));
    for (size_t i = 0; i < count; ++i) {
        uint64_t digest = 0;
        std::memcpy(&digest, digests.data() + i * sizeof digest, sizeof digest);
        addDigest(digest);
    }
    for (const auto& record : snapshot.outcomes())
        append(digestOf(record.partner(), record.home_region(), record.request_id()), record);
    return absl::OkStatus();
}

const RecordStore::Segment* RecordStore::firstMissing() const
{
    const auto found = std::ranges::find(m_segments, true, &Segment::isMissing);
    return found == m_segments.end() ? nullptr : &*found;
}

std::optional<Index> RecordStore::missingAfter() const
{
    const auto* missing = firstMissing();
    if (!missing)
        return std::nullopt;
    const uint64_t first = missing->metadata.first_index();
    const int received = m_backfill.outcomes_size();
    // A page contains all records of its last index.
    const bool isStarted = received > 0 && m_backfill.outcomes(0).index() == first;
    return Index { isStarted ? m_backfill.outcomes(received - 1).index() : first - 1 };
}

absl::Status RecordStore::backfill(const log::LedgerResults& page)
{
    const auto resume = missingAfter();
    for (const auto& result : page.results()) {
        const auto* missing = firstMissing();
        if (!missing)
            break;
        const auto& record = result.outcome();
        const auto& metadata = missing->metadata;
        if (record.index() <= resume->value || record.index() < metadata.first_index())
            continue;
        // Discards records of a later segment, received before this one was found to be missing.
        if (m_backfill.outcomes_size() > 0 && m_backfill.outcomes(0).index() != metadata.first_index())
            m_backfill.Clear();
        *m_backfill.add_outcomes() = record;
        if (record.index() <= metadata.last_index()
            && static_cast<uint64_t>(m_backfill.outcomes_size()) < metadata.count())
            continue;
        if (auto status = writeBackfilled(*missing); !status.ok())
            return status;
        missing->isMissing = false;
    }
    return absl::OkStatus();
}

absl::Status RecordStore::writeBackfilled(const Segment& segment)
{
    const auto records = std::exchange(m_backfill, {});
    const auto& metadata = segment.metadata;
    if (SegmentFiles::describe(records).SerializeAsString() != metadata.SerializeAsString())
        return makeError({ absl::StatusCode::kDataLoss, Outcome::Unknown, "SEGMENT_DIFFERS", "fill ledger segment",
                             absl::StrCat(metadata.first_index()) },
            absl::StrCat("received records from index ", metadata.first_index(), " to ", metadata.last_index(),
                " do not match the checksum of the snapshot"));
    return m_files.write(records).status();
}

} // namespace turmericpier::ledger::detail
