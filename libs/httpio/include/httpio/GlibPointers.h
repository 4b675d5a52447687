#pragma once

#include <gio/gio.h>
#include <memory>

namespace sequoia::httpio {

struct ObjectRelease {
    void operator()(gpointer object) const { g_object_unref(object); }
};

//! Owns one reference of a GObject.
template <typename T> using ObjectPointer = std::unique_ptr<T, ObjectRelease>;

template <typename T> ObjectPointer<T> retain(T* object)
{
    return ObjectPointer<T>(static_cast<T*>(g_object_ref(object)));
}

struct BytesRelease {
    void operator()(GBytes* bytes) const { g_bytes_unref(bytes); }
};

//! Owns one reference of immutable bytes.
using Bytes = std::unique_ptr<GBytes, BytesRelease>;

struct ErrorRelease {
    void operator()(GError* error) const { g_error_free(error); }
};

using ErrorPointer = std::unique_ptr<GError, ErrorRelease>;

}
