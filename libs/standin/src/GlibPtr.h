#pragma once

#include <glib-object.h>
#include <memory>

namespace sequoia::standin {

struct ObjectUnref {
    void operator()(gpointer object) const { g_object_unref(object); }
};

//! Owns one reference to a GObject.
template <typename T> using ObjectPtr = std::unique_ptr<T, ObjectUnref>;

template <typename T> ObjectPtr<T> takeReference(T* object)
{
    return ObjectPtr<T>(static_cast<T*>(g_object_ref(object)));
}

struct ErrorFree {
    void operator()(GError* error) const { g_error_free(error); }
};
using ErrorPtr = std::unique_ptr<GError, ErrorFree>;

}
