#pragma once

#include "ownership/PartitionMachine.h"

#include <string>
#include <utility>
#include <vector>

namespace sequoia::ownership {

//! Appends events to the outputs of a step and adds the partition and term to each.
class EventSink {
public:
    using Fields = std::vector<std::pair<std::string, std::string>>;

    EventSink(std::string partition, Outputs& outputs)
        : partition(std::move(partition))
        , outputs(outputs)
    {
    }

    void setTerm(std::uint64_t value) { this->term = value; }

    void emit(std::string kind, Fields fields)
    {
        fields.insert(fields.begin(), { "term", std::to_string(this->term) });
        fields.insert(fields.begin(), { "partition", this->partition });
        this->outputs.emplace_back(EmitEvent { std::move(kind), std::move(fields) });
    }

private:
    std::string partition;
    std::uint64_t term = 0;
    Outputs& outputs;
};

}
