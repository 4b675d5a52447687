#pragma once

#include "core/Clock.h"

#include <cstdint>
#include <functional>
#include <glib.h>
#include <map>
#include <unordered_map>
#include <vector>

namespace sequoia::net {

//! Receives I/O events of a file descriptor.
class IoHandler {
public:
    virtual ~IoHandler() = default;
    //! `events` is a mask of epoll flags.
    virtual void onIo(std::uint32_t events) = 0;
};

//! Event loop for the sockets and timers of one task: an epoll set and a timer queue, driven by a GMainContext.
class Reactor {
public:
    using TimerId = std::pair<TimePoint, std::uint64_t>;

    Reactor(GMainContext* context, const Clock& clock);
    ~Reactor();

    Reactor(const Reactor&) = delete;
    Reactor& operator=(const Reactor&) = delete;

    void watch(int descriptor, std::uint32_t events, IoHandler& handler);
    void modify(int descriptor, std::uint32_t events);
    void unwatch(int descriptor);

    TimerId schedule(TimePoint when, std::function<void()> callback);
    TimerId scheduleAfter(Duration delay, std::function<void()> callback);
    //! Does nothing if the timer has already fired.
    void cancel(TimerId timer);

    //! Runs the callback at the end of the current iteration, when objects whose handlers ran in it may be destroyed.
    void defer(std::function<void()> callback);

    TimePoint now() const { return this->clock.now(); }
    const Clock& timeSource() const { return this->clock; }

private:
    struct Source;

    int pollTimeoutMillis() const;
    void dispatch();
    void dispatchIo();
    void dispatchTimers();
    void dispatchDeferred();

    const Clock& clock;
    int epollDescriptor;
    GSource* source;
    std::unordered_map<int, IoHandler*> handlers;
    std::map<TimerId, std::function<void()>> timers;
    std::vector<std::function<void()>> deferred;
    std::uint64_t lastTimer = 0;
};

}
