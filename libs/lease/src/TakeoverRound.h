#pragma once

#include "GrantTable.h"

#include <optional>
#include <string>
#include <vector>

namespace sequoia::lease {

//! Order and time in which a candidate asks the witnesses for one term.
//!
//! Candidates ask the same first witness and go on only after it has granted, so that two of them do not each
//! obtain half of the promises and block each other for the length of a promise.
class TakeoverRound {
public:
    //! The lost holder is asked last. `askAll` asks all witnesses at once.
    TakeoverRound(const WitnessList& witnesses, const std::string& lostHolder, bool askAll, TimePoint now);

    //! The witnesses to send a request to now.
    std::vector<wire::Process> due(TimePoint now);

    void onGranted(const std::string& witness);
    void onRefused(const std::string& witness, Duration promiseLeft);
    //! The addressed process no longer runs.
    void onGone(const std::string& witness);

    //! Whether this round can no longer obtain a majority.
    bool isFailed(TimePoint now) const;

    //! Time until a majority can grant, as far as the refusals tell.
    Duration timeUntilMajority() const;

private:
    enum class Answer {
        None,
        Granted,
        Refused,
        Gone,
    };

    struct Member {
        wire::Process process;
        Answer answer = Answer::None;
        Duration promiseLeft {};
        std::optional<TimePoint> askedAt;
    };

    Member* find(const std::string& witness);
    std::size_t countOf(Answer answer) const;
    void extend(TimePoint now);
    bool isOpen() const { return this->reach == this->members.size(); }

    std::vector<Member> members;
    std::size_t majority;
    std::size_t reach = 1;
    TimePoint startedAt;
    TimePoint extendedAt;
};

}
