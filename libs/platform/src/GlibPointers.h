#pragma once

#include <glib-object.h>
#include <memory>

namespace sequoia::platform {

struct ObjectDeleter {
    void operator()(gpointer object) const { g_object_unref(object); }
};

struct ErrorDeleter {
    void operator()(GError* error) const { g_error_free(error); }
};

struct BytesDeleter {
    void operator()(GBytes* bytes) const { g_bytes_unref(bytes); }
};

struct UriDeleter {
    void operator()(GUri* uri) const { g_uri_unref(uri); }
};

struct TextDeleter {
    void operator()(gchar* text) const { g_free(text); }
};

template <typename T> using ObjectPointer = std::unique_ptr<T, ObjectDeleter>;
using ErrorPointer = std::unique_ptr<GError, ErrorDeleter>;
using BytesPointer = std::unique_ptr<GBytes, BytesDeleter>;
using UriPointer = std::unique_ptr<GUri, UriDeleter>;
using TextPointer = std::unique_ptr<gchar, TextDeleter>;

}
