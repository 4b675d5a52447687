#include "timeline/BoundedWriter.h"

#include <algorithm>
#include <poll.h>
#include <unistd.h>

namespace sequoia::timeline {

namespace {

// A descriptor that polls as writable accepts at least this many bytes without blocking (PIPE_BUF). It is not set to
// O_NONBLOCK, because another process may share it.
constexpr std::size_t maxNonBlockingWrite = 4096;

}

BoundedWriter::BoundedWriter(int target, std::size_t limit)
    : descriptor(target)
    , bufferLimit(limit)
{
}

void BoundedWriter::write(std::string_view line)
{
    this->flush();
    if (this->pending.size() + line.size() > this->bufferLimit) {
        ++this->dropped;
        return;
    }
    if (this->dropped > this->reported) {
        this->pending += "severity=warn event=log_lines_dropped count=" + std::to_string(this->dropped - this->reported)
            + " reason=\"the log reader does not keep up with the log lines\"\n";
        this->reported = this->dropped;
    }
    this->pending.append(line);
    this->flush();
}

void BoundedWriter::flush()
{
    while (!this->pending.empty() && this->writeSome()) { }
}

bool BoundedWriter::writeSome()
{
    pollfd entry { this->descriptor, POLLOUT, 0 };
    if (poll(&entry, 1, 0) != 1 || !(entry.revents & POLLOUT))
        return false;
    ssize_t count
        = ::write(this->descriptor, this->pending.data(), std::min(this->pending.size(), maxNonBlockingWrite));
    if (count <= 0)
        return false;
    this->pending.erase(0, static_cast<std::size_t>(count));
    return true;
}

}
