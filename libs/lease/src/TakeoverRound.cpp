#include "TakeoverRound.h"

#include <algorithm>

namespace sequoia::lease {

namespace {

using namespace std::chrono_literals;

// A witness that has not answered for this long is passed over. Several round trips between regions.
constexpr Duration firstWitnessPatience = 60ms;
constexpr Duration resendInterval = 100ms;
constexpr Duration roundLength = 300ms;
constexpr Duration waitWithoutRefusal = 50ms;

}

TakeoverRound::TakeoverRound(const WitnessList& witnesses, const std::string& lostHolder, bool askAll, TimePoint now)
    : majority(majorityOf(witnesses))
    , startedAt(now)
    , extendedAt(now)
{
    for (const auto& witness : witnesses)
        this->members.push_back(Member { witness, Answer::None, {}, std::nullopt });
    std::stable_partition(this->members.begin(), this->members.end(),
        [&](const Member& member) { return member.process.incarnation() != lostHolder; });
    if (askAll)
        this->reach = this->members.size();
}

std::vector<wire::Process> TakeoverRound::due(TimePoint now)
{
    this->extend(now);
    std::vector<wire::Process> processes;
    for (std::size_t i = 0; i < this->reach; ++i) {
        auto& member = this->members[i];
        bool isDue = !member.askedAt || now - *member.askedAt >= resendInterval;
        if (member.answer != Answer::None || !isDue)
            continue;
        member.askedAt = now;
        processes.push_back(member.process);
    }
    return processes;
}

void TakeoverRound::onGranted(const std::string& witness)
{
    auto* member = this->find(witness);
    if (!member)
        return;
    member->answer = Answer::Granted;
    this->reach = this->members.size();
}

void TakeoverRound::onRefused(const std::string& witness, Duration promiseLeft)
{
    auto* member = this->find(witness);
    if (!member || member->answer == Answer::Granted)
        return;
    member->answer = Answer::Refused;
    member->promiseLeft = promiseLeft;
}

void TakeoverRound::onGone(const std::string& witness)
{
    if (auto* member = this->find(witness))
        member->answer = Answer::Gone;
}

bool TakeoverRound::isFailed(TimePoint now) const
{
    if (now - this->startedAt >= roundLength)
        return true;
    auto refused = this->countOf(Answer::Refused);
    if (!this->isOpen() && refused > 0)
        return true;
    return this->members.size() - refused - this->countOf(Answer::Gone) < this->majority;
}

Duration TakeoverRound::timeUntilMajority() const
{
    std::vector<Duration> left;
    for (const auto& member : this->members) {
        if (member.answer == Answer::Refused)
            left.push_back(member.promiseLeft);
    }
    if (left.empty())
        return waitWithoutRefusal;
    std::sort(left.begin(), left.end());
    auto others = this->members.size() - left.size() - this->countOf(Answer::Gone);
    auto needed = this->majority > others ? this->majority - others : 1;
    return left[std::min(needed, left.size()) - 1];
}

TakeoverRound::Member* TakeoverRound::find(const std::string& witness)
{
    auto found = std::find_if(this->members.begin(), this->members.end(),
        [&](const Member& member) { return member.process.incarnation() == witness; });
    return found == this->members.end() ? nullptr : &*found;
}

std::size_t TakeoverRound::countOf(Answer answer) const
{
    return static_cast<std::size_t>(std::count_if(this->members.begin(), this->members.end(),
        [answer](const Member& member) { return member.answer == answer; }));
}

void TakeoverRound::extend(TimePoint now)
{
    if (this->isOpen())
        return;
    bool lastIsGone = this->members[this->reach - 1].answer == Answer::Gone;
    if (!lastIsGone && now - this->extendedAt < firstWitnessPatience)
        return;
    this->extendedAt = now;
    ++this->reach;
    if (this->members.size() - this->reach < this->majority - 1)
        this->reach = this->members.size();
}

}
