#include "CoordinationLoad.h"

#include <ctime>

namespace sequoia::bench {

namespace {

constexpr Duration step = std::chrono::milliseconds(10);
constexpr int stepsPerTick = 2;
constexpr int stepsPerRound = 15;
constexpr double keyedShare = 0.6;
constexpr std::uint64_t hotKeys = 200;
constexpr Duration hotKeyPeriod = std::chrono::seconds(5);
constexpr Duration target = std::chrono::milliseconds(1000);
constexpr Duration deadline = std::chrono::milliseconds(4000);

double processorSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

//! Adds the processor time of its lifetime to a total.
class Stopwatch {
public:
    explicit Stopwatch(double& sum)
        : total(sum)
        , start(processorSeconds())
    {
    }
    ~Stopwatch() { this->total += processorSeconds() - this->start; }
    Stopwatch(const Stopwatch&) = delete;
    Stopwatch& operator=(const Stopwatch&) = delete;

private:
    double& total;
    double start;
};

fleet::ServerMap makeServers(const DeploymentSize& size)
{
    fleet::ServerMap servers;
    auto count = static_cast<std::size_t>(static_cast<double>(size.hosts) * size.serversPerHost);
    for (std::size_t i = 0; i < count; ++i) {
        fleet::ServerEntry entry;
        entry.instance = { "i-" + std::to_string(10'000'000 + i), 1'774'424'386'000 };
        entry.service = static_cast<double>(i) < static_cast<double>(count) * keyedShare ? "keyed" : "plain";
        entry.address = "10.1." + std::to_string(i / 200) + "." + std::to_string(i % 200) + ":8302";
        entry.dataCentre = "dc" + std::to_string(i % 5);
        entry.slots = size.slots;
        servers[entry.instance.id] = entry;
    }
    return servers;
}

void addRoutes(fleet::Configuration& configuration)
{
    for (const char* service : { "plain", "keyed" }) {
        for (std::uint32_t priority : { 0U, 1U }) {
            fleet::Route route;
            route.name = service + std::to_string(priority);
            route.host = "caller";
            route.prefix = "/" + route.name + "/";
            route.priority = priority;
            route.targets = { { service, 1 } };
            configuration.addRoute(route);
        }
    }
}

}

CoordinationLoad::CoordinationLoad(DeploymentSize deployment, std::uint64_t seed)
    : size(deployment)
    , random(seed)
    , coordinator(this->clock, 1, {}, {})
    , lastJob(deployment.hosts, 0)
{
    auto configuration = std::make_shared<fleet::Configuration>();
    configuration->version = 1;
    configuration->services["plain"] = { "plain", 1000, false, {} };
    configuration->services["keyed"] = { "keyed", 1000, true, {} };
    if (this->size.competingPriorities)
        addRoutes(*configuration);
    this->coordinator.setConfiguration(configuration, std::string(4000, 'x'));
    this->coordinator.setServers(makeServers(this->size));
    this->coordinator.setLinkSpeed(200);
    this->coordinator.start({});
}

std::string CoordinationLoad::addressOf(std::size_t host)
{
    return "10.0.0.1:" + std::to_string(host + 1);
}

void CoordinationLoad::deliver(const wire::Datagram& datagram, std::size_t host, double& timer)
{
    auto bytes = datagram.SerializeAsString();
    Stopwatch stopwatch(timer);
    wire::Datagram received;
    received.ParseFromString(bytes);
    this->coordinator.receive(received, addressOf(host));
}

void CoordinationLoad::submitJobs(Duration elapsed)
{
    std::poisson_distribution<int> arrivals(this->size.requestsPerSecond * static_cast<double>(elapsed.count()) / 1e6);
    for (int i = arrivals(this->random); i > 0; --i) {
        auto host = this->random() % this->size.hosts;
        wire::Datagram datagram;
        datagram.set_sender("h" + std::to_string(host));
        auto* message = datagram.add_submits();
        message->set_job(++this->lastJob[host]);
        bool keyed = static_cast<double>(this->random() % 1000) < keyedShare * 1000;
        message->set_service(keyed ? "keyed" : "plain");
        message->set_keyed(keyed);
        message->set_key(keyed ? this->drawKey() : 0);
        message->set_target_left_ms(toMillis(target));
        message->set_deadline_left_ms(toMillis(deadline));
        message->set_max_attempts(2);
        if (this->size.competingPriorities) {
            auto priority = static_cast<std::uint32_t>(this->lastJob[host] % 2);
            message->set_priority(priority);
            message->set_work_class(priority + 1);
        }
        ++this->result.submitted;
        this->deliver(datagram, host, this->result.time.submissions);
    }
}

// The hot keys are next to each other and change every few seconds.
std::uint32_t CoordinationLoad::drawKey()
{
    if (static_cast<double>(this->random() % 1000) >= this->size.hotShare * 1000)
        return static_cast<std::uint32_t>(this->random() % fleet::keyCount);
    auto period = static_cast<std::uint64_t>(this->clock.now().time_since_epoch() / hotKeyPeriod);
    return static_cast<std::uint32_t>((period * 9973 + this->random() % hotKeys) % fleet::keyCount);
}

void CoordinationLoad::endJobs()
{
    while (!this->running.empty() && this->running.begin()->first <= this->clock.now()) {
        auto job = this->running.begin()->second;
        this->running.erase(this->running.begin());
        wire::Datagram datagram;
        datagram.set_sender("h" + std::to_string(job.host));
        auto* end = datagram.add_ends();
        end->set_job(job.number);
        end->set_result(static_cast<std::uint32_t>(balance::JobResult::Answered));
        end->set_elapsed_us(static_cast<std::uint64_t>(this->size.serviceTime.count()));
        this->deliver(datagram, job.host, this->result.time.submissions);
    }
}

// Each host reports once a round; the reports are spread over the round.
void CoordinationLoad::sendReports()
{
    auto perStep = (this->size.hosts + stepsPerRound - 1) / stepsPerRound;
    for (std::size_t i = 0; i < perStep; ++i) {
        auto host = this->nextReport++ % this->size.hosts;
        wire::Datagram datagram;
        datagram.set_sender("h" + std::to_string(host));
        datagram.mutable_report()->set_strength(0.25);
        datagram.mutable_report()->set_store_contact_age_ms(100'000);
        this->deliver(datagram, host, this->result.time.reports);
    }
}

void CoordinationLoad::handleReplies(const std::vector<coordination::OutgoingDatagram>& replies)
{
    for (const auto& reply : replies) {
        auto host = static_cast<std::size_t>(std::stoul(reply.address.substr(reply.address.find(':') + 1))) - 1;
        std::uniform_real_distribution<double> variation(0.5, 1.5);
        for (const auto& placement : reply.datagram.placements()) {
            ++this->result.placed;
            auto time = Duration(static_cast<std::int64_t>(
                static_cast<double>(this->size.serviceTime.count()) * variation(this->random)));
            this->running.emplace(
                this->clock.now() + time, RunningJob { this->clock.now() + time, host, placement.job() });
        }
        this->result.refused += static_cast<std::uint64_t>(reply.datagram.refusals_size());
    }
}

void CoordinationLoad::answerOrders()
{
    for (const auto& plan : this->coordinator.takePlanWrites())
        this->coordinator.onPlanWritten(plan.service, plan.sequence);
    for (const auto& order : this->coordinator.takeLeaseOrders()) {
        ++this->result.orders;
        this->coordinator.onOrderResponse(order, { keyspace::LeaseOrderResult::Accepted, {}, false });
        if (this->size.tickOnResponse)
            this->coordinator.tick();
    }
    this->coordinator.takeOwnershipEvents();
}

LoadResult CoordinationLoad::run(Duration warmUp, Duration measured)
{
    auto begin = this->clock.now();
    bool measuring = false;
    std::size_t beaconBytes = 0;
    for (int number = 0; this->clock.now() - begin < warmUp + measured; ++number) {
        if (!measuring && this->clock.now() - begin >= warmUp) {
            measuring = true;
            this->result = {};
            beaconBytes = 0;
        }
        this->endJobs();
        this->submitJobs(step);
        this->sendReports();
        if (number % stepsPerTick == 0) {
            Stopwatch stopwatch(this->result.time.ticks);
            this->coordinator.tick();
            this->answerOrders();
        }
        std::vector<coordination::OutgoingDatagram> replies;
        {
            Stopwatch stopwatch(this->result.time.submissions);
            replies = this->coordinator.takeReplies();
            for (const auto& reply : replies)
                beaconBytes += reply.datagram.SerializeAsString().size();
        }
        this->handleReplies(replies);
        if (number % stepsPerRound == 0) {
            Stopwatch stopwatch(this->result.time.beacons);
            for (const auto& beacon : this->coordinator.makeBeacons({ "self", false, false, 0 }))
                beaconBytes += beacon.datagram.SerializeAsString().size();
        }
        this->clock.advance(step);
    }
    double seconds = static_cast<double>(measured.count()) / 1e6;
    auto& time = this->result.time;
    for (auto* part : { &time.submissions, &time.reports, &time.ticks, &time.beacons })
        *part /= seconds;
    this->result.beaconBytesPerHostSecond
        = static_cast<double>(beaconBytes) / seconds / static_cast<double>(this->size.hosts);
    return this->result;
}

}
