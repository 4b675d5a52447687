#include "lease/LeaseMachine.h"
#include "lease/Witness.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace sequoia;
using namespace sequoia::lease;
using namespace std::chrono_literals;

namespace {

wire::Process processNamed(const std::string& name)
{
    wire::Process process;
    process.set_incarnation(name);
    process.set_address(name);
    return process;
}

wire::PromiseRequest request(const std::string& candidate, std::uint64_t term, std::uint64_t generation)
{
    wire::PromiseRequest message;
    message.set_candidate(candidate);
    message.set_term(term);
    message.set_generation(generation);
    message.set_record_version(1);
    message.set_witness("w");
    return message;
}

//! A machine "a" that has created the row, with itself as only witness, and has asked itself for term 1.
struct CreatedRow {
    RandomEngine random { 1 };
    TimePoint start { 100s };
    LeaseMachine machine;

    CreatedRow()
        : machine(options(), this->random)
    {
        this->machine.onTick(this->start);
        auto outputs = this->machine.onRecordRead(RecordRead { VersionedRecord {} }, this->start);
        this->machine.onRecordWritten(
            RecordWritten { std::get<WriteRecord>(outputs.at(0)).writeId, std::uint64_t(1) }, this->start);
    }

    static LeaseOptions options()
    {
        LeaseOptions options;
        options.self = processNamed("a");
        return options;
    }

    LeaseOutputs grant(const std::string& witness, TimePoint sentAt, TimePoint now)
    {
        PromiseAnswered answer;
        answer.reply.set_outcome(wire::PROMISE_OUTCOME_GRANTED);
        answer.witness = witness;
        answer.sentAt = sentAt;
        answer.term = 1;
        answer.generation = 1;
        answer.recordVersion = 1;
        return this->machine.onPromiseAnswered(answer, now);
    }
};

const WriteRecord* writeIn(const LeaseOutputs& outputs)
{
    for (const auto& output : outputs) {
        if (const auto* write = std::get_if<WriteRecord>(&output))
            return write;
    }
    return nullptr;
}

}

// Guards against a candidate with the witness set before the last two changes: its majority need not intersect
// that of the holder.
TEST_CASE("a witness refuses a generation lower than one it has seen, also after the promise has ended")
{
    Witness witness("w", 800ms, 0.001);
    TimePoint now { 100s };
    CHECK(witness.handle(request("a", 1, 3), now).outcome() == wire::PROMISE_OUTCOME_GRANTED);
    CHECK(witness.handle(request("b", 2, 2), now + 2s).outcome() == wire::PROMISE_OUTCOME_OLD_GENERATION);
    CHECK(witness.handle(request("b", 2, 3), now + 2s).outcome() == wire::PROMISE_OUTCOME_GRANTED);
}

// Guards against a reply delayed in the network that extends the lease beyond the promise.
TEST_CASE("a lease runs from the time the request was sent and ends without any input")
{
    CreatedRow row;
    row.grant("a", row.start, row.start + 700ms);
    CHECK(row.machine.isHolder(row.start + 799ms));
    CHECK_FALSE(row.machine.isHolder(row.start + 800ms));
    CHECK_FALSE(row.machine.isHolder(row.start + 1h));
}

// Guards against a holder that renews with the old witnesses only, while the row may already name the new ones.
TEST_CASE("while a witness change is unsettled, the lease needs a majority of the old and of the new set")
{
    CreatedRow row;
    row.machine.setCandidates({ processNamed("b"), processNamed("c") });
    row.grant("a", row.start, row.start);
    row.grant("a", row.start, row.start);
    row.machine.onTick(row.start);
    row.grant("b", row.start, row.start + 1ms);
    auto outputs = row.machine.onTick(row.start + 50ms);
    REQUIRE(writeIn(outputs));
    CHECK(writeIn(outputs)->record.witnesses_size() == 2);
    CHECK(writeIn(outputs)->record.generation() == 2);
    row.grant("a", row.start + 500ms, row.start + 501ms);
    CHECK(row.machine.isHolder(row.start + 799ms));
    CHECK_FALSE(row.machine.isHolder(row.start + 800ms));
    CHECK_FALSE(row.machine.canPropose(row.start + 502ms));
}

// Guards against a witness whose clock is faster than the holder's and that lets another candidate in too early.
TEST_CASE("a promise outlasts the lease by the clock rate bound")
{
    Witness witness("w", 800ms, 0.001);
    TimePoint now { 100s };
    CHECK(witness.handle(request("a", 1, 1), now).outcome() == wire::PROMISE_OUTCOME_GRANTED);
    CHECK(witness.handle(request("b", 2, 1), now + 800799us).outcome() == wire::PROMISE_OUTCOME_OTHER_CANDIDATE);
    CHECK(witness.handle(request("b", 2, 1), now + 800800us).outcome() == wire::PROMISE_OUTCOME_GRANTED);
}

// Guards against a second holder of a term, and against a takeover with a record that is older than one acted on.
TEST_CASE("a witness refuses a lower term, another candidate of the same term, and an older record")
{
    Witness witness("w", 800ms, 0.001);
    TimePoint now { 100s };
    auto newer = request("a", 5, 1);
    newer.set_record_version(2);
    CHECK(witness.handle(newer, now).outcome() == wire::PROMISE_OUTCOME_GRANTED);
    CHECK(witness.handle(request("b", 4, 1), now + 2s).outcome() == wire::PROMISE_OUTCOME_LOWER_TERM);
    CHECK(witness.handle(request("b", 5, 1), now + 2s).outcome() == wire::PROMISE_OUTCOME_LOWER_TERM);
    CHECK(witness.handle(request("b", 6, 1), now + 2s).outcome() == wire::PROMISE_OUTCOME_OLD_RECORD);
    auto other = request("b", 6, 1);
    other.set_record_version(2);
    other.set_witness("w of an earlier run");
    CHECK(witness.handle(other, now + 2s).outcome() == wire::PROMISE_OUTCOME_OTHER_INCARNATION);
}

TEST_CASE("a probe is answered and promises nothing, also by a witness without a promise")
{
    Witness witness("w", 800ms, 0.001);
    TimePoint now { 100s };
    CHECK(witness.handle(request("a", probeTerm, 1), now).outcome() == wire::PROMISE_OUTCOME_LOWER_TERM);
    CHECK(witness.handle(request("b", 1, 1), now).outcome() == wire::PROMISE_OUTCOME_GRANTED);
}

namespace {

//! A machine "a" that has taken the lease over from "x", by promises of itself and of "b" out of a, b and c.
struct TakenOver {
    RandomEngine random { 1 };
    TimePoint now { 100s };
    LeaseMachine machine { CreatedRow::options(), this->random };
    std::uint64_t term = 0;

    //! Of the lost holder "x".
    static VersionedRecord row()
    {
        VersionedRecord row;
        row.version = 1;
        row.record.set_term(1);
        row.record.set_generation(1);
        *row.record.mutable_holder() = processNamed("x");
        for (const char* name : { "a", "b", "c" })
            *row.record.add_witnesses() = processNamed(name);
        return row;
    }

    TakenOver()
    {
        this->machine.onRecordCached(row(), this->now);
        this->now += 1s;
        this->machine.onTick(this->now);
        this->machine.onRecordRead(RecordRead { row() }, this->now);
        this->term = this->machine.term();
        this->answer("a", this->term, wire::PROMISE_OUTCOME_GRANTED);
        this->answer("b", this->term, wire::PROMISE_OUTCOME_GRANTED);
    }

    LeaseOutputs answer(const std::string& witness, std::uint64_t requestTerm, wire::PromiseOutcome outcome)
    {
        PromiseAnswered answer;
        answer.reply.set_outcome(outcome);
        answer.witness = witness;
        answer.sentAt = this->now;
        answer.term = requestTerm;
        answer.generation = 1;
        answer.recordVersion = 1;
        return this->machine.onPromiseAnswered(answer, this->now);
    }

    //! Lets time pass in ticks, in which only "a" itself answers, and gives the terms of the requests to the others.
    std::vector<std::uint64_t> passWithoutAnswers(Duration length)
    {
        std::vector<std::uint64_t> terms;
        for (auto end = this->now + length; this->now < end; this->now += 10ms) {
            for (const auto& output : this->machine.onTick(this->now)) {
                const auto* sent = std::get_if<SendPromise>(&output);
                if (sent && sent->witness.incarnation() != "a")
                    terms.push_back(sent->request.term());
                else if (sent)
                    this->answer("a", sent->request.term(), wire::PROMISE_OUTCOME_GRANTED);
            }
        }
        return terms;
    }
};

std::size_t countOf(const std::vector<std::uint64_t>& terms, bool isProbe)
{
    return static_cast<std::size_t>(
        std::count_if(terms.begin(), terms.end(), [&](auto term) { return (term == probeTerm) == isProbe; }));
}

}

// Guards against a holder that can send but not receive and extends the promises that delay its successor.
TEST_CASE("a holder that no other witness answers sends probes, and renews again once one answers")
{
    TakenOver holder;
    REQUIRE(holder.machine.isHolder(holder.now));
    CHECK(countOf(holder.passWithoutAnswers(350ms), true) == 0);
    auto silent = holder.passWithoutAnswers(300ms);
    CHECK(countOf(silent, true) > 0);
    CHECK(countOf(silent, false) == 0);
    REQUIRE(holder.machine.isHolder(holder.now));
    auto outputs = holder.answer("b", probeTerm, wire::PROMISE_OUTCOME_LOWER_TERM);
    CHECK(std::any_of(outputs.begin(), outputs.end(), [&](const LeaseOutput& output) {
        const auto* sent = std::get_if<SendPromise>(&output);
        return sent && sent->request.term() == holder.term;
    }));
}

// Guards against the same process asking for ever higher terms as a candidate, after its lease has ended.
TEST_CASE("a candidate that no other witness answered asks for promises only after an answer")
{
    TakenOver candidate;
    candidate.passWithoutAnswers(900ms);
    REQUIRE(!candidate.machine.isHolder(candidate.now));
    auto silent = candidate.passWithoutAnswers(3s);
    CHECK(countOf(silent, true) > 0);
    CHECK(countOf(silent, false) == 0);
    candidate.answer("c", probeTerm, wire::PROMISE_OUTCOME_LOWER_TERM);
    CHECK(countOf(candidate.passWithoutAnswers(500ms), false) > 0);
}

// Guards against a term that is used twice: a holder that took over while the store was down leaves no row with its
// term, and the witnesses that granted it are gone.
TEST_CASE("after a lost majority the term is above every term that the lost witnesses can have granted")
{
    constexpr std::uint64_t unrecordedRounds = 1'000'000;
    RandomEngine random { 1 };
    LeaseMachine machine(CreatedRow::options(), random);
    TimePoint now { 100s };
    machine.onRecordCached(TakenOver::row(), now);
    machine.setGone({ "b", "c" });
    const WriteRecord* write = nullptr;
    LeaseOutputs outputs;
    for (auto end = now + 10s; !write && now < end; now += 10ms) {
        outputs = machine.onTick(now);
        write = writeIn(outputs);
    }
    REQUIRE(write);
    CHECK(write->record.lost_majority());
    CHECK(write->record.term() > TakenOver::row().record.term() + unrecordedRounds);
}
