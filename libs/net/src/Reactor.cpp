#include "net/Reactor.h"

#include <array>
#include <cassert>
#include <sys/epoll.h>
#include <unistd.h>

namespace sequoia::net {

namespace {

// Maximum events per call of epoll_wait(); further ones are handled in the next iteration.
constexpr int eventBatch = 64;
// Upper bound of the poll timeout, so that it fits into an int. For later timers the loop wakes up and polls again.
constexpr std::int64_t maxPollTimeoutMillis = 60'000;

}

struct Reactor::Source {
    GSource base;
    Reactor* reactor;
    gpointer pollTag;

    static gboolean prepare(GSource* source, gint* timeout)
    {
        *timeout = reinterpret_cast<Source*>(source)->reactor->pollTimeoutMillis();
        return *timeout == 0;
    }

    static gboolean check(GSource* source)
    {
        auto* self = reinterpret_cast<Source*>(source);
        return g_source_query_unix_fd(source, self->pollTag) != 0 || self->reactor->pollTimeoutMillis() == 0;
    }

    static gboolean run(GSource* source, GSourceFunc, gpointer)
    {
        reinterpret_cast<Source*>(source)->reactor->dispatch();
        return G_SOURCE_CONTINUE;
    }
};

Reactor::Reactor(GMainContext* context, const Clock& monotonicClock)
    : clock(monotonicClock)
    , epollDescriptor(epoll_create1(EPOLL_CLOEXEC))
{
    static GSourceFuncs functions { Source::prepare, Source::check, Source::run, nullptr, nullptr, nullptr };
    this->source = g_source_new(&functions, sizeof(Source));
    auto* extended = reinterpret_cast<Source*>(this->source);
    extended->reactor = this;
    extended->pollTag = g_source_add_unix_fd(this->source, this->epollDescriptor, G_IO_IN);
    g_source_attach(this->source, context);
}

Reactor::~Reactor()
{
    g_source_destroy(this->source);
    g_source_unref(this->source);
    close(this->epollDescriptor);
}

void Reactor::watch(int descriptor, std::uint32_t events, IoHandler& handler)
{
    assert(!this->handlers.contains(descriptor));
    this->handlers[descriptor] = &handler;
    epoll_event event {};
    event.events = events;
    event.data.fd = descriptor;
    epoll_ctl(this->epollDescriptor, EPOLL_CTL_ADD, descriptor, &event);
}

void Reactor::modify(int descriptor, std::uint32_t events)
{
    epoll_event event {};
    event.events = events;
    event.data.fd = descriptor;
    epoll_ctl(this->epollDescriptor, EPOLL_CTL_MOD, descriptor, &event);
}

void Reactor::unwatch(int descriptor)
{
    if (this->handlers.erase(descriptor) > 0)
        epoll_ctl(this->epollDescriptor, EPOLL_CTL_DEL, descriptor, nullptr);
}

Reactor::TimerId Reactor::schedule(TimePoint when, std::function<void()> callback)
{
    TimerId id { when, ++this->lastTimer };
    this->timers.emplace(id, std::move(callback));
    return id;
}

Reactor::TimerId Reactor::scheduleAfter(Duration delay, std::function<void()> callback)
{
    return this->schedule(this->clock.now() + delay, std::move(callback));
}

void Reactor::cancel(TimerId timer)
{
    this->timers.erase(timer);
}

void Reactor::defer(std::function<void()> callback)
{
    this->deferred.push_back(std::move(callback));
}

int Reactor::pollTimeoutMillis() const
{
    if (!this->deferred.empty())
        return 0;
    if (this->timers.empty())
        return -1;
    auto remaining = this->timers.begin()->first.first - this->clock.now();
    if (remaining <= Duration::zero())
        return 0;
    // Rounded up, so that the loop does not busy-wait during the last millisecond.
    return static_cast<int>(std::min(maxPollTimeoutMillis, toMillis(remaining) + 1));
}

void Reactor::dispatch()
{
    this->dispatchIo();
    this->dispatchTimers();
    this->dispatchDeferred();
}

void Reactor::dispatchIo()
{
    std::array<epoll_event, eventBatch> events {};
    int count = epoll_wait(this->epollDescriptor, events.data(), eventBatch, 0);
    for (int i = 0; i < count; ++i) {
        // A previous handler of this batch may have unwatched this descriptor.
        auto found = this->handlers.find(events.at(i).data.fd);
        if (found != this->handlers.end())
            found->second->onIo(events.at(i).events);
    }
}

void Reactor::dispatchTimers()
{
    auto currentTime = this->clock.now();
    while (!this->timers.empty() && this->timers.begin()->first.first <= currentTime) {
        auto node = this->timers.extract(this->timers.begin());
        node.mapped()();
    }
}

void Reactor::dispatchDeferred()
{
    auto callbacks = std::move(this->deferred);
    this->deferred.clear();
    for (auto& callback : callbacks)
        callback();
}

}
