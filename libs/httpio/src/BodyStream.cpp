#include "httpio/BodyStream.h"

#include <new>

namespace sequoia::httpio {

namespace {

struct PendingRead {
    ObjectPointer<GTask> task;
    void* target = nullptr;
    gsize size = 0;
};

struct StreamState {
    std::shared_ptr<BodyPipe> pipe;
    PendingRead pending;
};

struct BodyStreamObject {
    GInputStream parent;
    StreamState* state;
};

struct BodyStreamClass {
    GInputStreamClass parent;
};

gpointer parentClass = nullptr;

StreamState& stateOf(gpointer object)
{
    return *static_cast<BodyStreamObject*>(object)->state;
}

bool canAnswer(const StreamState& state)
{
    return !state.pipe || state.pipe->hasUnread() || state.pipe->end() != BodyPipe::End::Open;
}

//! Reads what is there; -1 with an error when the body cannot be completed.
gssize readNow(const StreamState& state, void* target, gsize size, GError** error)
{
    if (state.pipe && state.pipe->hasUnread())
        return static_cast<gssize>(state.pipe->read(target, size));
    if (state.pipe && state.pipe->end() == BodyPipe::End::Complete)
        return 0;
    if (state.pipe && state.pipe->end() == BodyPipe::End::Open)
        g_set_error_literal(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK, "the body has not arrived yet");
    else
        g_set_error_literal(error, G_IO_ERROR, G_IO_ERROR_PARTIAL_INPUT, "the body ended early");
    return -1;
}

void answer(const StreamState& state, const PendingRead& read)
{
    GError* error = nullptr;
    auto count = readNow(state, read.target, read.size, &error);
    if (count < 0)
        g_task_return_error(read.task.get(), error);
    else
        g_task_return_int(read.task.get(), count);
}

void answerPending(StreamState& state)
{
    if (!state.pending.task || !canAnswer(state))
        return;
    auto read = std::move(state.pending);
    state.pending = {};
    answer(state, read);
}

gssize readFunction(GInputStream* stream, void* target, gsize size, GCancellable* /*cancellable*/, GError** error)
{
    return readNow(stateOf(stream), target, size, error);
}

// The default of GInputStream would read in a thread of its own, outside the worker's task.
void readAsync(GInputStream* stream, void* target, gsize size, int priority, GCancellable* cancellable,
    GAsyncReadyCallback callback, gpointer data)
{
    auto& state = stateOf(stream);
    PendingRead read { ObjectPointer<GTask>(g_task_new(stream, cancellable, callback, data)), target, size };
    g_task_set_priority(read.task.get(), priority);
    // A byte count that was read must reach the caller although the operation is cancelled meanwhile.
    g_task_set_check_cancellable(read.task.get(), FALSE);
    if (canAnswer(state))
        answer(state, read);
    else
        state.pending = std::move(read);
}

gssize readFinish(GInputStream* /*stream*/, GAsyncResult* result, GError** error)
{
    return g_task_propagate_int(G_TASK(result), error);
}

void finalize(GObject* object)
{
    auto& state = stateOf(object);
    if (state.pipe)
        state.pipe->onReadable = nullptr;
    delete &state;
    G_OBJECT_CLASS(parentClass)->finalize(object);
}

void initClass(gpointer klass, gpointer /*data*/)
{
    parentClass = g_type_class_peek_parent(klass);
    G_OBJECT_CLASS(klass)->finalize = finalize;
    auto* inputClass = G_INPUT_STREAM_CLASS(klass);
    inputClass->read_fn = readFunction;
    inputClass->read_async = readAsync;
    inputClass->read_finish = readFinish;
}

void initInstance(GTypeInstance* instance, gpointer /*klass*/)
{
    reinterpret_cast<BodyStreamObject*>(instance)->state = new StreamState();
}

GType bodyStreamType()
{
    static const GType type = g_type_register_static_simple(G_TYPE_INPUT_STREAM, "SequoiaBodyStream",
        sizeof(BodyStreamClass), initClass, sizeof(BodyStreamObject), initInstance, static_cast<GTypeFlags>(0));
    return type;
}

}

ObjectPointer<GInputStream> createBodyStream(const std::shared_ptr<BodyPipe>& pipe)
{
    auto* stream = G_INPUT_STREAM(g_object_new(bodyStreamType(), nullptr));
    stateOf(stream).pipe = pipe;
    pipe->rewind();
    pipe->onReadable = [stream] { answerPending(stateOf(stream)); };
    return ObjectPointer<GInputStream>(stream);
}

void detachBodyStream(GInputStream* stream)
{
    auto& state = stateOf(stream);
    if (!state.pipe)
        return;
    state.pipe->onReadable = nullptr;
    state.pipe.reset();
    answerPending(state);
}

}
