#include "timeline/BoundedWriter.h"

#include <algorithm>
#include <poll.h>
#include <unistd.h>

namespace sequoia::timeline {

namespace {

// A descriptor that is ready takes at least this much without waiting (PIPE_BUF). Its flags are left as they are,
// since another process may share it.
constexpr std::size_t atomicWrite = 4096;

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
            + " reason=\"the reader of the log is slower than its lines\"\n";
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
    ssize_t count = ::write(this->descriptor, this->pending.data(), std::min(this->pending.size(), atomicWrite));
    if (count <= 0)
        return false;
    this->pending.erase(0, static_cast<std::size_t>(count));
    return true;
}

}
