#include "WitnessPlan.h"

#include <algorithm>
#include <map>
#include <optional>

namespace sequoia::lease {

namespace {

class DataCentreCounts {
public:
    explicit DataCentreCounts(const WitnessPlanInput& input)
    {
        for (const auto& candidate : input.candidates)
            this->counts.try_emplace(candidate.data_centre(), 0);
        for (const auto& witness : input.witnesses) {
            auto entry = this->counts.try_emplace(witness.data_centre(), 0).first;
            if (!input.dead.contains(witness.incarnation()))
                ++entry->second;
        }
    }

    std::size_t of(const std::string& dataCentre) const { return this->counts.at(dataCentre); }
    bool limitsApply() const { return this->counts.size() >= 3; }
    void add(const std::string& dataCentre) { ++this->counts[dataCentre]; }

private:
    std::map<std::string, std::size_t> counts;
};

class Selection {
public:
    explicit Selection(const WitnessPlanInput& input)
        : counts(input)
    {
        for (const auto& candidate : input.candidates) {
            const auto& id = candidate.incarnation();
            if (!contains(input.witnesses, id) && !input.excluded.contains(id))
                this->eligible.push_back(candidate);
        }
    }

    //! Takes the candidate from the data centre with the fewest witnesses, for a set of `size` members.
    std::optional<wire::Process> take(std::size_t size)
    {
        auto best = std::min_element(
            this->eligible.begin(), this->eligible.end(), [this](const wire::Process& a, const wire::Process& b) {
                return this->counts.of(a.data_centre()) < this->counts.of(b.data_centre());
            });
        if (best == this->eligible.end())
            return std::nullopt;
        auto minority = (size - 1) / 2;
        if (this->counts.limitsApply() && this->counts.of(best->data_centre()) + 1 > minority)
            return std::nullopt;
        auto process = *best;
        this->counts.add(process.data_centre());
        this->eligible.erase(best);
        return process;
    }

private:
    DataCentreCounts counts;
    std::vector<wire::Process> eligible;
};

//! The newest member of the data centre with the most members.
std::string surplusWitness(const WitnessPlanInput& input)
{
    DataCentreCounts counts(input);
    const auto* surplus = &input.witnesses[input.witnesses.size() - 1];
    for (const auto& witness : input.witnesses) {
        if (counts.of(witness.data_centre()) > counts.of(surplus->data_centre()))
            surplus = &witness;
    }
    return surplus->incarnation();
}

WitnessStep addFor(std::optional<wire::Process> process)
{
    if (!process)
        return {};
    return AddWitness { *process };
}

}

WitnessStep nextWitnessStep(const WitnessPlanInput& input)
{
    auto size = static_cast<std::size_t>(input.witnesses.size());
    bool isEven = size % 2 == 0;
    Selection selection(input);
    if (!input.dead.empty()) {
        // Removing from an even set lowers the majority by one; removing from an odd one gains nothing.
        if (isEven || size > input.witnessCount)
            return RemoveWitness { *input.dead.begin() };
        return addFor(selection.take(size));
    }
    if (size > input.witnessCount)
        return RemoveWitness { surplusWitness(input) };
    if (size == input.witnessCount)
        return {};
    if (isEven)
        return addFor(selection.take(size + 1));
    // An even set tolerates no more losses than the odd set below it, so growth needs two candidates.
    auto first = selection.take(size + 2);
    if (!first || !selection.take(size + 2))
        return {};
    return addFor(first);
}

}
