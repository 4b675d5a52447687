#include "EdgeFixture.h"

#include <algorithm>
#include <chrono>

namespace sequoia::edge::test {

namespace {

// Upper limit of each wait.
constexpr auto maxWait = std::chrono::seconds(20);

HeaderNames testNames()
{
    HeaderNames names;
    names.requestId = "Sequoia-Request-Id";
    names.deadline = "Test-Deadline-Ms";
    names.signature = "Test-Signature";
    names.expectedServer = "Test-Expected-Server";
    names.notExecuted = "Test-Not-Executed";
    names.key = "Test-Key";
    names.leaving = "Test-Leaving";
    names.load = "Test-Load";
    return names;
}

std::shared_ptr<const fleet::Configuration> testConfiguration(Duration timeout)
{
    auto configuration = std::make_shared<fleet::Configuration>();
    configuration->version = 1;
    configuration->services["plain"] = { "plain", 10, false, {} };
    configuration->services["keyed"] = { "keyed", 10, true, {} };
    configuration->limits.headerTimeout = std::chrono::seconds(10);
    auto add = [&](const std::string& name, fleet::RequestKind kind, const std::string& service) {
        fleet::Route route;
        route.name = name;
        route.host = "test.example";
        route.prefix = "/" + name + "/";
        route.kind = kind;
        route.timeout = timeout;
        route.targetLatency = timeout;
        route.maxAttempts = 3;
        route.targets = { { service, 1 } };
        configuration->addRoute(route);
    };
    add("safe", fleet::RequestKind::Idempotent, "plain");
    add("unsafe", fleet::RequestKind::NonIdempotent, "plain");
    add("upload", fleet::RequestKind::Upload, "plain");
    add("keyed", fleet::RequestKind::Idempotent, "keyed");
    return configuration;
}

}

ScriptedPlacer::ScriptedPlacer(std::vector<PlacementTarget> script)
    : targets(script.begin(), script.end())
{
}

void ScriptedPlacer::submit(const balance::Job& job, PlacementObserver& observer)
{
    std::optional<PlacementTarget> target;
    {
        std::lock_guard lock(this->mutex);
        this->jobs.push_back(job);
        if (!this->targets.empty()) {
            target = this->targets.front();
            this->targets.pop_front();
            this->placed[job.id.number] = target->server;
        }
    }
    this->changed.notify_all();
    if (!target)
        observer.onRefused(job.id.number, { balance::RefusalReason::NoServer, std::chrono::milliseconds(250), 3 });
    else if (!target->server.empty())
        observer.onPlaced(job.id.number, *target);
}

void ScriptedPlacer::withdraw(std::uint64_t)
{
    std::lock_guard lock(this->mutex);
    ++this->withdrawals;
    this->changed.notify_all();
}

void ScriptedPlacer::reportEnd(
    std::uint64_t job, balance::JobResult result, Duration, const std::optional<balance::ServerReport>& load)
{
    std::lock_guard lock(this->mutex);
    this->ends.push_back({ this->placed[job], result, load });
    this->changed.notify_all();
}

bool ScriptedPlacer::reportNotice(std::uint64_t job, const balance::ServerNotice& notice)
{
    std::lock_guard lock(this->mutex);
    this->reportedNotices.push_back({ this->placed[job], notice });
    return true;
}

std::vector<ScriptedPlacer::Notice> ScriptedPlacer::notices() const
{
    std::lock_guard lock(this->mutex);
    return this->reportedNotices;
}

std::vector<ScriptedPlacer::End> ScriptedPlacer::waitForEnds(std::size_t count)
{
    std::unique_lock lock(this->mutex);
    this->changed.wait_for(lock, maxWait, [&] { return this->ends.size() >= count; });
    return this->ends;
}

std::vector<balance::Job> ScriptedPlacer::submitted() const
{
    std::lock_guard lock(this->mutex);
    return this->jobs;
}

std::size_t ScriptedPlacer::withdrawn() const
{
    std::lock_guard lock(this->mutex);
    return this->withdrawals;
}

EdgeFixture::EdgeFixture(std::vector<PlacementTarget> targets, Duration routeTimeout, bool withConfiguration)
    : placer(std::move(targets))
    , timeout(routeTimeout)
{
    this->task.run([&] {
        this->reactor = std::make_unique<net::Reactor>(this->task.context(), this->clock);
        this->edge = std::make_unique<EdgeServer>(*this->reactor, this->events, testNames(), this->placer);
        if (withConfiguration)
            this->edge->setConfiguration(testConfiguration(this->timeout));
        auto listening = this->edge->listen(valueOf(net::SocketAddress::parse("127.0.0.1:0")));
        if (!succeeded(listening))
            throw std::runtime_error(errorOf(listening).toString());
        this->port = ntohs(this->edge->address().value.sin_port);
    });
}

void EdgeFixture::configure()
{
    this->task.run([this] { this->edge->setConfiguration(testConfiguration(this->timeout)); });
}

EdgeFixture::~EdgeFixture()
{
    this->task.run([this] {
        this->edge.reset();
        this->reactor.reset();
    });
}

std::vector<PlacementTarget> EdgeFixture::targetsAt(const std::vector<std::string>& addresses)
{
    std::vector<PlacementTarget> targets;
    for (std::size_t i = 0; i < addresses.size(); ++i)
        targets.push_back({ "server-" + std::to_string(i + 1), addresses[i] });
    return targets;
}

std::string EdgeFixture::sendRequest(const std::string& request) const
{
    auto connection = this->connect();
    connection.write(request);
    return connection.readMessage();
}

std::size_t EdgeFixture::eventCount(const std::string& kind) const
{
    auto recorded = this->events.eventsAfter(0).first;
    return static_cast<std::size_t>(
        std::count_if(recorded.begin(), recorded.end(), [&](const auto& event) { return event.kind() == kind; }));
}

void EdgeFixture::run(const std::function<void(EdgeServer&)>& message)
{
    this->task.run([&] { message(*this->edge); });
}

std::string requestText(const std::string& method, const std::string& path, const std::string& id,
    const std::string& moreHeaders, const std::string& body)
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: test.example\r\nSequoia-Request-Id: " + id + "\r\n";
    if (!body.empty())
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + moreHeaders + "\r\n" + body;
}

std::string signedResponse(
    const std::string& requestHead, const std::string& body, const std::string& status, const std::string& moreHeaders)
{
    return sequoia::test::answerTo(requestHead, body, status, "Test-Signature: s1\r\n" + moreHeaders);
}

sequoia::test::FakeServer::Step respondSigned(
    const std::string& body, const std::string& status, const std::string& moreHeaders)
{
    return [=](sequoia::test::Connection& connection) {
        connection.write(signedResponse(connection.readMessage(), body, status, moreHeaders));
        connection.readToEnd();
    };
}

}
