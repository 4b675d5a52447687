#include "dispatch/Dispatcher.h"

#include <cassert>

namespace sequoia::dispatch {

namespace {

// Bounds the memory used for servers that are no longer in the routes: above this number a server is erased when it
// becomes idle. Below it, idle servers keep their average hold time.
constexpr std::size_t retainedServersPerService = 256;

template <typename... Handlers> struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers> Overloaded(Handlers...) -> Overloaded<Handlers...>;

}

Dispatcher::Dispatcher(Options given, RandomEngine engine)
    : options(std::move(given))
    , random(engine)
    , budget(this->options.retryBudget)
    , routes(std::make_shared<const routing::RouteSnapshot>())
{
}

void Dispatcher::setRoutes(std::shared_ptr<const routing::RouteSnapshot> newest)
{
    assert(newest);
    this->routes = std::move(newest);
}

std::vector<Command> Dispatcher::receive(const NewRequest& request, TimePoint now)
{
    assert(this->options.services.contains(request.service));
    auto [position, inserted] = this->requests.try_emplace(request.number, request, this->budget);
    assert(inserted);
    std::vector<Command> commands;
    this->perform(position->second, position->second.machine.start(), commands, now);
    this->updateTimerOrFinish(request.number, commands);
    this->process(commands, now);
    return commands;
}

std::vector<Command> Dispatcher::handle(RequestNumber number, const RequestEvent& event, TimePoint now)
{
    std::vector<Command> commands;
    this->pendingEvents.push_back({ number, event });
    this->process(commands, now);
    return commands;
}

std::vector<Command> Dispatcher::runTimers(TimePoint now)
{
    std::vector<Command> commands;
    while (!this->timers.empty() && this->timers.begin()->first <= now) {
        this->pendingEvents.push_back({ this->timers.begin()->second, event::TimerExpired {} });
        this->process(commands, now);
    }
    return commands;
}

std::optional<TimePoint> Dispatcher::nextTimer() const
{
    if (this->timers.empty())
        return std::nullopt;
    return this->timers.begin()->first;
}

std::size_t Dispatcher::requestsQueued() const
{
    std::size_t total = 0;
    for (const auto& [address, admission] : this->admissionControllers)
        total += admission.queueLength();
    return total;
}

void Dispatcher::process(std::vector<Command>& commands, TimePoint now)
{
    while (!this->pendingEvents.empty()) {
        auto [number, event] = this->pendingEvents.front();
        this->pendingEvents.pop_front();
        auto found = this->requests.find(number);
        if (found == this->requests.end())
            continue;
        auto& request = found->second;
        if (std::holds_alternative<event::SlotGranted>(event)) {
            // While a request is queued, its deadline can pass and its slice can be assigned to another owner.
            if (now >= request.info.options.deadline)
                event = event::TimerExpired {};
            else if (!this->targetIsCurrent(request, now)) {
                this->releaseSlot(request, now);
                this->acquireSlot(request, now);
                continue;
            }
        }
        this->perform(request, request.machine.handle(event, now, this->random), commands, now);
        this->updateTimerOrFinish(number, commands);
    }
}

void Dispatcher::perform(
    ActiveRequest& request, const std::vector<RequestAction>& actions, std::vector<Command>& commands, TimePoint now)
{
    for (const auto& action : actions) {
        std::visit(Overloaded {
                       [&](const action::AcquireSlot&) { this->acquireSlot(request, now); },
                       [&](const action::ReleaseSlot&) { this->releaseSlot(request, now); },
                       [&](const action::SendAttempt& send) {
                           commands.push_back({ request.info.number,
                               SendToServer { send.attempt, request.target, request.info.options.deadline,
                                   this->sendBefore(request) } });
                       },
                       [&](const action::RefreshRoutes&) {
                           commands.push_back({ request.info.number, RefreshServiceRoutes { request.info.service } });
                       },
                       [&](const auto& other) {
                           commands.push_back({ request.info.number, other });
                       },
                   },
            action);
    }
}

bool Dispatcher::targetIsCurrent(const ActiveRequest& request, TimePoint now) const
{
    auto found = routing::findRoute(*this->routes, request.info.service, request.info.hash, now);
    const auto* route = std::get_if<const wire::Route*>(&found);
    return route && (*route)->address() == request.target.address
        && (*route)->epoch().term() == request.target.epoch.term()
        && (*route)->epoch().sequence() == request.target.epoch.sequence();
}

std::optional<TimePoint> Dispatcher::sendBefore(const ActiveRequest& request) const
{
    const auto& service = this->routes->find(request.info.service)->second;
    if (service.table->lookup(request.info.hash).checks_orders())
        return std::nullopt;
    return service.validUntil;
}

void Dispatcher::acquireSlot(ActiveRequest& request, TimePoint now)
{
    assert(request.admissionState == AdmissionState::None);
    auto number = request.info.number;
    auto found = routing::findRoute(*this->routes, request.info.service, request.info.hash, now);
    if (!std::holds_alternative<const wire::Route*>(found)) {
        this->pendingEvents.push_back({ number, event::NoRoute {} });
        return;
    }
    const auto& route = *std::get<const wire::Route*>(found);
    request.target = { route.server(), route.address(), route.epoch() };
    auto limits = this->options.services.find(request.info.service);
    auto& admission = this->admissionControllers.try_emplace(route.address(), limits->second).first->second;
    auto decision = admission.request({ number, request.info.tenant, request.info.options.deadline }, now);
    if (std::holds_alternative<AdmissionController::Granted>(decision)) {
        request.admissionState = AdmissionState::SlotHeld;
        request.grantedAt = now;
        this->pendingEvents.push_back({ number, event::SlotGranted {} });
    } else if (const auto* queued = std::get_if<AdmissionController::Queued>(&decision)) {
        request.admissionState = AdmissionState::Queued;
        if (queued->evicted) {
            this->requests.at(*queued->evicted).admissionState = AdmissionState::None;
            this->pendingEvents.push_back({ *queued->evicted, event::AdmissionRefused { RefusalCode::TenantShare } });
        }
    } else
        this->pendingEvents.push_back(
            { number, event::AdmissionRefused { std::get<AdmissionController::Refused>(decision).code } });
}

void Dispatcher::releaseSlot(ActiveRequest& request, TimePoint now)
{
    if (request.admissionState == AdmissionState::None)
        return;
    auto found = this->admissionControllers.find(request.target.address);
    assert(found != this->admissionControllers.end());
    auto& admission = found->second;
    if (request.admissionState == AdmissionState::Queued)
        admission.removeFromQueue(request.info.number);
    else if (auto successor = admission.release(request.grantedAt, now)) {
        auto& next = this->requests.at(*successor);
        next.admissionState = AdmissionState::SlotHeld;
        next.grantedAt = now;
        this->pendingEvents.push_back({ *successor, event::SlotGranted {} });
    }
    request.admissionState = AdmissionState::None;
    if (admission.idle() && this->admissionControllers.size() > this->routes->size() * retainedServersPerService)
        this->admissionControllers.erase(found);
}

void Dispatcher::updateTimerOrFinish(RequestNumber number, std::vector<Command>& commands)
{
    auto found = this->requests.find(number);
    auto& request = found->second;
    auto timer = request.machine.nextTimer();
    if (timer != request.timer) {
        if (request.timer)
            this->timers.erase({ *request.timer, number });
        if (timer)
            this->timers.insert({ *timer, number });
        request.timer = timer;
    }
    if (request.machine.state() != RequestState::Finished)
        return;
    assert(request.admissionState == AdmissionState::None);
    commands.push_back({ number, Finished { *request.machine.outcome(), request.machine.refusal() } });
    this->requests.erase(found);
}

}
