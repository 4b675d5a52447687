#include "coordination/Coordinator.h"
#include "coordination/PlacementClient.h"
#include "coordination/StateReplica.h"
#include "core/ManualClock.h"
#include "core/Random.h"

#include <doctest/doctest.h>
#include <google/protobuf/descriptor.h>
#include <google/protobuf/message.h>

using namespace sequoia;
using namespace sequoia::coordination;
using google::protobuf::FieldDescriptor;

namespace {

//! Fills messages with values that are small, extreme, or the name of something that exists.
class MessageGenerator {
public:
    explicit MessageGenerator(std::uint64_t seed)
        : random(seed)
    {
    }

    void fill(google::protobuf::Message& message, int depth = 0)
    {
        const auto* descriptor = message.GetDescriptor();
        for (int i = 0; i < descriptor->field_count(); ++i) {
            const auto* field = descriptor->field(i);
            auto count = field->is_repeated() ? this->below(3) : this->below(2);
            for (std::uint64_t n = 0; n < count; ++n)
                this->addValue(message, *field, depth);
        }
    }

    std::uint64_t below(std::uint64_t limit) { return this->random() % limit; }

private:
    std::uint64_t number()
    {
        constexpr std::uint64_t extremes[] = { 0, 1, 2, 63, 65'535, 65'536, 0x7FFFFFFF, 0xFFFFFFFF, 0x7FFFFFFFFFFFFFFF,
            0x8000000000000000, 0xFFFFFFFFFFFFFFFF };
        return this->below(2) ? extremes[this->below(std::size(extremes))] : this->below(5);
    }

    std::string text()
    {
        const std::string texts[] = { "", "s0", "s1", "plain", "keyed", "host", "servers", "owners/keyed",
            "configuration", std::string(300, 'x'), std::string("\0\x01", 2) };
        return texts[this->below(std::size(texts))];
    }

    void addValue(google::protobuf::Message& message, const FieldDescriptor& field, int depth)
    {
        const auto* reflection = message.GetReflection();
        bool repeated = field.is_repeated();
        switch (field.cpp_type()) {
        case FieldDescriptor::CPPTYPE_MESSAGE:
            if (depth < 3)
                this->fill(*(repeated ? reflection->AddMessage(&message, &field)
                                      : reflection->MutableMessage(&message, &field)),
                    depth + 1);
            break;
        case FieldDescriptor::CPPTYPE_STRING:
            repeated ? reflection->AddString(&message, &field, this->text())
                     : reflection->SetString(&message, &field, this->text());
            break;
        case FieldDescriptor::CPPTYPE_UINT64:
            repeated ? reflection->AddUInt64(&message, &field, this->number())
                     : reflection->SetUInt64(&message, &field, this->number());
            break;
        case FieldDescriptor::CPPTYPE_UINT32:
            reflection->SetUInt32(&message, &field, static_cast<std::uint32_t>(this->number()));
            break;
        case FieldDescriptor::CPPTYPE_INT64:
            reflection->SetInt64(&message, &field, static_cast<std::int64_t>(this->number()));
            break;
        case FieldDescriptor::CPPTYPE_BOOL:
            reflection->SetBool(&message, &field, this->below(2) != 0);
            break;
        case FieldDescriptor::CPPTYPE_DOUBLE:
            reflection->SetDouble(&message, &field, static_cast<double>(this->number()));
            break;
        default:
            FAIL("no generator for the type of " << field.full_name());
        }
    }

    RandomEngine random;
};

class IgnoringObserver final : public edge::PlacementObserver {
public:
    void onPlaced(std::uint64_t, const edge::PlacementTarget&) override { }
    void onRefused(std::uint64_t, const edge::PlacementRefusal&) override { }
};

fleet::ServerMap listOfServers()
{
    fleet::ServerMap map;
    for (const std::string id : { "s0", "s1" }) {
        fleet::ServerEntry entry;
        entry.instance = { id, 1 };
        entry.service = id == "s0" ? "plain" : "keyed";
        entry.address = "10.0.0.1:80";
        entry.slots = 2;
        map[id] = entry;
    }
    return map;
}

}

// Guards against a process that ends, or counts wrongly for ever, because of one message. The sanitized build also
// detects overflows.
TEST_CASE("messages with any values neither end the process nor stop the placement of later jobs")
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        MessageGenerator generator(seed);
        ManualClock clock;
        auto configuration = std::make_shared<fleet::Configuration>();
        configuration->version = 1;
        configuration->services["plain"] = { "plain", 10, false, {} };
        configuration->services["keyed"] = { "keyed", 10, true, {} };
        Coordinator coordinator(clock, 1, {}, {});
        coordinator.setConfiguration(configuration, "text");
        coordinator.setServers(listOfServers());
        coordinator.start({});
        PlacementClient client(clock, {}, [] {});
        client.setServers(listOfServers());
        StateReplica replica;
        IgnoringObserver observer;
        for (std::uint64_t step = 1; step <= 60; ++step) {
            wire::Datagram toCoordinator;
            generator.fill(toCoordinator);
            toCoordinator.set_sender("strange" + std::to_string(step % 3));
            coordinator.receive(toCoordinator, "10.0.0.2:" + std::to_string(step % 3));
            coordinator.tick();
            coordinator.takeReplies();
            coordinator.makeBeacons({ "self", false, false, 0 });
            wire::Datagram toHost;
            generator.fill(toHost);
            balance::Job job;
            job.id.number = step;
            job.service = generator.below(2) ? "plain" : "keyed";
            job.target = clock.now() + std::chrono::milliseconds(300);
            job.deadline = clock.now() + std::chrono::milliseconds(900);
            client.submit(job, observer);
            client.onCoordinatorContact(1 + generator.below(2));
            client.receive(toHost);
            client.tick();
            wire::Datagram outgoing;
            client.takeMessages(outgoing);
            replica.apply(toHost);
            wire::Report report;
            replica.fillRequests(report);
            clock.advance(std::chrono::milliseconds(20));
        }
        // Jobs of the strange hosts end with their deadlines, the latest a day later, or when the hosts are silent.
        clock.advance(std::chrono::seconds(90));
        coordinator.tick();
        fleet::ServerMap fresh = listOfServers();
        fresh.at("s0").instance.startMillis = INT64_MAX;
        coordinator.setServers(fresh);
        wire::Datagram submission;
        submission.set_sender("host");
        auto* message = submission.add_submits();
        message->set_job(7);
        message->set_service("plain");
        message->set_target_left_ms(600);
        message->set_deadline_left_ms(2500);
        coordinator.receive(submission, "10.0.0.9:1");
        auto replies = coordinator.takeReplies();
        REQUIRE(replies.size() == 1);
        INFO(replies[0].datagram.ShortDebugString());
        CHECK(replies[0].datagram.placements_size() + replies[0].datagram.refusals_size() == 1);
    }
}
