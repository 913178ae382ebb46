#pragma once

#include "turmericpier/base/metrics.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace turmericpier {

/// Limit on the memory that one kind of data, such as requests that are being read, takes in a process. Each holder of
/// such data reserves what it is about to take:
///
///     auto share = std::make_shared<MemoryShare>("requests", 40U << 20U, metrics);
///     MemoryReservation body(share, "10.0.0.7");
///     if (!body.tryResize(65'536))
///         refuse();
///
/// Publishes `memory_NAME_bytes` and `memory_NAME_refused_total`. Must be used on one thread only.
class MemoryShare {
public:
    MemoryShare(std::string_view name, size_t limit, Metrics& metrics);

    size_t limit() const { return m_limit; }
    size_t used() const { return m_used; }
    /// The most that the holders of one source, such as the address of a caller, may take together: half of the share,
    /// so that one source cannot take it from all others.
    size_t limitPerSource() const { return m_limit / 2; }
    /// Counts and logs that data of `source` was refused while a holder had `held` bytes and asked for `wanted`.
    void recordRefusal(std::string_view source, size_t held, size_t wanted);

private:
    friend class MemoryReservation;
    bool tryResize(const std::string& source, size_t from, size_t to);
    size_t usedBy(const std::string& source) const;

    const std::string m_name;
    const size_t m_limit;
    Gauge& m_usedGauge;
    Counter& m_refused;
    size_t m_used = 0;
    std::map<std::string, size_t> m_usedBySource; ///< Only sources that hold something.
};

/// The memory that one holder has reserved in a share; given back on destruction.
class MemoryReservation {
public:
    MemoryReservation() = default; ///< Reserves nothing and has no limit.
    MemoryReservation(std::shared_ptr<MemoryShare> share, std::string source);
    ~MemoryReservation();
    MemoryReservation(MemoryReservation&& other) noexcept;
    MemoryReservation& operator=(MemoryReservation&& other) noexcept;

    /// Changes the reserved size. Returns false and changes nothing if the share or the part of the source does not
    /// allow it. A smaller size is always allowed.
    bool tryResize(size_t bytes);
    size_t size() const { return m_size; }
    /// Returns true if the part of the source does not allow this size, whatever other sources hold.
    bool isSourceFull(size_t bytes) const;
    const std::string& source() const { return m_source; }

private:
    std::shared_ptr<MemoryShare> m_share;
    std::string m_source;
    size_t m_size = 0;
};

/// Chooses which of several holders gives up its memory so that another one can grow to a size: the one that holds
/// most, if that is more than this size.
///
///     LargestHolder search(wanting, bytes);
///     for (auto& other : others) {
///         if (search.consider(other.memory))
///             chosen = &other;
///     }
class LargestHolder {
public:
    LargestHolder(const MemoryReservation& wanting, size_t bytes);

    /// Returns true if memory of the other holder helps. Where the part of the source is full, only holders of the same
    /// source help.
    bool helps(const MemoryReservation& other) const;
    /// Returns true if the other holder helps and holds more than all that were considered before.
    bool consider(const MemoryReservation& other);

private:
    const std::string& m_source;
    const bool m_isSourceFull;
    size_t m_largest;
};

} // namespace turmericpier
