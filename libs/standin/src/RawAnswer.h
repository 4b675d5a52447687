#pragma once

#include "runtime/Task.h"

#include <functional>
#include <gio/gio.h>
#include <string>

namespace sequoia::standin {

//! Writes bytes to a connection that was taken from libsoup, keeps it open for `hold`, and closes it.
void writeRaw(GIOStream* stream, std::string bytes, Duration hold, std::function<void()> finished);

}
