#include "RecordWriter.h"

#include "Jitter.h"

#include <cassert>
#include <google/protobuf/util/message_differencer.h>

namespace sequoia::lease {

namespace {

using namespace std::chrono_literals;

constexpr Duration firstBackoff = 50ms;
constexpr Duration maxBackoff = 2s;
// An attempt without any answer for this long is repeated; the table client's own timeout is shorter.
constexpr Duration attemptTimeout = 3s;

}

RecordWriter::RecordWriter(RandomEngine& random)
    : random(random)
{
}

WriteRecord RecordWriter::begin(wire::PartitionRecord content, std::uint64_t expectedVersion, TimePoint now)
{
    assert(!this->pending);
    this->pending = Pending { std::move(content), expectedVersion, this->lastId + 1, now, firstBackoff };
    return this->attempt(now);
}

std::optional<std::uint64_t> RecordWriter::onWritten(const RecordWritten& message, TimePoint now, bool& readNeeded)
{
    readNeeded = false;
    if (!this->pending || message.writeId < this->pending->firstId)
        return std::nullopt;
    if (succeeded(message.version))
        return valueOf(message.version);
    auto kind = errorOf(message.version).kind;
    // A conflict can be caused by an earlier attempt that took effect.
    readNeeded = kind == ErrorKind::Conflict || kind == ErrorKind::OutcomeUnknown;
    auto& write = *this->pending;
    write.nextAttempt = now + randomBetween(this->random, write.backoff / 2, write.backoff);
    write.backoff = std::min(write.backoff * 2, maxBackoff);
    return std::nullopt;
}

RecordWriter::Verdict RecordWriter::onRow(const VersionedRecord& row)
{
    if (!this->pending || row.version <= this->pending->expectedVersion)
        return Verdict::Unsettled;
    bool isOurs = google::protobuf::util::MessageDifferencer::Equals(row.record, this->pending->content);
    this->pending.reset();
    return isOurs ? Verdict::Applied : Verdict::Superseded;
}

std::optional<WriteRecord> RecordWriter::repeatIfDue(TimePoint now)
{
    if (!this->pending || now < this->pending->nextAttempt)
        return std::nullopt;
    return this->attempt(now);
}

WriteRecord RecordWriter::attempt(TimePoint now)
{
    auto& write = *this->pending;
    write.nextAttempt = now + attemptTimeout;
    return WriteRecord { ++this->lastId, write.content, write.expectedVersion };
}

}
