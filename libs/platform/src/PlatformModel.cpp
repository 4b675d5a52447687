#include "platform/PlatformModel.h"

#include <algorithm>

namespace sequoia::platform {

namespace {

constexpr Duration rateWindow = std::chrono::seconds(1);
constexpr std::uint32_t maxFaultMillis = 600'000;

Error outOfRange(const std::string& name, const std::string& range)
{
    return { ErrorKind::InvalidArgument, name + " is out of range", "use a value from " + range };
}

Error hostMissing()
{
    return { ErrorKind::NotFound, "the host is not registered", "register it first, with PUT /hosts/<id>" };
}

bool isProbability(double value)
{
    return value >= 0 && value <= 1;
}

Result<Success> checkFaults(const wire::PlatformFaults& faults)
{
    if (!isProbability(faults.lost_reply_probability()))
        return outOfRange("lostReplyProbability", "0 to 1");
    if (!isProbability(faults.late_write_probability()))
        return outOfRange("lateWriteProbability", "0 to 1");
    auto millisRange = "0 to " + std::to_string(maxFaultMillis);
    if (faults.delay_ms() > maxFaultMillis)
        return outOfRange("delayMs", millisRange);
    if (faults.late_write_delay_ms() > maxFaultMillis)
        return outOfRange("lateWriteDelayMs", millisRange);
    if (faults.host_list_lag_ms() > maxFaultMillis)
        return outOfRange("hostListLagMs", millisRange);
    return Success {};
}

wire::Host* findHost(wire::HostList& list, const std::string& id)
{
    auto& hosts = *list.mutable_hosts();
    auto found = std::find_if(hosts.begin(), hosts.end(), [&](const auto& host) { return host.id() == id; });
    return found == hosts.end() ? nullptr : &*found;
}

}

PlatformModel::PlatformModel(const Clock& clock, RandomEngine random, Duration hostListLag)
    : clock(clock)
    , random(random)
    , hostListLag(hostListLag)
{
}

ModelAnswer<Row> PlatformModel::readRow(const std::string& name)
{
    if (auto refused = this->beginRead())
        return { *refused, this->delay() };
    auto row = this->rows.find(name);
    return { row == this->rows.end() ? Row {} : row->second, this->delay() };
}

ModelAnswer<std::uint64_t> PlatformModel::writeRow(
    const std::string& name, const std::string& value, std::uint64_t expectedVersion)
{
    return this->handleWrite({ name, value, expectedVersion });
}

ModelAnswer<std::string> PlatformModel::getObject(const std::string& name)
{
    if (auto refused = this->beginRead())
        return { *refused, this->delay() };
    auto object = this->objects.find(name);
    if (object == this->objects.end())
        return { Error { ErrorKind::NotFound, "the object does not exist", "put it first, with PUT /objects/<name>" },
            this->delay() };
    return { object->second, this->delay() };
}

ModelAnswer<Success> PlatformModel::putObject(const std::string& name, const std::string& bytes)
{
    auto answer = this->handleWrite({ name, bytes, std::nullopt });
    if (!succeeded(answer.result))
        return { errorOf(answer.result), answer.delay, answer.lost };
    return { Success {}, answer.delay, answer.lost };
}

ModelAnswer<wire::HostList> PlatformModel::readHosts()
{
    if (auto refused = this->beginRead())
        return { *refused, this->delay() };
    return { this->visibleHosts, this->delay() };
}

Result<Success> PlatformModel::setHost(wire::Host host)
{
    this->catchUp();
    if (host.state() == wire::HOST_STATE_UNSPECIFIED)
        host.set_state(wire::HOST_STATE_LIVE);
    auto list = this->registered();
    auto* existing = findHost(list, host.id());
    *(existing ? existing : list.add_hosts()) = std::move(host);
    this->recordHosts(std::move(list));
    return Success {};
}

Result<Success> PlatformModel::setHostState(const std::string& id, wire::HostState state)
{
    this->catchUp();
    auto list = this->registered();
    auto* host = findHost(list, id);
    if (!host)
        return hostMissing();
    host->set_state(state);
    this->recordHosts(std::move(list));
    return Success {};
}

Result<Success> PlatformModel::removeHost(const std::string& id)
{
    this->catchUp();
    auto list = this->registered();
    auto* host = findHost(list, id);
    if (!host)
        return hostMissing();
    list.mutable_hosts()->DeleteSubrange(static_cast<int>(host - &*list.mutable_hosts()->begin()), 1);
    this->recordHosts(std::move(list));
    return Success {};
}

Result<Success> PlatformModel::setFaults(const wire::PlatformFaults& value)
{
    // What became visible under the old faults stays visible.
    this->catchUp();
    auto checked = checkFaults(value);
    if (succeeded(checked))
        this->currentFaults = value;
    return checked;
}

wire::PlatformStats PlatformModel::stats()
{
    this->catchUp();
    return this->counts;
}

void PlatformModel::catchUp()
{
    auto now = this->clock.now();
    while (!this->lateWrites.empty() && this->lateWrites.begin()->first <= now) {
        auto due = this->lateWrites.extract(this->lateWrites.begin());
        this->apply(due.mapped());
    }
    this->publishHosts();
}

void PlatformModel::publishHosts()
{
    if (this->currentFaults.hosts_frozen())
        return;
    auto lag = this->currentFaults.has_host_list_lag_ms() ? fromMillis(this->currentFaults.host_list_lag_ms())
                                                          : this->hostListLag;
    auto now = this->clock.now();
    while (!this->hostChanges.empty() && this->hostChanges.front().time + lag <= now) {
        this->visibleHosts = std::move(this->hostChanges.front().list);
        this->hostChanges.pop_front();
    }
}

std::optional<Error> PlatformModel::refusal(RecentTimes& recent, std::uint32_t perSecond) const
{
    if (this->currentFaults.outage())
        return Error { ErrorKind::Unavailable, "the fault outage is in force", "try again after it has ended" };
    auto now = this->clock.now();
    while (!recent.empty() && recent.front() + rateWindow <= now)
        recent.pop_front();
    if (perSecond == 0) {
        recent.clear();
        return std::nullopt;
    }
    if (recent.size() >= perSecond)
        return Error { ErrorKind::Unavailable,
            "the rate limit of " + std::to_string(perSecond) + " per second is exceeded", "try again after a second" };
    recent.push_back(now);
    return std::nullopt;
}

std::optional<Error> PlatformModel::beginRead()
{
    this->catchUp();
    this->counts.set_reads(this->counts.reads() + 1);
    auto refused = this->refusal(this->recentReads, this->currentFaults.reads_per_second());
    if (refused)
        this->counts.set_refused_reads(this->counts.refused_reads() + 1);
    return refused;
}

bool PlatformModel::draw(double probability)
{
    return std::bernoulli_distribution(probability)(this->random);
}

PlatformModel::WriteFate PlatformModel::drawFate()
{
    auto& faults = this->currentFaults;
    if (faults.late_writes() > 0) {
        faults.set_late_writes(faults.late_writes() - 1);
        return WriteFate::Late;
    }
    if (faults.lost_replies() > 0) {
        faults.set_lost_replies(faults.lost_replies() - 1);
        return WriteFate::Lost;
    }
    if (this->draw(faults.late_write_probability()))
        return WriteFate::Late;
    return this->draw(faults.lost_reply_probability()) ? WriteFate::Lost : WriteFate::Answered;
}

ModelAnswer<std::uint64_t> PlatformModel::handleWrite(Write write)
{
    this->catchUp();
    this->counts.set_writes(this->counts.writes() + 1);
    if (auto refused = this->refusal(this->recentWrites, this->currentFaults.writes_per_second())) {
        this->counts.set_refused_writes(this->counts.refused_writes() + 1);
        return { *refused, this->delay() };
    }
    auto fate = this->drawFate();
    if (fate == WriteFate::Answered)
        return { this->apply(write), this->delay() };
    this->counts.set_lost_replies(this->counts.lost_replies() + 1);
    if (fate == WriteFate::Late) {
        this->counts.set_late_writes(this->counts.late_writes() + 1);
        auto due = this->clock.now() + fromMillis(this->currentFaults.late_write_delay_ms());
        this->lateWrites.emplace(due, std::move(write));
    } else
        this->apply(write);
    return { Error { ErrorKind::OutcomeUnknown, "the reply is lost", "read to find out whether it was done" },
        this->delay(), true };
}

Result<std::uint64_t> PlatformModel::apply(const Write& write)
{
    if (!write.expectedVersion) {
        this->objects[write.name] = write.value;
        this->counts.set_applied_writes(this->counts.applied_writes() + 1);
        return std::uint64_t(0);
    }
    auto row = this->rows.find(write.name);
    auto version = row == this->rows.end() ? 0 : row->second.version;
    if (version != *write.expectedVersion) {
        this->counts.set_conflicts(this->counts.conflicts() + 1);
        return Error { ErrorKind::Conflict, "the row has another version than expected", "read it and decide anew" };
    }
    this->rows[write.name] = Row { write.value, version + 1 };
    this->counts.set_applied_writes(this->counts.applied_writes() + 1);
    return version + 1;
}

void PlatformModel::recordHosts(wire::HostList list)
{
    list.set_version(list.version() + 1);
    this->hostChanges.push_back({ this->clock.now(), std::move(list) });
    this->publishHosts();
}

const wire::HostList& PlatformModel::registered() const
{
    return this->hostChanges.empty() ? this->visibleHosts : this->hostChanges.back().list;
}

Duration PlatformModel::delay() const
{
    return fromMillis(this->currentFaults.delay_ms());
}

}
