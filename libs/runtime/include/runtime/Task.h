#pragma once

#include "core/Clock.h"

#include <functional>
#include <glib.h>
#include <memory>
#include <string>
#include <thread>

namespace sequoia::runtime {

//! A thread that runs an event loop (a GMainContext). State and sockets that belong to a task are used only by
//! callbacks that run on it; other threads post callbacks to it.
class Task {
public:
    using Callback = std::function<void()>;

    explicit Task(const std::string& name);
    //! Runs the callbacks already posted, stops the loop and joins the thread. Must not be called on the task itself.
    ~Task();

    Task(const Task&) = delete;
    Task& operator=(const Task&) = delete;

    //! Queues a callback; may be called on any thread.
    void post(Callback callback);

    //! Runs a callback on the task and waits until it has returned. Must not be called on the task itself.
    void run(const Callback& callback);

    GMainContext* context() const { return this->mainContext; }
    bool isCurrent() const;

private:
    GMainContext* mainContext;
    GMainLoop* loop;
    std::thread thread;
};

//! A one-shot or repeating timer on the task that creates it. Destroying it, on the same task, cancels it.
class Timer {
public:
    enum class Repeat {
        Once,
        Always,
    };

    Timer(Duration interval, Repeat repeat, Task::Callback callback);
    ~Timer();

    Timer(const Timer&) = delete;
    Timer& operator=(const Timer&) = delete;

private:
    GSource* source;
};

}
