#include "runtime/Task.h"

#include <cassert>
#include <future>
#include <pthread.h>

namespace sequoia::runtime {

namespace {

// Limit of Linux, without the terminating null character.
constexpr std::size_t maxThreadNameLength = 15;

struct SourceClosure {
    Task::Callback callback;
    Timer::Repeat repeat;
};

gboolean runClosure(gpointer data)
{
    auto* closure = static_cast<SourceClosure*>(data);
    closure->callback();
    return closure->repeat == Timer::Repeat::Always ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

void deleteClosure(gpointer data)
{
    delete static_cast<SourceClosure*>(data);
}

}

Task::Task(const std::string& name)
    : mainContext(g_main_context_new())
    , loop(g_main_loop_new(this->mainContext, FALSE))
{
    this->thread = std::thread([this] {
        g_main_context_push_thread_default(this->mainContext);
        g_main_loop_run(this->loop);
        g_main_context_pop_thread_default(this->mainContext);
    });
    pthread_setname_np(this->thread.native_handle(), name.substr(0, maxThreadNameLength).c_str());
}

Task::~Task()
{
    assert(!this->isCurrent());
    this->post([this] { g_main_loop_quit(this->loop); });
    this->thread.join();
    g_main_loop_unref(this->loop);
    g_main_context_unref(this->mainContext);
}

void Task::post(Callback callback)
{
    GSource* source = g_idle_source_new();
    g_source_set_priority(source, G_PRIORITY_DEFAULT);
    g_source_set_callback(
        source, runClosure, new SourceClosure { std::move(callback), Timer::Repeat::Once }, deleteClosure);
    g_source_attach(source, this->mainContext);
    g_source_unref(source);
}

void Task::run(const Callback& callback)
{
    assert(!this->isCurrent());
    std::promise<void> finished;
    this->post([&] {
        callback();
        finished.set_value();
    });
    finished.get_future().wait();
}

bool Task::isCurrent() const
{
    return this->thread.get_id() == std::this_thread::get_id();
}

Timer::Timer(Duration interval, Repeat repeat, Task::Callback callback)
    : source(g_timeout_source_new(static_cast<guint>(toMillis(interval))))
{
    g_source_set_callback(source, runClosure, new SourceClosure { std::move(callback), repeat }, deleteClosure);
    g_source_attach(source, g_main_context_get_thread_default());
}

Timer::~Timer()
{
    g_source_destroy(this->source);
    g_source_unref(this->source);
}

}
